package plan

import (
	"maps"
	"reflect"
	"slices"

	"goldcrestport/state/config"
)

// Rebase applies the changes from base to mine to the newest document, unless
// the changes from base to newest alter one of the same teams, services or
// operators differently. It returns the merged content, or the names of the
// conflicting entries.
//
// With many operators the newest revision is rarely the one that an operator has
// reviewed; changes that don't conflict can still be applied one after the other.
func Rebase(base, mine, newest *config.Document) (*config.Document, []string) {
	own, others := config.Between(base, mine), config.Between(base, newest)
	conflicts := slices.Concat(
		conflictingNames("team ", own.Teams, others.Teams),
		conflictingNames("service ", own.Services, others.Services),
		conflictingNames("operator ", own.Operators, others.Operators),
	)
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	own.Drain, own.Evacuate = nil, nil
	merged := own.Apply(newest)
	merged.Drain = rebaseList(base.Drain, mine.Drain, newest.Drain)
	merged.Evacuate = rebaseList(base.Evacuate, mine.Evacuate, newest.Evacuate)
	return merged.Content(), nil
}

// conflictingNames returns the names that a and b change differently, each
// prefixed with the kind.
func conflictingNames[V any](kind string, a, b map[string]V) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(a)) {
		if theirs, found := b[name]; found && !reflect.DeepEqual(a[name], theirs) {
			out = append(out, kind+name)
		}
	}
	return out
}

// rebaseList applies the additions and removals from base to mine to newest. Two
// changes of one name since the same base are the same change, so they can't
// conflict.
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
