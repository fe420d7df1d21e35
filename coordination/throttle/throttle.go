// Package throttle limits the rate at which a router sends the requests of teams that get
// more than the least served one.
//
// It covers this case: two teams request many times their shares, and the clients of one
// reach few routers, which cannot pass on as much. Routers learn of each other's sends
// after some hundred milliseconds, in which a team can start as much as its share of
// several seconds. If all routers admitted or refused a whole team on such sums, its
// service would swing between both extremes.
//
// So each team has a rate, the max-min share of what is served, which changes smoothly.
// Each router gets a share of that rate in proportion to the fraction of the team's
// requests that arrive there. A router counts what it sends against its own share at once
// and needs no report from other routers between two requests. What a team sent in excess
// before its rate was known is repaid later.
//
// A State is pure: it has no I/O, clock or goroutines. Direct routers use it, through
// admission.
package throttle

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the parameters of a State.
type Config struct {
	// LeadFactor times the rate of the least served team is what other teams may get.
	// Default 1.35.
	LeadFactor float64
	// ShareFactor times a team's max-min share is the rate up to which no team is
	// throttled. Default 1.
	ShareFactor float64
	// UnmetFraction is the served fraction of a team's requests below which the team
	// counts as underserved. Default 0.7.
	UnmetFraction float64
	// NearFraction is the fraction of the bound that a team must request before its
	// requests count against the bound. The requests of a smaller team may arrive at other
	// routers than before. Default 0.8.
	NearFraction float64
	// BurstTime is the depth of the token bucket: for how long a router saves up the part
	// of a team's rate that is not used. Default 250ms.
	BurstTime time.Duration
	// AverageTime is the time constant of a router's averages of what a team requests and
	// what it sends for it, ShortAverageTime that for the requests of the least served
	// team. Defaults 1s and 300ms.
	AverageTime      time.Duration
	ShortAverageTime time.Duration
	// BaselineTime is the time constant of the slow average of what a router sends for a
	// team. Default 4s.
	BaselineTime time.Duration
	// ReportAge is the mean age of the other routers' reports. Default 300ms.
	ReportAge time.Duration
	// RepayFraction is the fraction of its rate that a team loses until it has repaid what
	// it sent in excess. MaxDebtTime bounds what is repaid, as time at the team's rate.
	// Defaults 0.4 and 3s.
	RepayFraction float64
	MaxDebtTime   time.Duration
	// BoostTime is the time constant with which routers raise their shares of a team's
	// rate while other routers leave part of theirs unused, MaxBoost the largest factor.
	// Defaults 2s and 2.
	BoostTime time.Duration
	MaxBoost  float64
	// FallTime and RiseTime are the times in which the bound falls or rises by a factor of
	// e. Defaults 200ms and 1s.
	FallTime time.Duration
	RiseTime time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		LeadFactor: 1.35, ShareFactor: 1, UnmetFraction: 0.7, NearFraction: 0.8, BurstTime: 250 * time.Millisecond,
		ShortAverageTime: 300 * time.Millisecond, ReportAge: 300 * time.Millisecond, AverageTime: time.Second, BaselineTime: 4 * time.Second, RepayFraction: 0.4, MaxDebtTime: 3 * time.Second,
		BoostTime: 2 * time.Second, MaxBoost: 2, FallTime: 200 * time.Millisecond, RiseTime: time.Second,
	}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, problem string) {
		if !ok {
			err = errors.CombineErrors(err, errors.New(problem))
		}
	}
	check(c.LeadFactor >= 1, "LeadFactor must be at least 1")
	check(c.ShareFactor >= 0, "ShareFactor must not be negative")
	check(c.UnmetFraction > 0 && c.UnmetFraction <= 1, "UnmetFraction must be in (0, 1]")
	check(c.NearFraction > 0 && c.NearFraction <= 1, "NearFraction must be in (0, 1]")
	check(c.BurstTime > 0 && c.ShortAverageTime > 0 && c.AverageTime > 0 && c.ReportAge > 0 && c.BaselineTime > 0 && c.MaxDebtTime >= 0, "BurstTime, ShortAverageTime, AverageTime, ReportAge and BaselineTime must be positive, MaxDebtTime not negative")
	check(c.RepayFraction >= 0 && c.RepayFraction < 1, "RepayFraction must be in [0, 1)")
	check(c.BoostTime > 0 && c.MaxBoost >= 1, "BoostTime must be positive, MaxBoost at least 1")
	check(c.FallTime > 0 && c.RiseTime > 0, "FallTime and RiseTime must be positive")
	return err
}

// Team is what a team requests and gets from the whole fleet, in tokens per second.
type Team struct {
	// Rates over about the last second. ThrottledRate is the part of RequestedRate that was
	// refused only because the team is throttled.
	RequestedRate, StartedRate, ThrottledRate float64
	// MeanStartedRate is the mean over the window in which teams are compared.
	MeanStartedRate float64
}

// servedRate returns what the team gets: a flood that started a moment ago gets much more
// than its mean over the window.
func (t Team) servedRate() float64 { return max(t.MeanStartedRate, t.StartedRate) }

// State is the throttle of one router. It must be used by one goroutine at a time.
type State[ID comparable] struct {
	cfg Config
	// bound is the rate over the whole fleet up to which a team may send, in tokens per
	// second; +Inf for no limit.
	bound    float64
	observed time.Time
	accounts map[ID]*account
}

// New returns a throttle that limits no team. The config must be valid.
func New[ID comparable](cfg Config) *State[ID] {
	return &State[ID]{cfg: cfg, bound: math.Inf(1), accounts: make(map[ID]*account)}
}

// Bound returns the rate over the whole fleet up to which a team may send, in tokens per
// second; +Inf for no limit.
func (s *State[ID]) Bound() float64 { return s.bound }

// Admits reports whether a request of the team may be sent now. If not, after is the time
// until the next one may be sent.
func (s *State[ID]) Admits(now time.Time, team ID) (ok bool, after time.Duration) {
	a := s.accounts[team]
	if a == nil || !a.throttled {
		return true, 0
	}
	a.advance(now, s.cfg)
	return a.credit > 0, a.waitTime(s.cfg)
}

// Ask records a request of the team, whether or not it is sent.
func (s *State[ID]) Ask(now time.Time, team ID, tokens float64) {
	a := s.accounts[team]
	if a == nil {
		a = &account{updated: now}
		s.accounts[team] = a
	}
	a.advance(now, s.cfg)
	a.requested += tokens
	a.recentRequested += tokens
}

// Sent records that a request of the team, already recorded by Ask, is sent.
func (s *State[ID]) Sent(now time.Time, team ID, tokens float64) {
	a := s.accounts[team]
	if a == nil {
		return
	}
	a.advance(now, s.cfg)
	a.sent += tokens
	if a.throttled {
		a.credit -= tokens
	}
}

// Observe updates the bound and the teams' rates from what all teams request and get.
// share is the max-min share of each team in tokens per second, +Inf if all requests fit.
// It must be called several times per second.
func (s *State[ID]) Observe(now time.Time, share float64, teams map[ID]Team) {
	least, second := s.leastServed(share, teams)
	elapsed := now.Sub(s.observed)
	if s.observed.IsZero() {
		elapsed = 0
	}
	s.updateBound(now, s.targetBound(share, least), teams)
	s.observed = now
	for id, a := range s.accounts {
		a.advance(now, s.cfg)
		t, known := teams[id]
		if !known && a.requested < minRequested {
			delete(s.accounts, id)
			continue
		}
		bound, isLeast := s.bound, least.known && id == least.id
		if isLeast {
			bound = max(bound, s.targetBound(share, second))
		}
		a.assign(t, bound, isLeast, elapsed, s.cfg)
	}
}

// minRequested is the recent requested amount, in tokens, below which the account of an
// unknown team is deleted.
const minRequested = 1

// underserved is a team that requests more than it gets, or none.
type underserved[ID comparable] struct {
	id    ID
	team  Team
	known bool
}

// exceeds reports whether u gets more than t or is none.
func (u underserved[ID]) exceeds(t Team) bool {
	return !u.known || t.servedRate() < u.team.servedRate()
}

// leastServed returns the two least served teams among those that request at least their
// share and more than they get. Requests that only the throttle refused don't count, so
// that a team isn't underserved because it is throttled.
func (s *State[ID]) leastServed(share float64, teams map[ID]Team) (least, second underserved[ID]) {
	for id, t := range teams {
		switch {
		case t.RequestedRate < share || t.servedRate() >= s.cfg.UnmetFraction*(t.RequestedRate-t.ThrottledRate):
		case least.exceeds(t):
			least, second = underserved[ID]{id, t, true}, least
		case second.exceeds(t):
			second = underserved[ID]{id, t, true}
		}
	}
	return least, second
}

// targetBound returns the bound that follows from the least served team.
func (s *State[ID]) targetBound(share float64, least underserved[ID]) float64 {
	if !least.known || math.IsInf(share, 1) {
		return math.Inf(1)
	}
	return max(s.cfg.LeadFactor*least.team.MeanStartedRate, s.cfg.ShareFactor*share)
}

// updateBound moves the bound towards the target. If the target is no limit, the bound
// rises until it exceeds what any team requests, and is removed then.
func (s *State[ID]) updateBound(now time.Time, target float64, teams map[ID]Team) {
	elapsed := now.Sub(s.observed).Seconds()
	switch {
	case math.IsInf(s.bound, 1):
		s.bound = target
	case target < s.bound:
		s.bound = max(target, s.bound*math.Exp(-elapsed/s.cfg.FallTime.Seconds()))
	default:
		s.bound = min(target, s.bound*math.Exp(elapsed/s.cfg.RiseTime.Seconds()))
		if math.IsInf(target, 1) && s.bound > maxRequested(teams) {
			s.bound = target
		}
	}
}

func maxRequested[ID comparable](teams map[ID]Team) float64 {
	highest := 0.0
	for _, t := range teams {
		highest = max(highest, t.RequestedRate)
	}
	return highest
}
