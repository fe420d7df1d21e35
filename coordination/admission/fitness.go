package admission

import "time"

// Fitness says how many servers a request could go to, and why it cannot go to the others. Each server
// counts for the first reason that holds, in the order of the fields.
type Fitness struct {
	// Known is the number of servers in the request's regions, and of its version if it is bound.
	Known int
	// BackingOff is the number of those that requested a back-off, Avoided that of those at which the
	// request failed, Ejected, Cold and Untrusted those of servers that are ejected, whose rates are used
	// up as they are cold, and whose processes are not known well enough.
	BackingOff, Avoided, Ejected, Cold, Untrusted int
}

// Usable returns the number of servers that can get the request.
func (f Fitness) Usable() int {
	return f.Known - f.BackingOff - f.Avoided - f.Ejected - f.Cold - f.Untrusted
}

// Survey returns to how many servers the request could go. It places nothing.
func (s *State) Survey(now time.Time, req Request) Fitness {
	s.syncWarmup()
	_, excluded := s.usable(now, s.pool(req.Service), req)
	return excluded.fitness
}
