package admission

import (
	"time"

	"goldcrestport/coordination/warmup"
)

// SetWarmup takes the state that bounds what cold servers get.
func (s *State) SetWarmup(w *warmup.State) { s.warmup, s.warmupSeen = w, -1 }

// followWarmup takes over which servers may be cold.
func (s *State) followWarmup() {
	if s.warmupSeen == s.warmup.Changes() {
		return
	}
	s.warmupSeen = s.warmup.Changes()
	for _, one := range s.servers {
		one.cold = s.warmup.Server(one.identity)
	}
}

// coldWait is how long the server may get nothing from this router, because it is
// cold and this router's part of its rate is used.
func (s *State) coldWait(now time.Time, one *server) time.Duration {
	if one.cold == nil {
		return 0
	}
	wait, _ := s.warmup.Wait(now, one.cold)
	return wait
}

// takeCold counts a request that is sent to the server, and returns until when it
// must have left; zero for no bound.
func (s *State) takeCold(now time.Time, one *server) time.Time {
	if _, bounded := s.warmup.Wait(now, one.cold); bounded {
		return s.warmup.Take(now, one.cold)
	}
	return time.Time{}
}
