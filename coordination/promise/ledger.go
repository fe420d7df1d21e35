// Package promise decides when the caller of a refused request should come back, and
// how much of the backend servers' time is kept for callers that were told to.
//
// It answers peaks that pass: a team that sends many times its usual for some seconds,
// all callers of a data centre that come back at the same moment, load that rises and
// falls. A caller comes back once. If all refused callers are told the same time, they
// arrive together, most are refused again, and that was their last attempt. So each
// Ledger books the work of the refused requests into time slots, at the pace at which
// its router's part of the servers' time and the team's part of the shared capacity
// allow it; the next refused caller gets a later slot.
//
// A router books into its own part only: its fraction of the service's requests.
// Callers come back through any router. Since each keeps back what it promised itself,
// all together keep back what all promised, and no message passes. What a router
// promised is forgotten when it stops, and a slot is forgotten when its time is over.
//
// A Ledger is pure: it has no I/O, clock or goroutines. Direct routers use it, through
// admission.
package promise

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the parameters of a Ledger.
type Config struct {
	// SlotWidth is the length of a time slot. Default 50ms, the shortest time after
	// which a refused caller comes back.
	SlotWidth time.Duration
	// Horizon is how far ahead callers are asked to come back. Default 5s: a third of
	// the 15s that callers of generations wait.
	Horizon time.Duration
	// BookableShare is the fraction of the servers' time, and of a team's part of it,
	// that may be promised; the rest is for first attempts. Default 0.3.
	BookableShare float64
	// KeptShare is the fraction of the promised work that first attempts leave free
	// when its slot comes. Default 1.
	KeptShare float64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{SlotWidth: 50 * time.Millisecond, Horizon: 5 * time.Second, BookableShare: 0.3, KeptShare: 1}
}

// Validate returns an error that names each field that is out of range.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, problem string) {
		if !ok {
			err = errors.CombineErrors(err, errors.New(problem))
		}
	}
	check(c.SlotWidth > 0, "SlotWidth must be positive")
	check(c.Horizon >= c.SlotWidth, "Horizon must be at least SlotWidth")
	check(c.BookableShare > 0 && c.BookableShare <= 1, "BookableShare must be in (0, 1]")
	check(c.KeptShare >= 0 && c.KeptShare <= 1, "KeptShare must be in [0, 1]")
	return err
}

// Room is what a router may promise.
type Room struct {
	// Servers is the router's part of the servers: how many of them work for its
	// callers.
	Servers float64
	// TeamRate is this router's part of what the team may have, in tokens per second;
	// 0: the team is not limited.
	TeamRate float64
}

// Refused is a refused request.
type Refused[ID comparable] struct {
	Team ID
	// Tokens is its size as it counts for its team, Work the server time that it takes.
	Tokens float64
	Work   time.Duration
	// Earliest is the time after which it may be served, Latest that after which its
	// caller is back in any case.
	Earliest, Latest time.Duration
}

// Promise is what the caller of a refused request is told.
type Promise struct {
	// After is the time after which to come back.
	After time.Duration
	// Booked reports whether there will be room. If not, there is none until the caller
	// must be back.
	Booked bool
}

// Ledger holds the promises of one router for one service. It must be used by one
// goroutine at a time.
type Ledger[ID comparable] struct {
	cfg   Config
	slots []time.Duration
	// first is the number of the slot of the current time, counted from the Unix epoch.
	first int64
	// teamNext is the time from which a team has room again that is not promised.
	teamNext map[ID]time.Time
}

// New returns a ledger without promises. The config must be valid.
func New[ID comparable](cfg Config) *Ledger[ID] {
	return &Ledger[ID]{cfg: cfg, slots: make([]time.Duration, int(cfg.Horizon/cfg.SlotWidth)+1), teamNext: make(map[ID]time.Time)}
}

// Book promises the first room for the request within its times.
func (l *Ledger[ID]) Book(now time.Time, r Refused[ID], room Room) Promise {
	l.advance(now)
	latest := min(r.Latest, l.cfg.Horizon)
	earliest := max(r.Earliest, l.teamWait(now, r.Team, room))
	if earliest > latest {
		return Promise{After: latest}
	}
	after, ok := l.firstFree(now, earliest, latest, room)
	if !ok {
		return Promise{After: latest}
	}
	l.slots[l.index(now.Add(after))] += r.Work
	if room.TeamRate > 0 {
		taken := r.Tokens / (room.TeamRate * l.cfg.BookableShare) * float64(time.Second)
		l.teamNext[r.Team] = now.Add(after + time.Duration(math.Min(taken, float64(l.cfg.Horizon))))
	}
	return Promise{After: after, Booked: true}
}

// teamWait returns the time until the team has room that is not promised.
func (l *Ledger[ID]) teamWait(now time.Time, team ID, room Room) time.Duration {
	if room.TeamRate <= 0 {
		return 0
	}
	return max(l.teamNext[team].Sub(now), 0)
}

// firstFree returns the time until the first slot that is not full. Within the slot,
// the time follows what is booked already, so that its callers do not come together.
func (l *Ledger[ID]) firstFree(now time.Time, earliest, latest time.Duration, room Room) (after time.Duration, ok bool) {
	full := time.Duration(room.Servers * l.cfg.BookableShare * float64(l.cfg.SlotWidth))
	for after = earliest; after <= latest; {
		at := now.Add(after)
		start := l.slotStart(at)
		booked := l.slots[l.index(at)]
		if booked < full {
			fraction := float64(booked) / float64(full)
			within := start.Add(time.Duration(fraction * float64(l.cfg.SlotWidth))).Sub(now)
			return min(max(after, within), latest), true
		}
		after = start.Add(l.cfg.SlotWidth).Sub(now)
	}
	return 0, false
}

// Due returns the server time that first attempts leave free for callers that come back
// within the given time.
func (l *Ledger[ID]) Due(now time.Time, within time.Duration) time.Duration {
	l.advance(now)
	var sum time.Duration
	count := min(int(within/l.cfg.SlotWidth)+1, len(l.slots))
	for i := range count {
		sum += l.slots[l.index(now.Add(time.Duration(i)*l.cfg.SlotWidth))]
	}
	return time.Duration(l.cfg.KeptShare * float64(sum))
}

// advance forgets the slots whose time is over, and the teams with no promise ahead.
func (l *Ledger[ID]) advance(now time.Time) {
	current := l.number(now)
	if current == l.first {
		return
	}
	for n := max(l.first, current-int64(len(l.slots))); n < current; n++ {
		l.slots[n%int64(len(l.slots))] = 0
	}
	l.first = current
	for team, next := range l.teamNext {
		if !now.Before(next) {
			delete(l.teamNext, team)
		}
	}
}

func (l *Ledger[ID]) number(at time.Time) int64 { return at.UnixNano() / int64(l.cfg.SlotWidth) }

func (l *Ledger[ID]) index(at time.Time) int64 { return l.number(at) % int64(len(l.slots)) }

func (l *Ledger[ID]) slotStart(at time.Time) time.Time {
	return time.Unix(0, l.number(at)*int64(l.cfg.SlotWidth))
}
