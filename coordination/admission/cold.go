package admission

import (
	"time"

	"goldcrestport/coordination/warmup"
)

// SetWarmup sets the state that limits the rate of requests to cold servers.
func (s *State) SetWarmup(w *warmup.State) { s.warmup, s.warmupSeen = w, -1 }

// syncWarmup updates which servers may be cold.
func (s *State) syncWarmup() {
	if s.warmupSeen == s.warmup.Changes() {
		return
	}
	s.warmupSeen = s.warmup.Changes()
	for _, srv := range s.servers {
		srv.cold = s.warmup.Server(srv.identity)
	}
}

// coldWait returns the time until this router may send to the server, which it may
// not while the server is cold and this router's share of its rate is used up.
func (s *State) coldWait(now time.Time, srv *server) time.Duration {
	if srv.cold == nil {
		return 0
	}
	wait, _ := s.warmup.Wait(now, srv.cold)
	return wait
}

// takeCold counts a request to a cold server and returns the time by which it must
// have been sent; zero: no limit.
func (s *State) takeCold(now time.Time, srv *server) time.Time {
	if _, limited := s.warmup.Wait(now, srv.cold); limited {
		return s.warmup.Take(now, srv.cold)
	}
	return time.Time{}
}
