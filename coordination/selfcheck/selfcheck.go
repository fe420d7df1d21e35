// Package selfcheck decides whether failures that a router observes are caused by the router
// itself.
//
// A router that reads its input late receives no messages, and its connections to servers time
// out. It must not take that for the failure of the other routers or of the servers. Its own
// fault is indicated by late reads, by all other routers falling silent at the same time, or
// by servers of all data centres becoming unreachable at the same time.
//
// A State does no I/O and reads no clock. Direct routers use it, through admission.
package selfcheck

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the thresholds of a State.
type Config struct {
	// Silence is the time without a message from any other router after which this router
	// counts as receiving nothing; three of their sending periods if that is longer. Default
	// 300ms.
	Silence time.Duration
	// MinPeers is the number of other routers from which their common silence counts: fewer
	// may have failed together. Default 3.
	MinPeers int
	// PeerTimeout is how long another router counts as active after its last message. Default
	// 3s.
	PeerTimeout time.Duration
	// FailureWindow is the time within which unreachable servers are counted together. Default
	// 1s.
	FailureWindow time.Duration
	// UnreachableShare is the share of the servers of each data centre that must be
	// unreachable for the router to count as partitioned, where there are at least two data
	// centres. Default 0.2.
	UnreachableShare float64
	// Hold is how long the router counts as impaired after the last sign: operations that
	// started before may still fail. Default 1s.
	Hold time.Duration
	// MaxSilence bounds the time for which the router counts as receiving nothing: after that
	// the others are gone. Default 10s.
	MaxSilence time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Silence: 300 * time.Millisecond, MinPeers: 3, PeerTimeout: 3 * time.Second, FailureWindow: time.Second, UnreachableShare: 0.2,
		Hold: time.Second, MaxSilence: 10 * time.Second,
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
	check(c.Silence > 0 && c.PeerTimeout >= c.Silence, "PeerTimeout must be at least Silence, both positive")
	check(c.MinPeers > 1, "MinPeers must be above 1")
	check(c.FailureWindow > 0, "FailureWindow must be positive")
	check(c.UnreachableShare > 0 && c.UnreachableShare <= 1, "UnreachableShare must be in (0, 1]")
	check(c.Hold >= 0, "Hold must not be negative")
	check(c.MaxSilence >= c.PeerTimeout, "MaxSilence must be at least PeerTimeout")
	return err
}

// Signs are the indications of the router's own fault.
type Signs struct {
	// Late: the router reads its input late.
	Late bool
	// ReceivesNothing: all other routers fell silent at once.
	ReceivesNothing bool
	// Partitioned: servers of all data centres are unreachable.
	Partitioned bool
}

// Any reports whether there is any sign.
func (s Signs) Any() bool { return s.Late || s.ReceivesNothing || s.Partitioned }

// State is the self-check of one router. It must be used by one goroutine at a time.
type State struct {
	cfg Config
	// period is the time between two messages of another router.
	period time.Duration
	late   bool
	// received is when the last message of each other router arrived, newest the latest of
	// these times.
	received map[string]time.Time
	newest   time.Time
	// unreachable holds the servers that could not be reached, with the time and the data
	// centre.
	unreachable map[string]failure
	// lastSign is when a check last returned a sign.
	lastSign time.Time
}

// failure is a failed attempt to reach a server.
type failure struct {
	at         time.Time
	dataCentre string
}

// New returns the self-check of a router without signs of a fault. The config must be valid.
func New(cfg Config) *State {
	return &State{cfg: cfg, received: make(map[string]time.Time), unreachable: make(map[string]failure)}
}

// SetPeriod sets the time between two messages of another router.
func (s *State) SetPeriod(period time.Duration) { s.period = period }

// SetLate sets whether the router reads its input late.
func (s *State) SetLate(late bool) { s.late = late }

// Heard records a message from another router.
func (s *State) Heard(now time.Time, router string) { s.received[router], s.newest = now, now }

// Reached records that a server could be reached.
func (s *State) Reached(server string) { delete(s.unreachable, server) }

// Unreached records that a server could not be reached.
func (s *State) Unreached(now time.Time, server, dataCentre string) {
	s.unreachable[server] = failure{now, dataCentre}
}

// Misses reports whether a server could not be reached recently.
func (s *State) Misses() bool { return len(s.unreachable) > 0 }

// Check returns the signs at the given time. Servers holds the number of known servers by data
// centre; it may be nil while no server is unreachable.
func (s *State) Check(now time.Time, servers map[string]int) Signs {
	signs := Signs{Late: s.late, ReceivesNothing: s.receivesNothing(now), Partitioned: s.isPartitioned(now, servers)}
	if signs.Any() {
		s.lastSign = now
	}
	return signs
}

// Impaired reports whether there was a sign at the last check or shortly before.
func (s *State) Impaired(now time.Time) bool {
	return s.late || !s.lastSign.IsZero() && now.Sub(s.lastSign) <= s.cfg.Hold
}

// receivesNothing reports whether the other routers sent messages until one time and none of
// them did since.
func (s *State) receivesNothing(now time.Time) bool {
	silent := now.Sub(s.newest)
	if s.newest.IsZero() || silent < max(s.cfg.Silence, 3*s.period) || silent > s.cfg.MaxSilence {
		return false
	}
	active := 0
	for router, at := range s.received {
		switch {
		case s.newest.Sub(at) <= s.cfg.PeerTimeout:
			active++
		default:
			delete(s.received, router)
		}
	}
	return active >= s.cfg.MinPeers
}

// isPartitioned reports whether at least UnreachableShare of the servers of each data centre
// could not be reached.
func (s *State) isPartitioned(now time.Time, servers map[string]int) bool {
	failed := make(map[string]int)
	for id, f := range s.unreachable {
		if now.Sub(f.at) > s.cfg.FailureWindow {
			delete(s.unreachable, id)
			continue
		}
		failed[f.dataCentre]++
	}
	if len(servers) < 2 || len(failed) < len(servers) {
		return false
	}
	for dataCentre, known := range servers {
		if float64(failed[dataCentre]) < s.cfg.UnreachableShare*float64(known) {
			return false
		}
	}
	return true
}
