// Package intake decides which new connections an overloaded router reads, and which it
// closes unread.
//
// It answers this pattern: one team's callers flood one small router. The connections that
// it has accepted and not yet read take processor time from its streams and from the
// messages of other routers. Closing all new connections while the router is late leaves it
// without streams for seconds, and hits the few connections of other teams as much as the
// flood. So only a few connections are between their acceptance and the decision on their
// request at any time, and while this window is full the next connections are closed
// unread. Half of the window goes to teams within their share of the servers' capacity,
// first come first served; the rest is divided evenly among these teams; and a team beyond
// its share gets a place only while most of the window is free.
//
// A State performs no I/O and reads no clock. Direct routers use it.
package intake

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the constants of a State.
type Config struct {
	// MaxUndecided is the number of connections that may be undecided while all are read.
	// MaxWindow and MinWindow are the bounds of the window while connections are limited.
	// Defaults 64, 16 and 2: a small instance decides on sixteen in about twenty
	// milliseconds.
	MaxUndecided int
	MaxWindow    int
	MinWindow    int
	// HighLateness is the mean lateness from which connections are limited and the window
	// shrinks, LowLateness the one below which the window grows. Defaults 30ms and 15ms: a
	// connection accepted at a lateness of 30ms is read after about six times as long, a
	// third of the most urgent latency objective.
	HighLateness time.Duration
	LowLateness  time.Duration
	// PromptLateness is the mean lateness below which input is read at once. Default 2ms: a connection is read
	// within about six times as long.
	PromptLateness time.Duration
	// Gain is the weight of one observation in the mean lateness. Default 0.3: at one
	// observation each 25ms a flood is noticed within a tenth of a second.
	Gain float64
	// PressureTime is the time for which half of MaxUndecided must be in use for connections
	// to be limited. Default 50ms.
	PressureTime time.Duration
	// Interval is the time between two changes of the window. Default 100ms.
	Interval time.Duration
	// MinRate is the number of connections a second that are read even when the router has
	// as many streams as it can run. Default 20.
	MinRate float64
	// QuietTime is the time without a closed connection after which connections are no
	// longer limited. Default 1s.
	QuietTime time.Duration
	// MaxTeams bounds the number of teams that are counted apart. Default 256.
	MaxTeams int
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		MaxUndecided: 64, MaxWindow: 16, MinWindow: 2, HighLateness: 30 * time.Millisecond, LowLateness: 15 * time.Millisecond, PromptLateness: 2 * time.Millisecond, Gain: 0.3, PressureTime: 50 * time.Millisecond, Interval: 100 * time.Millisecond,
		MinRate: 20, QuietTime: time.Second, MaxTeams: 256,
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
	check(c.MinWindow > 0 && c.MaxWindow >= c.MinWindow && c.MaxUndecided >= c.MaxWindow, "MinWindow must be positive, MaxWindow at least as much, MaxUndecided at least that")
	check(c.LowLateness > 0 && c.HighLateness > c.LowLateness, "LowLateness must be positive, HighLateness above it")
	check(c.PromptLateness > 0 && c.PromptLateness <= c.LowLateness, "PromptLateness must be positive and at most LowLateness")
	check(c.Gain > 0 && c.Gain <= 1, "Gain must be between 0 and 1")
	check(c.PressureTime > 0, "PressureTime must be positive")
	check(c.Interval > 0, "Interval must be positive")
	check(c.MinRate > 0, "MinRate must be positive")
	check(c.QuietTime > 0, "QuietTime must be positive")
	check(c.MaxTeams > 0, "MaxTeams must be positive")
	return err
}

// team is the state of one team's connections at this router.
type team struct {
	// undecided is the number of the team's undecided connections.
	undecided int
	// rate is the mean rate of the team's connections a second; arrived counts those since
	// the last change.
	rate    float64
	arrived int
	// overShare is true if the team is beyond its share.
	overShare bool
}

// State is the intake of one router. It must be used by one goroutine at a time.
type State struct {
	cfg   Config
	teams map[string]*team
	// undecided is the number of connections whose request is not decided on.
	undecided int
	// activeTeams is the number of teams within their share with recent connections, at
	// least 1.
	activeTeams int
	// pressureSince is since when half of MaxUndecided is in use; zero while most is free.
	pressureSince time.Time
	// lateness is the mean lateness.
	lateness float64
	// limiting is true if connections are limited, window how many may be undecided then.
	limiting bool
	window   float64
	// streamsFull is true if the router has as many streams as it can run; credit is the
	// number of connections that may be read nevertheless.
	streamsFull bool
	credit      float64
	changedAt   time.Time
	// closedAt is when a connection was last closed unread.
	closedAt time.Time
}

// New returns an intake that reads all connections. The config must be valid.
func New(cfg Config) *State { return &State{cfg: cfg, teams: make(map[string]*team), activeTeams: 1} }

// Limiting reports whether connections are limited.
func (s *State) Limiting() bool { return s.limiting }

// ReadsAtOnce reports whether input is read about as soon as it arrives.
func (s *State) ReadsAtOnce() bool { return s.lateness < float64(s.cfg.PromptLateness) }

// Undecided returns the number of connections whose request is not decided on.
func (s *State) Undecided() int { return s.undecided }

// Teams returns the teams with recent connections.
func (s *State) Teams() []string { return slices.Collect(maps.Keys(s.teams)) }

// HasRoom reports whether one more connection may be undecided.
func (s *State) HasRoom() bool {
	if s.limiting {
		return s.undecided < int(s.window)
	}
	return s.undecided < s.cfg.MaxUndecided
}

// Admit reports whether a new connection of the team is to be read, and the name to pass to
// Decided for it. overShare is true if the team got more than its share of the servers'
// capacity. Callers of unknown teams count as one team.
func (s *State) Admit(now time.Time, name string, overShare bool) (as string, admitted bool) {
	t, as := s.team(name)
	t.arrived++
	if s.limiting && !s.admits(t, overShare) {
		s.closedAt = now
		return as, false
	}
	t.undecided++
	s.undecided++
	if s.pressureSince.IsZero() && s.undecided >= s.cfg.MaxUndecided/2 {
		s.pressureSince = now
	}
	return as, true
}

// freeFraction is the part of the window that is first come, first served for teams within
// their share, and overShareFraction the part below which teams beyond their share are
// admitted too. The rest is divided evenly among the teams within their share, with room
// for one team without recent connections.
const (
	freeFraction      = 0.5
	overShareFraction = 0.25
)

// admits reports whether the team gets a place in the window.
func (s *State) admits(t *team, overShare bool) bool {
	t.overShare = overShare
	used := float64(s.undecided) / s.window
	inEvenShare := t.undecided < max(int(s.window)/(s.activeTeams+1), 1)
	switch {
	case !s.HasRoom() || overShare && used >= overShareFraction || used >= freeFraction && !inEvenShare:
		return false
	case !s.streamsFull || t.rate < s.cfg.MinRate && !overShare:
		return true
	case s.credit < 1:
		return false
	default:
		s.credit--
		return true
	}
}

// Decided records that the request of a connection that was admitted under the name was
// decided on, or that no request came.
func (s *State) Decided(as string) {
	if t := s.teams[as]; t != nil {
		t.undecided--
	}
	s.undecided--
	if s.undecided < s.cfg.MaxUndecided/4 {
		s.pressureSince = time.Time{}
	}
}

// team returns the team and the name under which it is counted: if there are too many
// teams, the name of the callers that are not counted apart.
func (s *State) team(name string) (*team, string) {
	if s.teams[name] == nil && len(s.teams) >= s.cfg.MaxTeams {
		name = ""
	}
	t := s.teams[name]
	if t == nil {
		t = &team{}
		s.teams[name] = t
	}
	return t, name
}

// Observe takes how late input was read, several times between two changes, and whether the
// router has as many streams as it can run, so that it would refuse what it reads.
func (s *State) Observe(now time.Time, lateness time.Duration, streamsFull bool) {
	s.lateness += s.cfg.Gain * (float64(lateness) - s.lateness)
	s.streamsFull = streamsFull
	underPressure := !s.pressureSince.IsZero() && now.Sub(s.pressureSince) >= s.cfg.PressureTime
	if !s.limiting && (underPressure || s.lateness >= float64(s.cfg.HighLateness)) {
		s.limiting, s.closedAt, s.window = true, now, float64(s.cfg.MaxWindow)
	}
	since := now.Sub(s.changedAt)
	if since < s.cfg.Interval {
		return
	}
	s.changedAt = now
	s.adjust(now)
	s.credit = min(s.credit+s.cfg.MinRate*since.Seconds(), s.cfg.MinRate)
	s.activeTeams = 0
	for name, t := range s.teams {
		t.rate = rateDecay*t.rate + (1-rateDecay)*float64(t.arrived)/since.Seconds()
		t.arrived = 0
		if t.rate < forgetRate && t.undecided <= 0 {
			delete(s.teams, name)
		}
		if t.rate >= activeRate && !t.overShare {
			s.activeTeams++
		}
	}
	s.activeTeams = max(s.activeTeams, 1)
}

// shrinkFactor is the factor by which the window shrinks.
const shrinkFactor = 0.7

// adjust changes the window like the congestion window of a transport protocol.
func (s *State) adjust(now time.Time) {
	switch {
	case !s.limiting:
	case s.lateness >= float64(s.cfg.HighLateness):
		s.window = max(shrinkFactor*s.window, float64(s.cfg.MinWindow))
	case now.Sub(s.closedAt) >= s.cfg.QuietTime:
		s.limiting, s.pressureSince = false, time.Time{}
	case s.lateness < float64(s.cfg.LowLateness):
		s.window = min(s.window+1, float64(s.cfg.MaxWindow))
	}
}

// activeRate is the rate from which a team counts as active, in connections a second.
const activeRate = 5

// rateDecay is the weight of the past in the rate of a team's connections.
const rateDecay = 0.8

// forgetRate is the rate below which a team is forgotten, in connections a second.
const forgetRate = 0.01
