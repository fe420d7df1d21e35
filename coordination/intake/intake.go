// Package intake decides which new connections a router reads that gets more of them
// than its processor can do, and which it closes unread.
//
// The pattern that it answers: one team's callers flood one small router. What it has
// accepted and not read yet keeps its processor from its streams, and from what other
// routers tell it. Closing all that comes while it is late leaves it without streams for
// seconds, and hits the few connections of others as it hits the flood. So only a few
// connections are between their acceptance and the decision on their request at any
// time, and while these places are taken the next connections are closed unread. Half of
// the places go to teams within their share of the servers' capacity as they come, the
// others evenly to them, and those beyond it get one while most are free.
//
// A State is pure. Direct routers use it.
package intake

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the constants of a State.
type Config struct {
	// Calm is the number of connections that may be undecided, and Pressed and Fewest the
	// greatest and the least number while they are dealt out. Defaults 64, 16 and 2: a
	// small instance decides on sixteen in some twenty milliseconds.
	Calm    int
	Pressed int
	Fewest  int
	// Late is the mean lateness from which connections are dealt out and their places
	// become fewer, and InTime that below which they become more. Defaults 30ms and 15ms:
	// what is accepted at 30ms is read after about six times as long, a third of the most
	// urgent objective.
	Late   time.Duration
	InTime time.Duration
	// Gain is the weight of one observation in the mean lateness. Default 0.3: at one
	// each 25ms a flood is noticed within a tenth of a second.
	Gain float64
	// Press is the time for which half of the places were taken from which connections
	// are dealt out. Default 50ms.
	Press time.Duration
	// Every is the time between two changes. Default 100ms.
	Every time.Duration
	// Least is the number of connections a second that are read though the router holds
	// as many streams as it can. Default 20.
	Least float64
	// Over is the time for which no connection was closed until they are dealt out no
	// more. Default 1s.
	Over time.Duration
	// Teams bounds those that are told apart. Default 256.
	Teams int
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Calm: 64, Pressed: 16, Fewest: 2, Late: 30 * time.Millisecond, InTime: 15 * time.Millisecond, Gain: 0.3, Press: 50 * time.Millisecond, Every: 100 * time.Millisecond,
		Least: 20, Over: time.Second, Teams: 256,
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
	check(c.Fewest > 0 && c.Pressed >= c.Fewest && c.Calm >= c.Pressed, "Fewest must be positive, Pressed at least as much, Calm at least that")
	check(c.InTime > 0 && c.Late > c.InTime, "InTime must be positive, Late above it")
	check(c.Gain > 0 && c.Gain <= 1, "Gain must be between 0 and 1")
	check(c.Press > 0, "Press must be positive")
	check(c.Every > 0, "Every must be positive")
	check(c.Least > 0, "Least must be positive")
	check(c.Over > 0, "Over must be positive")
	check(c.Teams > 0, "Teams must be positive")
	return err
}

// team is what one team has in hand here.
type team struct {
	// undecided are its connections among the state's.
	undecided int
	// came is the mean rate of its connections, a second; arrived those since the last
	// change.
	came    float64
	arrived int
	// beyond tells that it is beyond its share.
	beyond bool
}

// State is the intake of one router. It must be used by one goroutine at a time.
type State struct {
	cfg   Config
	teams map[string]*team
	// undecided is the number of connections whose request is not decided on.
	undecided int
	// holders is the number of teams within their share that called lately, at least 1.
	holders int
	// pressed is since when half of the places were taken; zero while most are free.
	pressed time.Time
	// late is the mean lateness.
	late float64
	// dealing tells that connections are dealt out, places how many may be undecided.
	dealing bool
	places  float64
	// full tells that the router holds as many streams as it can; credit is the number
	// of connections that may be read all the same.
	full    bool
	credit  float64
	changed time.Time
	// closedAt is when one was closed last.
	closedAt time.Time
}

// New returns an intake that reads everything. The config must be valid.
func New(cfg Config) *State { return &State{cfg: cfg, teams: make(map[string]*team), holders: 1} }

// Dealing reports whether connections are dealt out.
func (s *State) Dealing() bool { return s.dealing }

// Undecided returns the number of connections whose request is not decided on.
func (s *State) Undecided() int { return s.undecided }

// Teams returns the teams whose callers came lately.
func (s *State) Teams() []string { return slices.Collect(maps.Keys(s.teams)) }

// HasRoom reports whether one more connection may be undecided.
func (s *State) HasRoom() bool {
	if s.dealing {
		return s.undecided < int(s.places)
	}
	return s.undecided < s.cfg.Calm
}

// Takes reports whether a new connection of the team is to be read, and the name under
// which Decided is to be told of it. Beyond tells that the team got more than its share of
// the servers' capacity. Callers whose team is not known count as one team.
func (s *State) Takes(now time.Time, name string, beyond bool) (as string, taken bool) {
	t, as := s.team(name)
	t.arrived++
	if s.dealing && !s.isDealt(t, beyond) {
		s.closedAt = now
		return as, false
	}
	t.undecided++
	s.undecided++
	if s.pressed.IsZero() && s.undecided >= s.cfg.Calm/2 {
		s.pressed = now
	}
	return as, true
}

// freePart is the part of the places that any team gets that is within its share, and
// beyondPart that of teams beyond it. The others are dealt out evenly, to teams within their
// share, of which one may come that did not call lately.
const (
	freePart   = 0.5
	beyondPart = 0.25
)

// isDealt reports whether the team gets a place.
func (s *State) isDealt(t *team, beyond bool) bool {
	t.beyond = beyond
	taken := float64(s.undecided) / s.places
	isEven := t.undecided < max(int(s.places)/(s.holders+1), 1)
	switch {
	case !s.HasRoom() || beyond && taken >= beyondPart || taken >= freePart && !isEven:
		return false
	case !s.full || t.came < s.cfg.Least && !beyond:
		return true
	case s.credit < 1:
		return false
	default:
		s.credit--
		return true
	}
}

// Decided takes that the request of a connection that was taken under the name was decided
// on, or that none came.
func (s *State) Decided(as string) {
	if t := s.teams[as]; t != nil {
		t.undecided--
	}
	s.undecided--
	if s.undecided < s.cfg.Calm/4 {
		s.pressed = time.Time{}
	}
}

// team returns the team and the name under which it is counted: with too many that of
// callers who are not told apart.
func (s *State) team(name string) (*team, string) {
	if s.teams[name] == nil && len(s.teams) >= s.cfg.Teams {
		name = ""
	}
	t := s.teams[name]
	if t == nil {
		t = &team{}
		s.teams[name] = t
	}
	return t, name
}

// Observe takes how late input was read, several times between two changes, and whether
// the router holds as many streams as it can, so that it would read in vain.
func (s *State) Observe(now time.Time, late time.Duration, full bool) {
	s.late += s.cfg.Gain * (float64(late) - s.late)
	s.full = full
	isPressed := !s.pressed.IsZero() && now.Sub(s.pressed) >= s.cfg.Press
	if !s.dealing && (isPressed || s.late >= float64(s.cfg.Late)) {
		s.dealing, s.closedAt, s.places = true, now, float64(s.cfg.Pressed)
	}
	since := now.Sub(s.changed)
	if since < s.cfg.Every {
		return
	}
	s.changed = now
	s.adjust(now)
	s.credit = min(s.credit+s.cfg.Least*since.Seconds(), s.cfg.Least)
	s.holders = 0
	for name, t := range s.teams {
		t.came = memory*t.came + (1-memory)*float64(t.arrived)/since.Seconds()
		t.arrived = 0
		if t.came < quiet && t.undecided <= 0 {
			delete(s.teams, name)
		}
		if t.came >= holds && !t.beyond {
			s.holders++
		}
	}
	s.holders = max(s.holders, 1)
}

// shrink is the factor by which places become fewer.
const shrink = 0.7

// adjust changes the places as the congestion window of a transport protocol changes.
func (s *State) adjust(now time.Time) {
	switch {
	case !s.dealing:
	case s.late >= float64(s.cfg.Late):
		s.places = max(shrink*s.places, float64(s.cfg.Fewest))
	case now.Sub(s.closedAt) >= s.cfg.Over:
		s.dealing, s.pressed = false, time.Time{}
	case s.late < float64(s.cfg.InTime):
		s.places = min(s.places+1, float64(s.cfg.Pressed))
	}
}

// holds is the rate from which a team counts among those that places are dealt to, in
// connections a second.
const holds = 5

// memory is the weight of what came before in the rate of a team's connections.
const memory = 0.8

// quiet is the rate below which a team is forgotten, in connections a second.
const quiet = 0.01
