package dispatch

import "time"

// keptPrefixes bounds the prefixes that a pool remembers.
const keptPrefixes = 4096

// affinity remembers which sidecar was sent each prefix last. It is a hint:
// the engine may have evicted it, and other routers send elsewhere.
type affinity struct {
	last map[uint64]string
	// ring holds the remembered prefixes, the oldest at next.
	ring []uint64
	next int
}

// note remembers that the sidecar was sent the prefix.
func (a *affinity) note(prefix uint64, sidecar string) {
	if prefix == 0 {
		return
	}
	if a.last == nil {
		a.last = map[uint64]string{}
	}
	if _, known := a.last[prefix]; !known {
		a.push(prefix)
	}
	a.last[prefix] = sidecar
}

func (a *affinity) push(prefix uint64) {
	if len(a.ring) < keptPrefixes {
		a.ring = append(a.ring, prefix)
		return
	}
	delete(a.last, a.ring[a.next])
	a.ring[a.next] = prefix
	a.next = (a.next + 1) % keptPrefixes
}

// warm returns the sidecar that is likely to have the request's prefix in its
// cache, if at least half of its slots are free: a busy one would make all
// its streams slower for the sake of one prompt.
func (s *State) warm(now time.Time, p *pool, e *entry) *peer {
	c := s.peers[p.affinity.last[e.req.Prefix]]
	if c == nil || c.service != p.service || !c.takesOffers(now, e) || 2*c.free < c.slots {
		return nil
	}
	return c
}
