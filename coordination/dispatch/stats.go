package dispatch

import "maps"

// Stats holds counters of the decisions since the start.
type Stats struct {
	// Offers is the number of attempts sent without a pull.
	Offers uint64
	// Declines is the number of attempts that sidecars declined.
	Declines uint64
	// Pulls is the number of pulls answered with a request.
	Pulls uint64
	// Empties is the number of pulls answered with Empty.
	Empties uint64
	// Registrations is the number of registrations and withdrawals sent.
	Registrations uint64
	// Reordered is the number of pulls answered out of order of arrival.
	Reordered uint64
	// Retries is the number of retries granted by the retry budget. Denied
	// retries are counted in Refused.
	Retries uint64
	// Ejections is the number of times that a sidecar was ejected.
	Ejections uint64
	// Ejected is the number of sidecars that are ejected now.
	Ejected int
	// Refused is the number of refused requests by reason.
	Refused map[RefuseReason]uint64
}

// Stats returns a copy of the counters.
func (s *State) Stats() Stats {
	out := s.stats
	out.Refused = maps.Clone(s.stats.Refused)
	for _, sc := range s.sidecars {
		if sc.health.Ejected() {
			out.Ejected++
		}
	}
	return out
}

// Waiting returns the number of queued requests.
func (s *State) Waiting() int { return s.queued }

// WaitingByTeam returns the number of queued requests by service and team, without
// empty queues.
func (s *State) WaitingByTeam() map[string]map[string]int {
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
