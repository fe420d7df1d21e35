package sidecar

import "slices"

// recentPrefixes is the number of prefixes that a pull names.
const recentPrefixes = 4

// recent keeps the prefixes that the backend server served last, the latest
// first. They are hints for routers: the engine may have evicted them.
type recent struct{ prefixes []uint64 }

func (r *recent) add(prefix uint64) {
	if prefix == 0 {
		return
	}
	kept := slices.DeleteFunc(r.prefixes, func(p uint64) bool { return p == prefix })
	kept = slices.Insert(kept, 0, prefix)
	r.prefixes = kept[:min(len(kept), recentPrefixes)]
}

// names returns a copy for a message.
func (r *recent) names() []uint64 { return slices.Clone(r.prefixes) }
