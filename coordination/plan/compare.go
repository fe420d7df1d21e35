package plan

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"goldcrestport/state/config"
)

// comparison is the state of one call of Compare.
type comparison struct {
	base, next   *config.Document
	patch        config.Patch
	facts        Facts
	totalsBefore map[string]float64
	totalsAfter  map[string]float64
	plan         *Plan
}

func newComparison(base, next *config.Document, facts Facts) *comparison {
	a, b := base.Content(), next.Content()
	return &comparison{
		base:         a,
		next:         b,
		patch:        config.Between(a, b),
		facts:        facts,
		totalsBefore: totals(a),
		totalsAfter:  totals(b),
		plan:         &Plan{BaseRevision: base.Revision},
	}
}

// totals returns the sum of the shares in each service's pool. Teams are added
// in the order of their names, so that every router gets the same rounding.
func totals(d *config.Document) map[string]float64 {
	out := map[string]float64{}
	for _, name := range slices.Sorted(maps.Keys(d.Teams)) {
		for _, service := range d.Teams[name].Services {
			out[service] += d.Teams[name].Share
		}
	}
	return out
}

func fraction(team config.Team, service string, totals map[string]float64) float64 {
	if !team.Reaches(service) || totals[service] <= 0 {
		return 0
	}
	return team.Share / totals[service]
}

func actionOf(before, after bool) Action {
	switch {
	case !before:
		return Added
	case !after:
		return Removed
	default:
		return Changed
	}
}

func (c *comparison) compareTeams() {
	for _, name := range slices.Sorted(maps.Keys(c.patch.Teams)) {
		c.compareTeam(name)
	}
}

func (c *comparison) compareTeam(name string) {
	old, before := c.base.Teams[name]
	updated, after := c.next.Teams[name]
	t := TeamChange{
		Team:          name,
		Action:        actionOf(before, after),
		ShareBefore:   old.Share,
		ShareAfter:    updated.Share,
		Gained:        difference(updated.Services, old.Services),
		Lost:          difference(old.Services, updated.Services),
		TokensAdded:   len(difference(updated.Tokens, old.Tokens)),
		TokensRemoved: len(difference(old.Tokens, updated.Tokens)),
	}
	for _, service := range union(old.Services, updated.Services) {
		t.Pools = append(t.Pools, Fraction{
			Service: service,
			Before:  fraction(old, service, c.totalsBefore),
			After:   fraction(updated, service, c.totalsAfter),
		})
	}
	if t.Action != Removed {
		t.Fields = append(t.Fields, numberField("requests that may wait", int64(old.MaxQueued), int64(updated.MaxQueued))...)
		t.Fields = append(t.Fields, numberField("bytes that may wait", old.MaxQueuedBytes, updated.MaxQueuedBytes)...)
	}
	c.plan.Teams = append(c.plan.Teams, t)
	c.teamNotes(t, old, updated)
}

// comparePools computes the effect on the teams that the change doesn't name.
func (c *comparison) comparePools() {
	others := map[string]int{}
	for name, team := range c.next.Teams {
		if _, named := c.patch.Teams[name]; named || team.Share <= 0 {
			continue
		}
		for _, service := range team.Services {
			others[service]++
		}
	}
	for _, service := range slices.Sorted(maps.Keys(others)) {
		before, after := c.totalsBefore[service], c.totalsAfter[service]
		if before == after || before <= 0 || after <= 0 {
			continue
		}
		p := PoolChange{Service: service, Others: others[service], Factor: before / after}
		c.plan.Pools = append(c.plan.Pools, p)
	}
}

func (c *comparison) compareServices() {
	for _, name := range slices.Sorted(maps.Keys(c.patch.Services)) {
		old, before := c.base.Services[name]
		updated, after := c.next.Services[name]
		s := ServiceChange{Service: name, Action: actionOf(before, after), Backends: c.backendsOf(name)}
		if s.Action != Removed {
			s.Fields = serviceFields(old, updated)
		}
		c.plan.Services = append(c.plan.Services, s)
		c.serviceNotes(s, old, updated)
	}
}

func serviceFields(old, updated config.Service) []Field {
	var out []Field
	out = append(out, textField("kind", string(old.Kind), string(updated.Kind))...)
	out = append(out, textField("paths that run at most once", strings.Join(old.NonIdempotent, " "), strings.Join(updated.NonIdempotent, " "))...)
	out = append(out, numberField("greatest body in bytes", old.MaxBody, updated.MaxBody)...)
	out = append(out, textField("models", modelList(old.Models), modelList(updated.Models))...)
	out = append(out, textField("role", old.Role, updated.Role)...)
	out = append(out, textField("engines check the fencing token", yesNo(old.ChecksFence), yesNo(updated.ChecksFence))...)
	return out
}

func modelList(models []config.Model) string {
	out := make([]string, len(models))
	for i, m := range models {
		out[i] = m.Name + "@" + m.Version
		if m.Adapter {
			out[i] += " (adapter)"
		}
	}
	return strings.Join(out, ", ")
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func (c *comparison) compareBackends() {
	for _, id := range union(c.base.Drain, c.next.Drain) {
		drained := slices.Contains(c.next.Drain, id)
		if drained == slices.Contains(c.base.Drain, id) {
			continue
		}
		c.plan.Backends = append(c.plan.Backends, BackendChange{Backend: id, Service: c.serviceOf(id), Drained: drained})
	}
	c.backendNotes()
}

func (c *comparison) compareDataCentres() {
	for _, name := range union(c.base.Evacuate, c.next.Evacuate) {
		evacuated := slices.Contains(c.next.Evacuate, name)
		if evacuated == slices.Contains(c.base.Evacuate, name) {
			continue
		}
		c.plan.DataCentres = append(c.plan.DataCentres, DataCentreChange{DataCentre: name, Evacuated: evacuated})
	}
}

func (c *comparison) compareOperators() {
	for _, name := range slices.Sorted(maps.Keys(c.patch.Operators)) {
		_, before := c.base.Operators[name]
		_, after := c.next.Operators[name]
		c.plan.Operators = append(c.plan.Operators, OperatorChange{Operator: name, Action: actionOf(before, after)})
	}
}

func (c *comparison) backendsOf(service string) []string {
	var out []string
	for _, b := range c.facts.Backends {
		if b.Service == service {
			out = append(out, b.ID)
		}
	}
	slices.Sort(out)
	return out
}

func (c *comparison) serviceOf(id string) string {
	for _, b := range c.facts.Backends {
		if b.ID == id {
			return b.Service
		}
	}
	return ""
}

func (c *comparison) queuedRequests(team, service string) int {
	n := 0
	for _, q := range c.facts.Queues {
		if q.Team == team && (service == "" || q.Service == service) {
			n += q.Waiting
		}
	}
	return n
}

// difference returns the elements of a that are not in b, in the order of a.
func difference(a, b []string) []string {
	var out []string
	for _, x := range a {
		if !slices.Contains(b, x) {
			out = append(out, x)
		}
	}
	return out
}

// union returns the elements of a or b, sorted and without duplicates.
func union(a, b []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
}

func numberField(name string, before, after int64) []Field {
	format := func(n int64) string {
		if n == 0 {
			return "default"
		}
		return strconv.FormatInt(n, 10)
	}
	return textField(name, format(before), format(after))
}

func textField(name, before, after string) []Field {
	if before == after {
		return nil
	}
	return []Field{{Name: name, Before: before, After: after}}
}

func (c *comparison) addRefusal(code NoteCode, subject, format string, args ...any) {
	c.plan.Refused = append(c.plan.Refused, Note{Code: code, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

func (c *comparison) addWarning(code NoteCode, subject, format string, args ...any) {
	c.plan.Warnings = append(c.plan.Warnings, Note{Code: code, Subject: subject, Text: fmt.Sprintf(format, args...)})
}
