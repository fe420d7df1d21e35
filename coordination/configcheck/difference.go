package configcheck

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"goldcrestport/state/config"
	"goldcrestport/state/routing"
)

// Change says what became of an entry.
type Change string

// Changes.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// FieldChange is a changed value of an entry. Keys are counted, never shown.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Difference is what became of one entry, found by its name.
type Difference struct {
	Kind   Kind          `json:"kind"`
	Name   string        `json:"name"`
	Change Change        `json:"change"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// value is a field of an entry as text; of secret ones only the number is shown.
type value struct {
	field, text string
	secrets     []string
}

// Compare returns what differs between two configurations, by kind and name. Of entries
// with the same name the last one counts.
func Compare(old, updated *Configuration, f Fields) []Difference {
	var out []Difference
	routes := func(c *Configuration) map[string]routing.Route {
		return byName(c.Routes, func(r routing.Route) string { return r.Name })
	}
	services := func(c *Configuration) map[string]routing.Service {
		return byName(c.Services, func(s routing.Service) string { return s.Name })
	}
	teams := func(c *Configuration) map[string]routing.Team {
		return byName(c.Teams, func(t routing.Team) string { return t.Name })
	}
	limits := func(c *Configuration) map[string]routing.Limits { return map[string]routing.Limits{"": c.Limits} }
	out = append(out, compare(Route, routes(old), routes(updated), f.Route.values)...)
	out = append(out, compare(Service, services(old), services(updated), f.Service.values)...)
	out = append(out, compare(Team, teams(old), teams(updated), f.Team.values)...)
	return append(out, compare(Limits, limits(old), limits(updated), f.Limit.values)...)
}

// CompareDocuments returns what differs between two documents, by kind and name.
func CompareDocuments(old, updated *config.Document) []Difference {
	a, b := old.Content(), updated.Content()
	var out []Difference
	out = append(out, compare(Service, a.Services, b.Services, documentServiceValues)...)
	out = append(out, compare(Team, a.Teams, b.Teams, documentTeamValues)...)
	operator := func(digest string) []value { return []value{{field: "token", secrets: []string{digest}}} }
	out = append(out, compare(Operator, a.Operators, b.Operators, operator)...)
	out = append(out, compare(Drained, set(a.Drain), set(b.Drain), noValues)...)
	return append(out, compare(DataCentre, set(a.Evacuate), set(b.Evacuate), noValues)...)
}

func byName[T any](list []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(list))
	for _, one := range list {
		out[name(one)] = one
	}
	return out
}

func set(list []string) map[string]struct{} {
	out := make(map[string]struct{}, len(list))
	for _, name := range list {
		out[name] = struct{}{}
	}
	return out
}

func noValues(struct{}) []value { return nil }

// compare returns the differences between two sets of entries, sorted by name.
func compare[T any](kind Kind, old, updated map[string]T, values func(T) []value) []Difference {
	var out []Difference
	for name, now := range updated {
		before, known := old[name]
		switch {
		case !known:
			out = append(out, Difference{Kind: kind, Name: name, Change: Added})
		case !reflect.DeepEqual(before, now):
			if fields := changedFields(values(before), values(now)); len(fields) > 0 {
				out = append(out, Difference{Kind: kind, Name: name, Change: Changed, Fields: fields})
			}
		}
	}
	for name := range old {
		if _, stays := updated[name]; !stays {
			out = append(out, Difference{Kind: kind, Name: name, Change: Removed})
		}
	}
	slices.SortFunc(out, func(a, b Difference) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func changedFields(old, updated []value) []FieldChange {
	var out []FieldChange
	for i, now := range updated {
		before := old[i]
		if before.text != now.text {
			out = append(out, FieldChange{Field: now.field, Old: before.text, New: now.text})
		}
		added, removed := countMissing(now.secrets, before.secrets), countMissing(before.secrets, now.secrets)
		if added+removed > 0 {
			out = append(out, FieldChange{
				Field: now.field, Old: strconv.Itoa(len(before.secrets)),
				New: fmt.Sprintf("%d (%d added, %d removed)", len(now.secrets), added, removed),
			})
		}
	}
	return out
}

// countMissing returns how many different values of the list are not among the others.
func countMissing(list, others []string) int {
	if len(list) == 0 || slices.Equal(list, others) {
		return 0
	}
	known := make(map[string]bool, len(others))
	for _, one := range others {
		known[one] = true
	}
	n := 0
	for _, one := range list {
		if !known[one] {
			known[one] = true
			n++
		}
	}
	return n
}

// shown returns a field as text. The types that most fields have need no reflection.
func shown(field string, v any) value {
	var text string
	switch v := v.(type) {
	case string:
		text = v
	case int:
		text = strconv.Itoa(v)
	case bool:
		text = strconv.FormatBool(v)
	case float64:
		text = strconv.FormatFloat(v, 'g', -1, 64)
	default:
		text = fmt.Sprint(v)
	}
	return value{field: field, text: text}
}

func listed(field string, list []string) value {
	if len(list) == 0 {
		return value{field: field}
	}
	return value{field: field, text: strings.Join(slices.Sorted(slices.Values(list)), " ")}
}
