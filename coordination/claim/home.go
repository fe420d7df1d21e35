package claim

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders the routers for a shard by rendezvous hashing: the first is the
// shard's home, the next one steps in when it does not answer. Routers whose
// lists differ may disagree; compare-and-swap keeps that safe.
func Rank(shard int, routers []string) []string {
	type ranked struct {
		id     string
		weight uint64
	}
	all := make([]ranked, 0, len(routers))
	for _, id := range routers {
		all = append(all, ranked{id, weight(shard, id)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	out := make([]string, len(all))
	for i, r := range all {
		out[i] = r.id
	}
	return out
}

func weight(shard int, id string) uint64 {
	var prefix [8]byte
	binary.BigEndian.PutUint64(prefix[:], uint64(shard))
	return xxhash.Sum64(append(prefix[:], id...))
}
