// Package bodybudget decides how much memory the bodies of callers' requests may take in a process, and who
// yields when it is short.
//
// It answers this pattern: many callers send large bodies at once, or stop just short of the end of theirs and
// stay connected. Each body is within its limit; their sum is not. So each body is charged before its buffer
// grows, by what has arrived and not by what was declared. When a charge does not fit, unfinished bodies that
// make no progress end first, those of the address that holds most before others; next the newest large ones,
// whose callers lose least. A finished body never ends: its request may be at work. A part of the budget is for
// small bodies only, so that ordinary callers are served beside a crowd that holds the rest.
//
// A State performs no I/O and reads no clock. Routers use it.
package bodybudget

import (
	"cmp"
	"slices"
	"time"
)

// Owner says whose body it is.
type Owner struct {
	// Team is the caller's team, or "" without one, and Address the caller's address.
	Team, Address string
}

// Body is one body that is charged to a budget.
type Body struct {
	owner Owner
	// held is what is charged, in bytes, and arrived what has come of the body.
	held, arrived int64
	// finished is set once the whole body has arrived, ending once it must end for others.
	finished, ending bool
	openedAt, lastAt time.Time
	// interrupt ends the reading of the body.
	interrupt func()
	// before and since are two readings of arrived, at least StallTime apart, from which its rate is found.
	before, since reading
}

// Interrupt ends the reading of the body. It is to be called for each body that must end.
func (b *Body) Interrupt() {
	if b.interrupt != nil {
		b.interrupt()
	}
}

// reading is how much of a body had arrived at a time.
type reading struct {
	at      time.Time
	arrived int64
}

// Verdict is the answer to a request for memory.
type Verdict int

// Verdicts.
const (
	// Granted means that the memory is charged.
	Granted Verdict = iota
	// Waits means that bodies are ending for it: ask again once one was closed.
	Waits
	// Refused means that the memory cannot be had: the body must end.
	Refused
)

// State is the budget of one process. It must be used by one goroutine at a time.
type State struct {
	cfg   Config
	limit int64
	// all is what all bodies hold, byTeam what those of each team hold, and byAddress that of each address.
	all       held
	byTeam    map[string]held
	byAddress map[string]int64
	bodies    map[*Body]struct{}
	released  releaseRate
	// refused counts the requests for memory that were refused, ended the bodies that were ended for others.
	refused, ended int64
}

// held is what some bodies hold, in bytes: in total, and those of them that are not small.
type held struct{ total, large int64 }

// plus returns the sum of both.
func (h held) plus(o held) held { return held{h.total + o.total, h.large + o.large} }

// New returns an empty budget of the limit in bytes. The config must be valid.
func New(cfg Config, limit int64) *State {
	return &State{
		cfg: cfg, limit: limit, byTeam: make(map[string]held), byAddress: make(map[string]int64), bodies: make(map[*Body]struct{}),
		released: releaseRate{window: cfg.MaxWait},
	}
}

// SetLimit changes the limit. Bodies that hold more than a lower limit allows are not ended for that.
func (s *State) SetLimit(limit int64) { s.limit = limit }

// Limit returns the limit in bytes.
func (s *State) Limit() int64 { return s.limit }

// Used returns the bytes that are charged.
func (s *State) Used() int64 { return s.all.total }

// Bodies returns the number of bodies.
func (s *State) Bodies() int { return len(s.bodies) }

// Unfinished returns the number of bodies that have not arrived whole.
func (s *State) Unfinished() int {
	n := 0
	for b := range s.bodies {
		if !b.finished {
			n++
		}
	}
	return n
}

// Open adds a body of which nothing has arrived. declared is its length in bytes, or -1 if unknown, and
// interrupt what Interrupt calls. It returns nil if that length cannot be had now.
func (s *State) Open(now time.Time, owner Owner, declared int64, interrupt func()) *Body {
	b := &Body{owner: owner, interrupt: interrupt, openedAt: now, lastAt: now, before: reading{at: now}, since: reading{at: now}}
	if declared > 0 && !s.fits(b, declared) {
		if _, enough := s.makeRoom(now, b, declared); !enough {
			s.refused++
			return nil
		}
	}
	s.bodies[b] = struct{}{}
	return b
}

// Progress records that n more bytes of the body have arrived.
func (s *State) Progress(now time.Time, b *Body, n int) {
	b.lastAt = now
	if now.Sub(b.since.at) >= s.cfg.StallTime {
		b.before, b.since = b.since, reading{now, b.arrived}
	}
	b.arrived += int64(n)
}

// IdleFor returns for how long nothing of the body has arrived.
func (b *Body) IdleFor(now time.Time) time.Duration { return now.Sub(b.lastAt) }

// Grow asks for n more bytes for the body. With Waits it returns the unfinished bodies that must end now,
// which may be none if enough of them are ending already.
func (s *State) Grow(now time.Time, b *Body, n int64) (Verdict, []*Body) {
	switch {
	case b.ending:
		return Refused, nil
	case s.fits(b, n):
		s.charge(b, n)
		return Granted, nil
	}
	victims, enough := s.makeRoom(now, b, n)
	if !enough {
		s.refused++
		return Refused, nil
	}
	for _, v := range victims {
		s.end(v)
	}
	return Waits, victims
}

// Finish records that the whole body has arrived. It returns false if the body must end for others.
func (s *State) Finish(b *Body) bool {
	b.finished = !b.ending
	return b.finished
}

// Shrink gives back n bytes of what the body holds.
func (s *State) Shrink(now time.Time, b *Body, n int64) {
	s.released.add(now, n)
	s.charge(b, -n)
}

// Close gives back what the body holds. The body must not be used any more.
func (s *State) Close(now time.Time, b *Body) {
	if _, known := s.bodies[b]; !known {
		return
	}
	delete(s.bodies, b)
	s.released.add(now, b.held)
	s.charge(b, -b.held)
}

// EndStalled picks up to n unfinished bodies of which nothing has arrived for the time, to be ended because
// connections are short: those that are idle for longest.
func (s *State) EndStalled(now time.Time, n int, idle time.Duration) []*Body {
	stalled := s.unfinished(func(b *Body) bool { return b.IdleFor(now) >= idle })
	slices.SortFunc(stalled, func(a, b *Body) int { return a.lastAt.Compare(b.lastAt) })
	stalled = stalled[:min(n, len(stalled))]
	for _, b := range stalled {
		s.end(b)
	}
	return stalled
}

// Wait returns after what time a caller whose n bytes were refused should come back: when as much has been given
// back at the recent rate, or, if nothing was, when bodies that stop coming have yielded.
func (s *State) Wait(now time.Time, n int64) time.Duration {
	rate := s.released.perSecond(now)
	short := float64(max(s.all.total+n-s.limit, s.all.large+n-s.largeLimit()))
	switch {
	case rate > 0 && short > 0:
	case s.Unfinished() > 0:
		// Those that stop yield by then.
		return min(max(s.cfg.StallTime, s.cfg.MinWait), s.cfg.MaxWait)
	default:
		return s.cfg.MinWait
	}
	wait := time.Duration(short / rate * float64(time.Second))
	return min(max(wait, s.cfg.MinWait), s.cfg.MaxWait)
}

// fits reports whether n more bytes of the body are free.
func (s *State) fits(b *Body, n int64) bool { return s.shortage(b, n).isNone() }

// isLarge reports whether the body would not be small with n more bytes.
func (s *State) isLarge(b *Body, n int64) bool { return b.held+n > s.cfg.Small }

// holds returns what the body holds.
func (s *State) holds(b *Body) held {
	if s.isLarge(b, 0) {
		return held{b.held, b.held}
	}
	return held{total: b.held}
}

// charge adds n bytes, which may be negative, to what the body holds.
func (s *State) charge(b *Body, n int64) {
	before := s.holds(b)
	b.held += n
	after := s.holds(b)
	change := held{after.total - before.total, after.large - before.large}
	s.all = s.all.plus(change)
	if team := s.byTeam[b.owner.Team].plus(change); team.total > 0 {
		s.byTeam[b.owner.Team] = team
	} else {
		delete(s.byTeam, b.owner.Team)
	}
	if s.byAddress[b.owner.Address] += n; s.byAddress[b.owner.Address] == 0 {
		delete(s.byAddress, b.owner.Address)
	}
}

// end marks an unfinished body as one that must end.
func (s *State) end(b *Body) {
	b.ending = true
	s.ended++
}

// Ended returns the number of bodies that were ended for others, and Refused the number of requests for memory
// that were refused.
func (s *State) Ended() int64 { return s.ended }

// Refused is explained at Ended.
func (s *State) Refused() int64 { return s.refused }

// unfinished returns the bodies that may be ended and that the filter takes.
func (s *State) unfinished(filter func(*Body) bool) []*Body {
	var out []*Body
	for b := range s.bodies {
		if !b.finished && !b.ending && b.held > 0 && filter(b) {
			out = append(out, b)
		}
	}
	return out
}

// isSlow reports whether the body makes so little progress that it yields to any other.
func (s *State) isSlow(now time.Time, b *Body) bool {
	if now.Sub(b.openedAt) < s.cfg.StallTime {
		return false
	}
	return now.Sub(b.lastAt) >= s.cfg.StallTime || b.rate(now) < s.cfg.MinRate
}

// rate returns the rate at which the body came lately, in bytes a second.
func (b *Body) rate(now time.Time) float64 {
	elapsed := now.Sub(b.before.at).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return float64(b.arrived-b.before.arrived) / elapsed
}

// yieldsBefore orders slow bodies: those of the address that holds most first, then the largest.
func (s *State) yieldsBefore(a, b *Body) int {
	return cmp.Or(
		cmp.Compare(s.byAddress[b.owner.Address], s.byAddress[a.owner.Address]),
		cmp.Compare(b.held, a.held),
		a.openedAt.Compare(b.openedAt),
	)
}
