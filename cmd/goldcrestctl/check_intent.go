package main

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/configcheck"
	"goldcrestport/protocol/intent"
)

// Lists and groups of an intent, as they begin the places of its errors.
const (
	groupTeams     = "teams"
	groupServices  = "services"
	groupOperators = "operators"
	listTokens     = "tokens"
)

// refusedFindings converts the errors with which routers refuse an intent.
func refusedFindings(err error) []configcheck.Finding {
	var found intent.Errors
	if !errors.As(err, &found) {
		found = intent.Errors{{Path: "/", Message: err.Error()}}
	}
	out := make([]configcheck.Finding, len(found))
	for i, e := range found {
		out[i] = refusedFinding(e)
	}
	return out
}

func refusedFinding(e intent.Error) configcheck.Finding {
	f := configcheck.Finding{Code: configcheck.Refused, Severity: configcheck.Error, Kind: configcheck.Document, Message: e.Message}
	segments := pointerSegments(e.Path)
	if len(segments) > 1 {
		kinds := map[string]configcheck.Kind{groupTeams: configcheck.Team, groupServices: configcheck.Service, groupOperators: configcheck.Operator}
		if kind, named := kinds[segments[0]]; named {
			f.Kind, f.Name = kind, segments[1]
		}
	}
	if isTokenPlace(segments) && !strings.HasPrefix(e.Message, "the same token digest") {
		// The parser quotes the value, which may be a token in clear.
		f.Message = "not the digest of a token, 64 lower-case hex digits"
	}
	f.Place = placeOf(segments)
	return f
}

func pointerSegments(pointer string) []string {
	if pointer == "/" {
		return nil
	}
	segments := strings.Split(strings.TrimPrefix(pointer, "/"), "/")
	unescape := strings.NewReplacer("~1", "/", "~0", "~")
	for i := range segments {
		segments[i] = unescape.Replace(segments[i])
	}
	return segments
}

// isTokenPlace reports whether a token or an operator's digest stands at the place.
func isTokenPlace(segments []string) bool {
	return len(segments) == 2 && segments[0] == groupOperators || len(segments) == 4 && segments[0] == groupTeams && segments[2] == listTokens
}

// placeOf returns the JSON path; positions in lists are in brackets. The names of teams,
// services and operators may be numbers too.
func placeOf(segments []string) string {
	place := ""
	for i, s := range segments {
		isNamed := i == 1 && (segments[0] == groupTeams || segments[0] == groupServices || segments[0] == groupOperators)
		if _, err := strconv.ParseUint(s, 10, 31); err == nil && i > 0 && !isNamed {
			place += "[" + s + "]"
		} else {
			place = configcheck.Field(place, s)
		}
	}
	if place == "" {
		return "$"
	}
	return place
}
