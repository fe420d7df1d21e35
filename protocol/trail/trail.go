// Package trail reads the routers' log lines about one request or one backend server
// and describes its history in sentences.
//
// goldcrestctl explain uses it. The lines may come from several processes, in
// any order, truncated or with a log collector's prefix.
package trail

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// Line is one log line as a map of its keys to their values.
type Line map[string]string

// ErrUnknown means that no line is about the request or the server.
var ErrUnknown = errors.New("no line names the request")

// Read returns the lines about the request or the server with the id, sorted by time, and
// the number of lines that were read. For a request that was refused because of earlier
// crashes or back-off requests of servers, the lines that report those are included.
func Read(from io.Reader, id string) (lines []Line, read int, err error) {
	var quarantined, backoffs []Line
	err = EachLine(from, func(text []byte, _ bool) {
		read++
		// Lines about an id contain it verbatim, so most other lines need no parsing.
		switch {
		case strings.Contains(string(text), id):
			if line := Parse(text); line.isAbout(id) {
				lines = append(lines, line)
			}
		case strings.Contains(string(text), "event="+quarantineEvent):
			quarantined = append(quarantined, Parse(text))
		case strings.Contains(string(text), "event="+backoffEvent):
			backoffs = append(backoffs, Parse(text))
		}
	})
	if err != nil {
		return nil, read, err
	}
	lines = append(lines, quarantineCauses(lines, quarantined)...)
	lines = append(lines, backoffsInForce(lines, backoffs)...)
	sortByTime(lines)
	return lines, read, nil
}

// sortByTime sorts lines by their times.
func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return strings.Compare(a["ts"], b["ts"]) })
}

// quarantineEvent is the event that reports that a request fingerprint is refused from then
// on, and why; quarantineReason is the reason of the requests that are refused for it.
const (
	quarantineEvent  = "request_quarantined"
	quarantineReason = "crashes-backend-servers"
)

// quarantineCauses returns, for each request fingerprint in the lines that was refused for
// crashing servers, the earliest line of any router that reports its quarantine.
func quarantineCauses(lines, quarantined []Line) []Line {
	slices.SortStableFunc(quarantined, func(a, b Line) int { return strings.Compare(a["ts"], b["ts"]) })
	var out []Line
	for _, line := range lines {
		isIncluded := slices.ContainsFunc(out, func(l Line) bool { return l["content"] == line["content"] })
		if line["why"] != quarantineReason || line["content"] == "" || isIncluded {
			continue
		}
		at := slices.IndexFunc(quarantined, func(l Line) bool { return l["content"] == line["content"] })
		if at >= 0 {
			out = append(out, quarantined[at])
		}
	}
	return out
}

// Parse returns the well-formed keys of the line up to the first malformed one.
func Parse(text []byte) Line {
	line := Line{}
	d := logfmt.NewDecoder(strings.NewReader(string(text)))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			if value := string(d.Value()); value != "" {
				line[string(d.Key())] = value
			}
		}
	}
	return line
}

// Explain writes the history of the request or the server.
func Explain(to io.Writer, id string, lines []Line) error {
	if len(lines) == 0 {
		return errors.Wrap(ErrUnknown, id)
	}
	var b strings.Builder
	b.WriteString(heading(id, lines))
	for _, line := range lines {
		fmt.Fprintf(&b, "- %s, %s: %s%s\n", orUnknown(line["ts"]), orUnknown(line["id"]), ofOther(id, line), sentence(line))
	}
	_, err := io.WriteString(to, b.String())
	return err
}

// ofOther returns the words that say that a line is about another attempt of the caller.
func ofOther(id string, l Line) string {
	if l["request"] == "" || l["request"] == id || l["said_to"] != "" || l["stream"] != id && l["resumes"] != id && l["event"] != streamBeganEvent {
		return ""
	}
	return "request " + l["request"] + ": "
}

// heading returns the heading, which says what the lines are about.
func heading(id string, lines []Line) string {
	at := slices.IndexFunc(lines, func(l Line) bool { return l["request"] == id })
	if at < 0 && !slices.ContainsFunc(lines, func(l Line) bool { return l["server"] == id }) {
		return fmt.Sprintf("Request %s, of which no line of its own is left.\n", id)
	}
	if at < 0 {
		return fmt.Sprintf("Backend server %s, as the routers knew it.\n", id)
	}
	first := lines[at]
	team := ""
	if first["team"] != "" {
		team = " for team " + first["team"]
	}
	return fmt.Sprintf("Request %s came by route %s%s, under version %s of the configuration.\n", id, orUnknown(first["route"]), team, orUnknown(first["version"]))
}

func orUnknown(text string) string {
	if text == "" {
		return "unknown"
	}
	return text
}

// sentence describes the event of one line.
func sentence(l Line) string {
	switch l["event"] {
	case "request_completed":
		return fmt.Sprintf("answered with %s by server %s after %s ms (first byte after %s ms).", l["status"], l["server"], l["took_ms"], l["first_ms"]) + endSentence(l)
	case "request_again":
		if l["ran"] == "true" {
			return fmt.Sprintf("server %s may have run it and gave no whole answer (%s); it went to a further server.", l["after_server"], orUnknown(l["err"]))
		}
		return fmt.Sprintf("server %s did not run it (%s); it went to a further server.", l["after_server"], orUnknown(l["err"]))
	case "request_ended":
		return ending(l)
	case abandonedEvent:
		return abandonedSentence(l)
	case streamBeganEvent:
		return beganSentence(l)
	case streamResumedEvent:
		return resumedSentence(l)
	case brokenEvent:
		return brokenSentence(l)
	case backoffEvent, backoffEndEvent, serverEvent, invalidAnswerEvent:
		return serverSentence(l)
	case quarantineEvent:
		return fmt.Sprintf("what it asks for (content %s) is refused from here on: servers %s crashed while they ran it, at %s (UTC), by the word of %s.",
			l["content"], l["servers"], l["crashed_at"], l["told_by"])
	default:
		return orUnknown(l["event"])
	}
}

// endings describes why a request ended without a complete answer, by the line's reason.
var endings = map[string]string{
	"queue-full":               "refused, not run: no backend server could begin in time",
	"no-backend-server":        "refused, not run: no backend server took it",
	"no-configuration":         "refused, not run: the router had no configuration yet",
	"platform-unavailable":     "refused, not run: the router could not show that its configuration, and so the key, was the newest",
	"too-many-connections":     "refused, not run: the router passed on as many streams as its processor allows",
	quarantineReason:           "refused, not run: servers crashed under earlier attempts of the same content",
	"backend-servers-back-off": "refused, not run: all backend servers of the service had asked for no requests",
	"suspect-at-work":          "refused, not run: another attempt of the same content was at work, and servers had crashed under earlier ones",
	"leaving":                  "refused, not run: the router was leaving",
	"unauthorized":             "refused, not run: no team of this version holds the key",
	"unknown-path":             "refused, not run: no route of this version for its host and path",
	"body-too-large":           "refused, not run: its body is larger than the configuration allows",
	"body-timeout":             "refused, not run: its body did not arrive in time",
	"deadline":                 "failed: the time limit passed while a server was at work",
	"answer-lost":              "failed: its server broke off or lost the answer, and it may have run",
	"backend-server":           "failed: its server broke off, and no further one was free",
	"caller_left":              "the caller left before the answer",
	"caller_lost":              "the caller's connection was lost while the answer was passed on",
}

func ending(l Line) string {
	why, detail, _ := strings.Cut(l["why"], ": ")
	text, known := endings[why]
	if why == "cut" {
		text, known = "cut: a part of the answer was passed on when its server broke off ("+detail+")", true
	}
	if !known {
		text = "ended: " + orUnknown(l["why"])
	}
	text += inputs(l) + endSentence(l)
	if after := l["retry_after_ms"]; after != "" && after != "0" {
		text += fmt.Sprintf(" The caller was asked to come back after %s ms.", after)
	}
	return text
}

// inputs describes the inputs of the router's decision.
func inputs(l Line) string {
	switch {
	case l["why"] == "queue-full":
		return fmt.Sprintf(". The wait at server %s was estimated at %s ms, the limit was %s ms (team's standing %s).",
			l["server"], l["wait_ms"], l["limit_ms"], standing(l["standing"]))
	case l["server"] != "" && l["sent"] != "0":
		return fmt.Sprintf(". Its last server was %s; it was sent %s times and reached %s servers.", l["server"], l["sent"], l["reached"])
	default:
		return "."
	}
}

// standing describes the team's standing, the ratio of what it had got to its share, at
// the time of the decision.
func standing(text string) string {
	value, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil:
		return "unknown"
	case value == 0:
		return "not limited: all that teams ask for fits"
	case value > 1:
		return fmt.Sprintf("%.2f of its share: beyond it, which lowers the limit", value)
	default:
		return fmt.Sprintf("%.2f of its share", value)
	}
}
