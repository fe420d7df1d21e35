package sidecar

import "slices"

// maxRecentPrefixes is the maximum number of prefixes listed in a pull.
const maxRecentPrefixes = 4

// prefixHistory keeps the prompt prefixes that the backend server served most
// recently, latest first. They are hints for routers: the engine may have
// evicted them from its cache.
type prefixHistory struct{ prefixes []uint64 }

func (r *prefixHistory) add(prefix uint64) {
	if prefix == 0 {
		return
	}
	prefixes := slices.DeleteFunc(r.prefixes, func(p uint64) bool { return p == prefix })
	prefixes = slices.Insert(prefixes, 0, prefix)
	r.prefixes = prefixes[:min(len(prefixes), maxRecentPrefixes)]
}

// list returns a copy of the prefixes for a message.
func (r *prefixHistory) list() []uint64 { return slices.Clone(r.prefixes) }
