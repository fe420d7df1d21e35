package orders

import (
	"slices"
	"time"
)

// todo returns the orders still to give, in their order: first what adds, so
// that a pool keeps its capacity, then the role, then what takes away.
func (s *State) todo() []Order {
	if !s.want.Managed() || !s.known {
		return nil
	}
	var out []Order
	for _, i := range s.want.Items {
		if !slices.Contains(s.have.Items, i) {
			out = append(out, Order{Fence: s.want.Revision, Verb: Load, Item: i})
		}
	}
	if s.want.Role != "" && s.want.Role != s.have.Role {
		out = append(out, Order{Fence: s.want.Revision, Verb: SetRole, Role: s.want.Role})
	}
	for _, i := range s.have.Items {
		if !slices.Contains(s.want.Items, i) {
			out = append(out, Order{Fence: s.want.Revision, Verb: Unload, Item: i})
		}
	}
	return out
}

// permitFor returns what an order needs.
func permitFor(v Verb) Permit {
	if v == Load {
		return PermitLoad
	}
	return PermitWave
}

// advance takes the next step that is possible now.
func (s *State) advance(now time.Time) {
	if !s.want.Managed() {
		s.rest()
		return
	}
	s.look(now)
	if s.sent != nil || s.checking != nil || !s.known || s.behind() || now.Before(s.retryAt) {
		return
	}
	todo := s.todo()
	if len(todo) == 0 {
		s.rest()
		return
	}
	next := todo[0]
	if !s.permitted(permitFor(next.Verb)) || !s.idle(now, next) {
		return
	}
	s.lastID++
	next.ID = s.lastID
	s.checking = &next
	s.emit(Validate{})
}

// look reads what the engine has when it is time to.
func (s *State) look(now time.Time) {
	waits := s.sent != nil && !s.unsure
	if s.observing || waits || now.Before(s.lookAt) || now.Before(s.retryAt) {
		return
	}
	s.observing = true
	s.lookID++
	s.emit(Observe{ID: s.lookID})
}

// permitted reports whether the permit is held and asks for it if not.
func (s *State) permitted(p Permit) bool {
	if s.held == p {
		return true
	}
	if s.held != NoPermit {
		s.emit(Release{Permit: s.held})
		s.held = NoPermit
	}
	if s.acquiring == NoPermit {
		s.acquiring = p
		s.emit(Acquire{Permit: p})
	}
	return false
}

// idle pauses the backend server before its role changes and reports whether
// it serves nothing any more.
func (s *State) idle(now time.Time, o Order) bool {
	if o.Verb != SetRole {
		return true
	}
	if !s.paused {
		s.paused, s.pausedAt = true, now
		s.emit(Pause{On: true})
		return false
	}
	return s.running == 0 || now.Sub(s.pausedAt) > s.cfg.IdleWait
}

// rest gives back what is not needed when nothing is left to do.
func (s *State) rest() {
	if s.paused {
		s.paused = false
		s.emit(Pause{On: false})
	}
	if s.held != NoPermit {
		s.emit(Release{Permit: s.held})
		s.held = NoPermit
	}
}
