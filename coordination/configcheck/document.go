package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"goldcrestport/state/config"
)

// CheckDocument returns the warnings about a document whose intent was parsed without
// errors, sorted by kind and name.
func CheckDocument(d *config.Document) []Finding {
	c := &documentChecker{doc: d, used: map[string]bool{}}
	for _, name := range slices.Sorted(maps.Keys(d.Teams)) {
		c.checkTeam(name, d.Teams[name])
	}
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		c.checkService(name, d.Services[name])
	}
	return c.found
}

type documentChecker struct {
	doc   *config.Document
	used  map[string]bool
	found []Finding
}

func (c *documentChecker) add(kind Kind, name string, code Code, place, format string, args ...any) {
	c.found = append(c.found, Finding{
		Code: code, Severity: code.severity(), Place: place, Kind: kind, Name: name, Message: fmt.Sprintf(format, args...),
	})
}

func (c *documentChecker) checkTeam(name string, t config.Team) {
	place := Field("teams", name)
	if len(t.Tokens) == 0 && t.Share > 0 {
		c.add(Team, name, TeamWithoutKeys, join(place, "tokens"), "no request can be the team's")
	}
	if len(t.Services) == 0 && t.Share > 0 {
		c.add(Team, name, TeamWithoutServices, join(place, "services"), "the team may reach no service")
	}
	for _, service := range t.Services {
		c.used[service] = true
		if body := c.doc.Services[service].MaxBody; t.MaxQueuedBytes > 0 && body > t.MaxQueuedBytes {
			c.add(Team, name, QueueBelowBody, join(place, "max_queued_bytes"),
				"%d bytes may wait, but one body of service %s may have %d", t.MaxQueuedBytes, service, body)
		}
	}
}

func (c *documentChecker) checkService(name string, s config.Service) {
	place := Field("services", name)
	if !c.used[name] {
		c.add(Service, name, ServiceUnused, place, "no team may reach the service")
	}
	for i, prefix := range s.NonIdempotent {
		for j, other := range s.NonIdempotent {
			if i != j && strings.HasPrefix(prefix, other) {
				c.add(Service, name, PrefixCovered, at(join(place, "non_idempotent"), i), "%q lies below %q already", prefix, other)
				break
			}
		}
	}
}
