package soak

import "time"

// leaveHeld lets a server leave while the way to it holds what is sent, and heals the way
// while the server still takes requests.
func (i *injector) leaveHeld() failure {
	s := i.take(true)
	if s == nil {
		return nothing()
	}
	before, after := i.length(50*time.Millisecond, 2*time.Second), i.length(100*time.Millisecond, drain+time.Second)
	silent := i.random.IntN(3) == 0
	return failure{kind: serverLink, router: noRouter, server: s.ID, do: func() {
		s.link.Hold()
		time.Sleep(before)
		healed := time.AfterFunc(after, s.link.Heal)
		defer healed.Stop()
		i.drain(s, silent)
	}}
}
