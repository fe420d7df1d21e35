// Package rotation decides when an overloaded router leaves the balancer's rotation and
// when it returns, in agreement with the other routers of its data centre.
//
// It answers this pattern: one team's callers flood a data centre. The balancer tries its
// routers for a caller in a fixed order, so the flood hits one router after another until
// one can handle it, and falls back on the first that is ready again, which closes
// thousands of connections before it leaves once more. So routers that could not handle the
// flood stay out of rotation for long. But as soon as fewer than half of the routers of a
// data centre are ready, the balancer sends callers to all of them, ready or not. So never
// more than half may be out of rotation, and when another router must leave, the one that
// has been out longest returns.
//
// A State performs no I/O and reads no clock. Direct routers use it.
package rotation

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the times and numbers of a State.
type Config struct {
	// MinPause is the shortest time for which a router stays out of rotation. Default 6s:
	// the balancer needs two seconds to notice the change, and as long to notice the return.
	MinPause time.Duration
	// MaxPause is the longest time for which a router stays out of rotation when it has
	// enough neighbours, unless one of them must leave. Default 60s, longer than most
	// floods.
	MaxPause time.Duration
	// AloneUpTo is the number of routers of a data centre up to which each decides alone: if
	// none is ready, the balancer uses other data centres. Their pause doubles, up to four
	// times MinPause, while the load returns at once. Default 3.
	AloneUpTo int
	// SpareFrom is the number of routers from which one more than half stays in rotation,
	// because one of them may have failed unnoticed. Default 6.
	SpareFrom int
	// SilentAfter is the time after which a neighbour without a new status counts as out of
	// rotation, and GoneAfter the time after which it is no longer counted at all; three and
	// six times the period between statuses if that is longer. Defaults 3s and 10s.
	SilentAfter time.Duration
	GoneAfter   time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		MinPause: 6 * time.Second, MaxPause: time.Minute, AloneUpTo: 3, SpareFrom: 6, SilentAfter: 3 * time.Second, GoneAfter: 10 * time.Second,
	}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, what string) {
		if !ok {
			err = errors.CombineErrors(err, errors.New(what))
		}
	}
	check(c.MinPause > 0, "MinPause must be positive")
	check(c.MaxPause >= c.MinPause, "MaxPause must be at least MinPause")
	check(c.AloneUpTo > 0, "AloneUpTo must be positive")
	check(c.SpareFrom > 0, "SpareFrom must be positive")
	check(c.SilentAfter > 0 && c.GoneAfter >= c.SilentAfter, "GoneAfter must be at least SilentAfter, both positive")
	return err
}

// Status is what a router sends to its neighbours.
type Status struct {
	// Away is for how long the router has been out of rotation; 0: it is in rotation.
	Away time.Duration
	// Late is true if the router has more work than it can do.
	Late bool
}

// neighbour is another router of the data centre.
type neighbour struct {
	status     Status
	receivedAt time.Time
}

// State is one router's view of the rotation. It must be used by one goroutine at a time.
type State struct {
	cfg        Config
	neighbours map[string]neighbour
	overloaded bool
	out        bool
	// leftAt and returnedAt are when the router last left the rotation and last returned.
	leftAt, returnedAt time.Time
	pause              time.Duration
	// period is the time between two statuses of a neighbour.
	period time.Duration
}

// New returns the state of a router that is in rotation and knows no neighbours. The config
// must be valid.
func New(cfg Config) *State {
	return &State{cfg: cfg, neighbours: make(map[string]neighbour), pause: cfg.MinPause}
}

// SetPeriod sets the time between two statuses of a neighbour.
func (s *State) SetPeriod(period time.Duration) { s.period = period }

func (s *State) silentAfter() time.Duration { return max(s.cfg.SilentAfter, 3*s.period) }

func (s *State) goneAfter() time.Duration { return max(s.cfg.GoneAfter, 6*s.period) }

// Receive records the status of another router of the data centre.
func (s *State) Receive(now time.Time, router string, status Status) {
	s.neighbours[router] = neighbour{status: status, receivedAt: now}
}

// Status returns what this router sends to its neighbours.
func (s *State) Status(now time.Time) Status {
	status := Status{Late: s.overloaded}
	if s.out {
		status.Away = max(now.Sub(s.leftAt), time.Millisecond)
	}
	return status
}

// OutOfRotation reports whether the router is out of rotation.
func (s *State) OutOfRotation() bool { return s.out }

// Observe takes whether the router is overloaded and whether it reads its input on time;
// both may be false. It reports whether the router left the rotation or returned.
func (s *State) Observe(now time.Time, overloaded, onTime bool) (changed bool) {
	s.overloaded = overloaded
	switch {
	case !s.out && overloaded && s.mayLeave(now):
		s.leave(now)
	case s.out && onTime && s.mayReturn(now):
		s.out, s.returnedAt = false, now
	default:
		return false
	}
	return true
}

func (s *State) leave(now time.Time) {
	if !s.returnedAt.IsZero() && now.Sub(s.returnedAt) < 2*s.pause {
		s.pause = min(2*s.pause, maxPauseFactor*s.cfg.MinPause)
	} else {
		s.pause = s.cfg.MinPause
	}
	s.out, s.leftAt = true, now
}

// maxPauseFactor bounds the doublings of a pause.
const maxPauseFactor = 4

// mayLeave reports whether enough other routers remain in rotation.
func (s *State) mayLeave(now time.Time) bool {
	all, out := s.count(now)
	return all <= s.cfg.AloneUpTo || out < s.maxOut(all)
}

// mayReturn reports whether the router has been out of rotation for long enough: for
// MaxPause, or until too many are out, or until a neighbour must leave that cannot, unless
// another router that has been out longer can return in its place.
func (s *State) mayReturn(now time.Time) bool {
	all, out := s.count(now)
	since := now.Sub(s.leftAt)
	switch {
	case all <= s.cfg.AloneUpTo:
		return since >= s.pause
	case since < s.cfg.MinPause:
		return false
	case since >= s.cfg.MaxPause || out >= s.maxOut(all):
		return true
	default:
		return out+1 >= s.maxOut(all) && s.isNeeded(now) && s.isFirstToReturn(now)
	}
}

// count returns the number of routers of the data centre, and how many of the other routers
// are out of rotation.
func (s *State) count(now time.Time) (all, out int) {
	all = 1
	for id, n := range s.neighbours {
		silent := now.Sub(n.receivedAt)
		if silent > s.goneAfter() {
			delete(s.neighbours, id)
			continue
		}
		all++
		if n.status.Away > 0 || silent > s.silentAfter() {
			out++
		}
	}
	return all, out
}

// maxOut is the number of routers, of all, that may be out of rotation.
func (s *State) maxOut(all int) int {
	limit := all / 2
	if all >= s.cfg.SpareFrom {
		limit--
	}
	return limit
}

// isNeeded reports whether a neighbour in rotation is overloaded.
func (s *State) isNeeded(now time.Time) bool {
	for _, n := range s.neighbours {
		if n.status.Late && n.status.Away == 0 && now.Sub(n.receivedAt) <= s.silentAfter() {
			return true
		}
	}
	return false
}

// isFirstToReturn reports whether no neighbour that could return has been out of rotation
// for longer.
func (s *State) isFirstToReturn(now time.Time) bool {
	own := now.Sub(s.leftAt)
	for _, n := range s.neighbours {
		age := now.Sub(n.receivedAt)
		if n.status.Away > 0 && !n.status.Late && age <= s.silentAfter() && n.status.Away+age > own {
			return false
		}
	}
	return true
}
