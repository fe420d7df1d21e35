package dispatch

import "time"

// maxPrefixes is the maximum number of prefixes that a pool remembers.
const maxPrefixes = 4096

// affinity records the sidecar that each prefix was last sent to. It is a hint
// only: the inference engine may have evicted the prefix from its cache, and
// other routers may send it to other sidecars.
type affinity struct {
	// last maps each prefix to the ID of the sidecar.
	last map[uint64]string
	// ring holds the remembered prefixes in order of first use. When it is
	// full, the oldest is at next.
	ring []uint64
	next int
}

// record stores the sidecar as the last one that the prefix was sent to.
func (a *affinity) record(prefix uint64, sidecar string) {
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
	if len(a.ring) < maxPrefixes {
		a.ring = append(a.ring, prefix)
		return
	}
	delete(a.last, a.ring[a.next])
	a.ring[a.next] = prefix
	a.next = (a.next + 1) % maxPrefixes
}

// sidecarWithPrefix returns the sidecar that is likely to have the request's
// prefix cached, or nil if there is none or less than half of its slots are
// free. On a busier one, saving the prefill of one prompt would slow down all
// other streams.
func (s *State) sidecarWithPrefix(now time.Time, p *pool, e *entry) *sidecar {
	sc := s.sidecars[p.affinity.last[e.req.Prefix]]
	if sc == nil || sc.service != p.service || !sc.acceptsOffer(now, e) || 2*sc.free < sc.slots {
		return nil
	}
	return sc
}
