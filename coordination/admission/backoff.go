package admission

import (
	"math"
	"slices"
	"time"

	"goldcrestport/coordination/backoff"
)

// exclusions summarises why servers were excluded for a request.
type exclusions struct {
	// firstWait is the time until the first excluded server may get a request; 0:
	// unknown.
	firstWait time.Duration
	// fitness counts the servers by why they were excluded.
	fitness Fitness
	// firstIsCold and firstBacksOff say which of the two excludes the server of
	// firstWait: its rate limit as a cold server, or a back-off that it requested.
	firstIsCold, firstBacksOff bool
	// avoidedWait is the time until a server at which the request failed may get it
	// again; 0: there is none.
	avoidedWait time.Duration
}

func (e *exclusions) addBackoff(wait time.Duration) {
	e.fitness.BackingOff++
	if e.firstWait == 0 || wait < e.firstWait {
		e.firstWait, e.firstIsCold, e.firstBacksOff = wait, false, true
	}
}

func (e *exclusions) addCold(wait time.Duration) {
	e.fitness.Cold++
	if e.firstWait == 0 || wait < e.firstWait {
		e.firstWait, e.firstIsCold, e.firstBacksOff = wait, true, false
	}
}

func (e *exclusions) addAvoided(wait time.Duration) {
	if e.avoidedWait == 0 || wait < e.avoidedWait {
		e.avoidedWait = wait
	}
}

// retrySpread is the interval over which the retry times of callers are spread that
// would otherwise all come back at the same moment.
const retrySpread = 250 * time.Millisecond

// refuseUnplaceable refuses a request that no server may get, and says when the
// first server may get it.
func (s *State) refuseUnplaceable(e exclusions) Decision {
	switch {
	case e.firstWait == 0, e.firstBacksOff && e.avoidedWait > 0 && e.avoidedWait < e.firstWait:
		return Decision{Verdict: NoServer, Reason: ReasonNoServer, RetryAfter: s.cfg.RetryAfterMin}
	case e.firstIsCold:
		return Decision{Verdict: Refuse, Reason: ReasonCold, Cold: true, RetryAfter: min(max(e.firstWait, s.cfg.RetryAfterMin), s.cfg.RetryAfterMax)}
	default:
		return Decision{Verdict: Refuse, Reason: ReasonBackoff, RetryAfter: e.firstWait + s.nextSpread()}
	}
}

// retryAfter limits the time after which a refused caller is asked to come back. The
// callers of a throttled team get different times, so that they do not all come back
// at once.
func (s *State) retryAfter(after time.Duration, throttled bool) time.Duration {
	after = max(after, s.cfg.RetryAfterMin)
	if throttled {
		after += s.nextSpread()
	}
	return min(after, s.cfg.RetryAfterMax)
}

// nextSpread returns an offset within retrySpread. Successive offsets are evenly
// distributed over it, however many there are.
func (s *State) nextSpread() time.Duration {
	s.spreadCount++
	_, fraction := math.Modf(float64(s.spreadCount) * (math.Phi - 1))
	return time.Duration(fraction * float64(retrySpread))
}

// BackoffRequested records that the server of the run refused it and wants no
// requests of this router for the given time. It reports whether this starts a
// back-off.
func (s *State) BackoffRequested(now time.Time, r *Run, after time.Duration) (started bool) {
	r.backoffProbe = false
	b := s.backoffOf(r.server)
	if !s.isKnown(r.server) {
		s.departedBackoffs[r.server.identity] = b
	}
	return b.BackoffRequested(now, after, s.cfg.Backoff)
}

// MaySend reports whether the server of the run still accepts requests.
func (s *State) MaySend(now time.Time, r *Run) bool { return s.backoffOf(r.server).Accepts(now) }

// Backoff returns the back-off state of the run's server.
func (s *State) Backoff(r *Run) *backoff.Server { return s.backoffOf(r.server) }

// isKnown reports whether the server is known, also if it was removed and added
// again as the same incarnation.
func (s *State) isKnown(srv *server) bool {
	current := s.servers[srv.id]
	return current != nil && current.identity == srv.identity
}

// backoffOf returns the back-off state of the server. A run's server may have been
// removed, and added again, since the request was sent.
func (s *State) backoffOf(srv *server) *backoff.Server {
	if s.isKnown(srv) {
		return s.servers[srv.id].backoff
	}
	if kept := s.departedBackoffs[srv.identity]; kept != nil {
		return kept
	}
	return srv.backoff
}

// BackoffWait returns the time until the first back-off of a server of the service
// ends; 0 if a server accepts requests now.
func (s *State) BackoffWait(now time.Time, service string) time.Duration {
	var first time.Duration
	for _, srv := range s.pool(service).servers {
		wait := srv.backoff.Wait(now)
		if wait == 0 {
			return 0
		}
		if first == 0 || wait < first {
			first = wait
		}
	}
	return first
}

// HasOther reports whether a server that the request may go to, other than those that it
// avoids, accepts requests.
func (s *State) HasOther(now time.Time, req Request) bool {
	return slices.ContainsFunc(s.pool(req.Service).servers, func(srv *server) bool {
		return srv.backoff.Wait(now) == 0 && !slices.Contains(req.Avoid, srv.id) && req.Bound.allows(srv)
	})
}

// BackingOff returns the number of servers whose back-off lasts.
func (s *State) BackingOff(now time.Time) int {
	n := 0
	for _, srv := range s.servers {
		if !srv.backoff.Accepts(now) {
			n++
		}
	}
	return n
}

// keepBackoff keeps the back-off of a server that is removed.
func (s *State) keepBackoff(srv *server) {
	if srv.backoff.InBackoff() {
		s.departedBackoffs[srv.identity] = srv.backoff
	}
}

// restoreBackoff gives a server the back-off that it had requested before it was
// removed.
func (s *State) restoreBackoff(srv *server) {
	srv.backoff = s.departedBackoffs[srv.identity]
	if srv.backoff == nil {
		srv.backoff = &backoff.Server{}
	}
	delete(s.departedBackoffs, srv.identity)
}

// dropExpiredBackoffs drops the kept back-offs that have ended.
func (s *State) dropExpiredBackoffs(now time.Time) {
	for identity, b := range s.departedBackoffs {
		if b.Accepts(now) {
			delete(s.departedBackoffs, identity)
		}
	}
}
