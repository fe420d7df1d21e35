package orders

import (
	"slices"
	"time"
)

// pendingOrders returns the orders that remain to be sent, in sequence: loads
// first, so that the pool keeps its capacity, then the role, then unloads.
func (s *State) pendingOrders() []Order {
	if !s.want.Managed() || !s.haveCurrent {
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

// permitFor returns the permit that an order with the verb needs.
func permitFor(v Verb) Permit {
	if v == Load {
		return PermitLoad
	}
	return PermitWave
}

// advance emits the actions that are possible now.
func (s *State) advance(now time.Time) {
	if !s.want.Managed() {
		s.finish()
		return
	}
	s.observe(now)
	if s.sent != nil || s.validating != nil || !s.haveCurrent || s.behind() || now.Before(s.retryAt) {
		return
	}
	pending := s.pendingOrders()
	if len(pending) == 0 {
		s.finish()
		return
	}
	next := pending[0]
	if !s.permitted(permitFor(next.Verb)) || !s.idle(now, next) {
		return
	}
	s.lastID++
	next.ID = s.lastID
	s.validating = &next
	s.emit(Validate{})
}

// observe reads the engine's state when that is due.
func (s *State) observe(now time.Time) {
	awaitingAnswer := s.sent != nil && !s.unanswered
	if s.observing || awaitingAnswer || now.Before(s.observeAt) || now.Before(s.retryAt) {
		return
	}
	s.observing = true
	s.observeID++
	s.emit(Observe{ID: s.observeID})
}

// permitted reports whether the permit is held, and requests it if not.
func (s *State) permitted(p Permit) bool {
	if s.heldPermit == p {
		return true
	}
	if s.heldPermit != NoPermit {
		s.emit(Release{Permit: s.heldPermit})
		s.heldPermit = NoPermit
	}
	if s.requestedPermit == NoPermit {
		s.requestedPermit = p
		s.emit(Acquire{Permit: p})
	}
	return false
}

// idle pauses the backend server before its role changes, and reports whether
// the order may be sent: no request is running, or IdleWait has passed.
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

// finish resumes admission and releases the permit when no order remains.
func (s *State) finish() {
	if s.paused {
		s.paused = false
		s.emit(Pause{On: false})
	}
	if s.heldPermit != NoPermit {
		s.emit(Release{Permit: s.heldPermit})
		s.heldPermit = NoPermit
	}
}
