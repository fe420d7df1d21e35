package plan

import (
	"maps"
	"reflect"
	"slices"

	"goldcrestport/state/config"
)

// Rebase puts the changes that lead from base to mine on top of the newest
// document, if others changed none of the same teams, services and operators
// in another way since the base. It returns the merged content, or the names of what both
// changed.
//
// With many operators the newest revision is rarely the one that a person has
// looked at; changes that don't meet can still be applied one after the other.
func Rebase(base, mine, newest *config.Document) (*config.Document, []string) {
	own, others := config.Between(base, mine), config.Between(base, newest)
	both := slices.Concat(
		meeting("team ", own.Teams, others.Teams),
		meeting("service ", own.Services, others.Services),
		meeting("operator ", own.Operators, others.Operators),
	)
	if len(both) > 0 {
		return nil, both
	}
	own.Drain, own.Evacuate = nil, nil
	merged := own.Apply(newest)
	merged.Drain = rebaseList(base.Drain, mine.Drain, newest.Drain)
	merged.Evacuate = rebaseList(base.Evacuate, mine.Evacuate, newest.Evacuate)
	return merged.Content(), nil
}

// meeting returns the names that both change, each in another way, with their
// kind before them.
func meeting[V any](kind string, a, b map[string]V) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(a)) {
		if theirs, met := b[name]; met && !reflect.DeepEqual(a[name], theirs) {
			out = append(out, kind+name)
		}
	}
	return out
}

// rebaseList adds and takes back what mine does. Two changes of one name since the
// same base are the same change, so they can't clash.
func rebaseList(base, mine, newest []string) []string {
	out := slices.Clone(newest)
	for _, id := range mine {
		if !slices.Contains(base, id) {
			out = append(out, id)
		}
	}
	return slices.DeleteFunc(out, func(id string) bool {
		return slices.Contains(base, id) && !slices.Contains(mine, id)
	})
}
