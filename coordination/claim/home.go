package claim

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders the routers for a shard by rendezvous hashing: the first is the
// shard's home, the following ones are its fallbacks while it does not answer.
// Routers whose instance lists differ may disagree on the order;
// compare-and-swap keeps that safe.
func Rank(shard int, routers []string) []string {
	type ranked struct {
		id     string
		weight uint64
	}
	byWeight := make([]ranked, 0, len(routers))
	for _, id := range routers {
		byWeight = append(byWeight, ranked{id, weight(shard, id)})
	}
	slices.SortFunc(byWeight, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	out := make([]string, len(byWeight))
	for i, r := range byWeight {
		out[i] = r.id
	}
	return out
}

func weight(shard int, id string) uint64 {
	var prefix [8]byte
	binary.BigEndian.PutUint64(prefix[:], uint64(shard))
	return xxhash.Sum64(append(prefix[:], id...))
}
