package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
)

// digestDomain is the domain separator of plan digests.
const digestDomain = "goldcrest-plan/1"

// Content returns the operator-defined part of the document in canonical form:
// lists are sorted and without duplicates. Equivalent documents have equal
// content.
func (d *Document) Content() *Document {
	c := &Document{
		Teams:     make(map[string]Team, len(d.Teams)),
		Services:  make(map[string]Service, len(d.Services)),
		Drain:     sortedSet(d.Drain),
		Evacuate:  sortedSet(d.Evacuate),
		Operators: maps.Clone(d.Operators),
	}
	for name, t := range d.Teams {
		// Both fields are required in an intent, so they must not be encoded as null.
		t.Tokens, t.Services = append([]string{}, sortedSet(t.Tokens)...), append([]string{}, sortedSet(t.Services)...)
		c.Teams[name] = t
	}
	for name, s := range d.Services {
		s.NonIdempotent = sortedSet(s.NonIdempotent)
		s.Models = sortedModels(s.Models)
		c.Services[name] = s
	}
	if len(c.Operators) == 0 {
		c.Operators = nil
	}
	return c
}

func sortedSet(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	return slices.Compact(slices.Sorted(slices.Values(list)))
}

func sortedModels(list []Model) []Model {
	if len(list) == 0 {
		return nil
	}
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b Model) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version))
	})
	return slices.Compact(out)
}

// PlanDigest returns the digest of the plan that changes the base revision to the
// content of next. It depends on nothing else, so that every router computes the
// same digest.
func PlanDigest(base uint64, next *Document) (string, error) {
	// encoding/json writes map keys in sorted order.
	data, err := json.Marshal(next.Content())
	if err != nil {
		return "", err
	}
	sum := sha256.New()
	sum.Write([]byte(digestDomain + "\n" + strconv.FormatUint(base, 10) + "\n"))
	sum.Write(data)
	return hex.EncodeToString(sum.Sum(nil)), nil
}
