package admission

import (
	"cmp"
	"slices"
)

// Isolation restricts a request that may crash its server to a few of the servers that it may go to:
// requests with the same key go to the same ones.
type Isolation struct {
	Key uint64
	// Share is the fraction of the isolated requests that have the key. They get up to half as large a
	// fraction of the servers, and at least one server.
	Share float64
}

// isolationSpread is the fraction of its share of the servers that requests with one key get: those
// with different keys then mostly go to different servers.
const isolationSpread = 0.5

// choose returns the servers that the request may go to. If the servers change, most requests keep
// theirs (rendezvous hashing).
func (i *Isolation) choose(servers []*server) []*server {
	if i == nil || len(servers) == 0 {
		return servers
	}
	width := max(int(i.Share*isolationSpread*float64(len(servers))), 1)
	ranked := slices.SortedFunc(slices.Values(servers), func(a, b *server) int { return cmp.Compare(b.rank(i.Key), a.rank(i.Key)) })
	return ranked[:min(width, len(ranked))]
}
