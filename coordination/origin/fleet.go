package origin

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Fleet is the other routers as one router knows them.
type Fleet struct {
	// Near are those of its data centre, Far all others.
	Near, Far []string
}

// Numbers of routers that are asked in a large fleet. The first by rank are those that were informed,
// unless routers came or went since; askAll is the size up to which all are asked.
const (
	askNear = 2
	askFar  = 2
	askAny  = 3
	askAll  = 8
)

// Size returns the number of routers, with the one that has this view.
func (f Fleet) Size() int { return len(f.Near) + len(f.Far) + 1 }

// IsSmall reports whether each router asks all others.
func (f Fleet) IsSmall() bool { return f.Size() <= askAll+1 }

// Heirs returns the routers that are informed of a stream by a router that ends: the owners, or all
// others of a small fleet.
func (f Fleet) Heirs(id ID) []string {
	if f.IsSmall() {
		return slices.Concat(f.Near, f.Far)
	}
	near, far := f.Owners(id)
	return append(near, far...)
}

// Owners returns the routers that are informed of the stream: near and far. Where the router is alone
// in its data centre, or there is no other one, two of the same kind are informed.
func (f Fleet) Owners(id ID) (near, far []string) {
	near, far = top(f.Near, id, 1), top(f.Far, id, 1)
	switch {
	case len(near) == 0:
		far = top(f.Far, id, 2)
	case len(far) == 0:
		near = top(f.Near, id, 2)
	}
	return near, far
}

// Holders returns the routers that may have been informed of the stream, by whichever router.
func (f Fleet) Holders(id ID) []string {
	all := slices.Concat(f.Near, f.Far)
	if len(all) <= askAll {
		return all
	}
	out := append(top(f.Near, id, askNear), top(f.Far, id, askFar)...)
	for _, one := range top(all, id, askAny) {
		if !slices.Contains(out, one) {
			out = append(out, one)
		}
	}
	return out
}

// top returns the first n routers by rank for the stream.
func top(routers []string, id ID, n int) []string {
	out, ranks := make([]string, 0, n+1), make([]uint64, 0, n+1)
	for _, router := range routers {
		rank := rankOf(router, id)
		at := len(out)
		for at > 0 && ranks[at-1] > rank {
			at--
		}
		if at >= n {
			continue
		}
		out, ranks = slices.Insert(out, at, router), slices.Insert(ranks, at, rank)
		if len(out) > n {
			out, ranks = out[:n], ranks[:n]
		}
	}
	return out
}

// rankOf returns the rank of the router for the stream, which does not depend on other routers.
func rankOf(router string, id ID) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(id))
	_, _ = d.WriteString(router)
	return d.Sum64()
}
