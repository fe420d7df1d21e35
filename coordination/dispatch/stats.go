package dispatch

import "maps"

// Stats counts the decisions since the start.
type Stats struct {
	// Offers sent without a pull, and attempts that sidecars declined.
	Offers   uint64
	Declines uint64
	// Pulls answered with a request, and with Empty.
	Pulls   uint64
	Empties uint64
	// Interests is the number of registrations sent.
	Interests uint64
	// Reordered is the number of pulls answered out of order.
	Reordered uint64
	// Retries granted by the budget; the denied ones are in Refused.
	Retries uint64
	// Ejections of sidecars, and Ejected sidecars now.
	Ejections uint64
	Ejected   int
	// Refused requests by reason.
	Refused map[RefuseReason]uint64
}

// Stats returns a copy of the counters.
func (s *State) Stats() Stats {
	out := s.stats
	out.Refused = maps.Clone(s.stats.Refused)
	for _, c := range s.peers {
		if c.health.Ejected() {
			out.Ejected++
		}
	}
	return out
}

// Waiting returns the number of requests that wait at the router.
func (s *State) Waiting() int { return s.queued }

// WaitingBy returns the number of waiting requests by service and team,
// without those that have none.
func (s *State) WaitingBy() map[string]map[string]int {
	out := map[string]map[string]int{}
	for service, p := range s.pools {
		for _, q := range p.active {
			if q.len() == 0 {
				continue
			}
			if out[service] == nil {
				out[service] = map[string]int{}
			}
			out[service][q.team] = q.len()
		}
	}
	return out
}
