// Package rotation decides when a router that has more work than it can do leaves the
// balancer's rotation, and when it is back, together with the other routers of its data
// centre.
//
// The pattern that it answers: one team's callers flood a data centre. The balancer
// takes its routers for a caller in one order, so that the flood falls on one router
// after another until one bears it, and falls back on the first that is ready again,
// which closes thousands of connections before it has left once more. So those that
// could not bear it stay away for long. But the balancer sends callers to all routers of
// a data centre, also to those that are not ready, as soon as fewer than half of them
// are ready: so never more than half may be away, and when another one must leave, the
// one that is away for longest comes back.
//
// A State is pure. Direct routers use it.
package rotation

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the times and numbers of a State.
type Config struct {
	// LeastPause is the least time for which a router stays away. Default 6s: the
	// balancer needs two seconds to notice, and as long to take it back.
	LeastPause time.Duration
	// Hold is the greatest time for which it stays away when it has enough
	// neighbours, unless one of them must leave. Default 60s, longer than most
	// floods.
	Hold time.Duration
	// Few is the number of routers of a data centre up to which each decides alone:
	// without any, the balancer goes to other data centres. Their pause doubles, up
	// to four times its least, while the load comes back at once. Default 3.
	Few int
	// SpareFrom is the number of routers from which one more than half stays in
	// rotation, as one of them may be gone unnoticed. Default 6.
	SpareFrom int
	// Silent is the time after which a neighbour that tells nothing counts as away,
	// and Gone that after which it counts no more; three and six times the period in
	// which neighbours tell, if that is longer. Defaults 3s and 10s.
	Silent time.Duration
	Gone   time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		LeastPause: 6 * time.Second, Hold: time.Minute, Few: 3, SpareFrom: 6, Silent: 3 * time.Second, Gone: 10 * time.Second,
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
	check(c.LeastPause > 0, "LeastPause must be positive")
	check(c.Hold >= c.LeastPause, "Hold must be at least LeastPause")
	check(c.Few > 0, "Few must be positive")
	check(c.SpareFrom > 0, "SpareFrom must be positive")
	check(c.Silent > 0 && c.Gone >= c.Silent, "Gone must be at least Silent, both positive")
	return err
}

// Word is what a router tells its neighbours.
type Word struct {
	// Away is for how long it has been out of rotation; 0: it is in.
	Away time.Duration
	// Late tells that it has more work than it can do.
	Late bool
}

// neighbour is another router of the data centre.
type neighbour struct {
	word Word
	at   time.Time
}

// State is one router's place in the rotation. It must be used by one goroutine at a
// time.
type State struct {
	cfg        Config
	neighbours map[string]neighbour
	late       bool
	away       bool
	// left and back are when it left last and was back last.
	left, back time.Time
	pause      time.Duration
	// period is the time between two words of a neighbour.
	period time.Duration
}

// New returns the state of a router that is in rotation and has heard of nobody. The
// config must be valid.
func New(cfg Config) *State {
	return &State{cfg: cfg, neighbours: make(map[string]neighbour), pause: cfg.LeastPause}
}

// SetPeriod tells how much time lies between two words of a neighbour.
func (s *State) SetPeriod(period time.Duration) { s.period = period }

func (s *State) silentAfter() time.Duration { return max(s.cfg.Silent, 3*s.period) }

func (s *State) goneAfter() time.Duration { return max(s.cfg.Gone, 6*s.period) }

// Heard takes the word of another router of the data centre.
func (s *State) Heard(now time.Time, router string, w Word) {
	s.neighbours[router] = neighbour{word: w, at: now}
}

// Word returns what this router tells its neighbours.
func (s *State) Word(now time.Time) Word {
	w := Word{Late: s.late}
	if s.away {
		w.Away = max(now.Sub(s.left), time.Millisecond)
	}
	return w
}

// Away reports whether the router is out of rotation.
func (s *State) Away() bool { return s.away }

// Observe takes whether the router has more work than it can do, and whether it is
// calm: it may be neither. It reports whether the router left or is back.
func (s *State) Observe(now time.Time, late, calm bool) (changed bool) {
	s.late = late
	switch {
	case !s.away && late && s.mayLeave(now):
		s.leave(now)
	case s.away && calm && s.mayReturn(now):
		s.away, s.back = false, now
	default:
		return false
	}
	return true
}

func (s *State) leave(now time.Time) {
	if !s.back.IsZero() && now.Sub(s.back) < 2*s.pause {
		s.pause = min(2*s.pause, mostDoubled*s.cfg.LeastPause)
	} else {
		s.pause = s.cfg.LeastPause
	}
	s.away, s.left = true, now
}

// mostDoubled bounds the doublings of a pause.
const mostDoubled = 4

// mayLeave reports whether enough others are left.
func (s *State) mayLeave(now time.Time) bool {
	all, away := s.count(now)
	return all <= s.cfg.Few || away < s.mostAway(all)
}

// mayReturn reports whether the router has been away for long enough: for Hold, or
// until too many are away, or until a neighbour must leave that cannot, unless another
// one that is away for longer can come back for it.
func (s *State) mayReturn(now time.Time) bool {
	all, away := s.count(now)
	since := now.Sub(s.left)
	switch {
	case all <= s.cfg.Few:
		return since >= s.pause
	case since < s.cfg.LeastPause:
		return false
	case since >= s.cfg.Hold || away >= s.mostAway(all):
		return true
	default:
		return away+1 >= s.mostAway(all) && s.isWanted(now) && s.isFirstToReturn(now)
	}
}

// count returns the number of routers of the data centre and of the others that are
// away.
func (s *State) count(now time.Time) (all, away int) {
	all = 1
	for id, n := range s.neighbours {
		silent := now.Sub(n.at)
		if silent > s.goneAfter() {
			delete(s.neighbours, id)
			continue
		}
		all++
		if n.word.Away > 0 || silent > s.silentAfter() {
			away++
		}
	}
	return all, away
}

// mostAway is the number of routers that may be away of all.
func (s *State) mostAway(all int) int {
	most := all / 2
	if all >= s.cfg.SpareFrom {
		most--
	}
	return most
}

// isWanted reports whether a neighbour in rotation has more work than it can do.
func (s *State) isWanted(now time.Time) bool {
	for _, n := range s.neighbours {
		if n.word.Late && n.word.Away == 0 && now.Sub(n.at) <= s.silentAfter() {
			return true
		}
	}
	return false
}

// isFirstToReturn reports whether no neighbour that could return is away for longer.
func (s *State) isFirstToReturn(now time.Time) bool {
	own := now.Sub(s.left)
	for _, n := range s.neighbours {
		age := now.Sub(n.at)
		if n.word.Away > 0 && !n.word.Late && age <= s.silentAfter() && n.word.Away+age > own {
			return false
		}
	}
	return true
}
