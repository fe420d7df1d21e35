// Package admission decides, at a router that calls backend servers itself, which
// server gets a request, or whether the request is refused and when its caller
// should come back.
//
// A State is deterministic: its inputs are requests, their outcomes and the current
// time. It uses no clock, network or goroutine, and must be used by one goroutine at
// a time.
//
// Inference engines admit requests in order of arrival, prefill prompts one after
// the other, and know no priorities. One long prompt delays the first token of all
// requests behind it. A request is therefore admitted by the estimated wait for its
// first token rather than by free slots, and a request that cannot be served in time
// is refused at once with the time at which it can.
//
// The direct routers use this package.
package admission

import (
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/backoff"
	"goldcrestport/coordination/health"
	"goldcrestport/coordination/selfcheck"
	"goldcrestport/coordination/throttle"
)

// Config holds the parameters of a State.
type Config struct {
	// PrefillRate is the number of prompt tokens that an otherwise idle engine
	// prefills in a millisecond. Default 66.
	PrefillRate float64
	// RunCost is the time that each running generation adds to the estimated wait.
	// Default 1.5ms: it keeps the prompts of a flooding team away from engines with
	// many running generations, where teams within their share would wait behind
	// them.
	RunCost time.Duration
	// Candidates is the number of servers, by rank for the shared prefix, among
	// which the one of least cost is chosen. Default 3.
	Candidates int
	// SpillWeight is the weight of the repeated prefill of a shared prefix at
	// servers that are not first by rank. Default 8.
	SpillWeight float64
	// FetchCandidates is the number of candidates, if it is above Candidates, when a
	// server is known from which the shared prefix can be fetched, which costs far
	// less than its prefill. Default 5: with many, all routers choose the same idle
	// server between two digests.
	FetchCandidates int
	// FetchWeight is the weight of fetching a token from another server's cache, in
	// relation to its prefill: it saves engine time but uses the links between
	// servers. Default 0.4.
	FetchWeight float64
	// WaitLimitShare is the fraction of a service's shortest objective that the
	// estimated wait of an admitted request may take. Default 0.36.
	WaitLimitShare float64
	// OnTimeShare is the fraction of its objective that a first attempt may need for
	// its wait and its own prefill; the rest covers the error of the estimate. It
	// does not apply to a request that is late because of its own prefill alone.
	// Default 0.85.
	OnTimeShare float64
	// WideStanding is the standing below which a request that would be refused may
	// go to any of the first FetchCandidates servers by rank. Default 1.
	WideStanding float64
	// DefaultWaitLimit is the wait limit for services without an objective. Default
	// 180ms.
	DefaultWaitLimit time.Duration
	// OwnPrefillShare is the fraction of a request's own prefill time that is
	// subtracted from its wait limit, so that long prompts leave room for short
	// ones. Default 0.25: a larger fraction would starve the longest prompts.
	OwnPrefillShare float64
	// OwnPrefillMax limits what is subtracted, as a fraction of the wait limit.
	// Default 0.6: the largest prompts of a class are not starved.
	OwnPrefillMax float64
	// ResumeWaitLimit is the wait limit of a request whose caller came back for the rest of a
	// stream. Only servers of one software version can serve it, which may be few and busy, and a
	// refusal loses what was generated. Default 500ms: callers give a stream up after a pause of two
	// seconds.
	ResumeWaitLimit time.Duration
	// RetryFactor multiplies the wait limit of a request that was refused before:
	// its caller has already waited and does not come a third time. Default 2.
	RetryFactor float64
	// OverShareFactor multiplies the wait limit of a team that is beyond its share,
	// and UnderShareFactor that of a team well below it. Default 0.2 and 1.5.
	OverShareFactor  float64
	UnderShareFactor float64
	// OverServedFactor multiplies the wait limit of a team that is beyond its share
	// of what the engines serve, while they are full although the total demand fits
	// into the configured capacity. It is far above OverShareFactor: the engines
	// must stay busy with the work of such teams. Default 0.9.
	OverServedFactor float64
	// LevellingExponent applies to teams beyond their share of the configured
	// capacity: their wait limit is divided by their served standing raised to this
	// power, at most by a factor of LevellingMax in either direction. Default 2 and
	// 2.5.
	LevellingExponent float64
	LevellingMax      float64
	// Throttle holds the limits on the rates of teams that have received more than
	// the least served team.
	Throttle throttle.Config
	// Window is the time over which teams share the capacity. Default 4s.
	Window time.Duration
	// PrefixTTL is how long a prefix is assumed to be cached after its last use.
	// Default 10s.
	PrefixTTL time.Duration
	// AnnounceTokens times the number of routers is the size from which routers
	// announce which server has cached a shared prefix: an announcement goes to all
	// routers, a repeated prefill costs one engine. Default 12, so that six routers
	// announce prefixes of 72 tokens or more, and 300 routers those of 3,600 or
	// more.
	AnnounceTokens int
	// RetryAfterMin and RetryAfterMax limit the time after which a refused caller is
	// asked to come back. Default 50ms and 2s.
	RetryAfterMin time.Duration
	RetryAfterMax time.Duration
	// RefusalPause is how long a server that refused a request gets none while
	// others accept requests. It doubles with each consecutive refusal up to
	// RefusalPauseMax. Default 50ms, in which a server of a plain service frees a
	// slot, and 1s.
	RefusalPause    time.Duration
	RefusalPauseMax time.Duration
	// Backoff holds the times for servers that request a back-off.
	Backoff backoff.Config
	// Health holds the thresholds of ejection.
	Health health.Config
	// SelfCheck holds the thresholds by which this router detects that it is itself
	// impaired.
	SelfCheck selfcheck.Config
	// EjectShare is the largest fraction of a service's servers that may be ejected
	// at once. Default 0.5.
	EjectShare float64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		PrefillRate:       66,
		RunCost:           1500 * time.Microsecond,
		Candidates:        3,
		SpillWeight:       8,
		FetchCandidates:   5,
		FetchWeight:       0.4,
		WaitLimitShare:    0.36,
		OnTimeShare:       0.85,
		WideStanding:      1,
		DefaultWaitLimit:  180 * time.Millisecond,
		OwnPrefillShare:   0.25,
		OwnPrefillMax:     0.6,
		ResumeWaitLimit:   500 * time.Millisecond,
		RetryFactor:       2,
		OverShareFactor:   0.2,
		UnderShareFactor:  1.5,
		OverServedFactor:  0.9,
		LevellingExponent: 2,
		LevellingMax:      2.5,
		Throttle:          throttle.DefaultConfig(),
		Window:            4 * time.Second,
		PrefixTTL:         10 * time.Second,
		AnnounceTokens:    12,
		RetryAfterMin:     50 * time.Millisecond,
		RetryAfterMax:     2 * time.Second,
		RefusalPause:      50 * time.Millisecond,
		RefusalPauseMax:   time.Second,
		Backoff:           backoff.DefaultConfig(),
		Health:            health.DefaultConfig(),
		SelfCheck:         selfcheck.DefaultConfig(),
		EjectShare:        0.5,
	}
}

// Validate returns an error that names each field that is out of range.
func (c Config) Validate() error {
	err := errors.CombineErrors(errors.CombineErrors(c.Health.Validate(), c.Backoff.Validate()), errors.CombineErrors(c.Throttle.Validate(), c.SelfCheck.Validate()))
	check := func(ok bool, what string) {
		if !ok {
			err = errors.CombineErrors(err, errors.New(what))
		}
	}
	check(c.PrefillRate > 0, "PrefillRate must be positive")
	check(c.RunCost >= 0, "RunCost must not be negative")
	check(c.Candidates > 0, "Candidates must be positive")
	check(c.SpillWeight >= 0, "SpillWeight must not be negative")
	check(c.FetchCandidates >= 0, "FetchCandidates must not be negative")
	check(c.FetchWeight >= 0, "FetchWeight must not be negative")
	check(c.WaitLimitShare > 0 && c.WaitLimitShare < 1, "WaitLimitShare must be in (0, 1)")
	check(c.OnTimeShare > 0, "OnTimeShare must be positive")
	check(c.WideStanding >= 0, "WideStanding must not be negative")
	check(c.DefaultWaitLimit > 0, "DefaultWaitLimit must be positive")
	check(c.OwnPrefillShare >= 0 && c.OwnPrefillShare < 1, "OwnPrefillShare must be in [0, 1)")
	check(c.OwnPrefillMax >= 0 && c.OwnPrefillMax <= 1, "OwnPrefillMax must be in [0, 1]")
	check(c.ResumeWaitLimit >= 0, "ResumeWaitLimit must not be negative")
	check(c.RetryFactor >= 1, "RetryFactor must be at least 1")
	check(c.OverShareFactor >= 0 && c.OverShareFactor <= 1, "OverShareFactor must be in [0, 1]")
	check(c.OverServedFactor > 0 && c.OverServedFactor <= c.UnderShareFactor, "OverServedFactor must be in (0, UnderShareFactor]")
	check(c.LevellingExponent >= 0, "LevellingExponent must not be negative")
	check(c.LevellingMax >= 1, "LevellingMax must be at least 1")
	check(c.UnderShareFactor >= 1, "UnderShareFactor must be at least 1")
	check(c.Window > 0, "Window must be positive")
	check(c.PrefixTTL > 0, "PrefixTTL must be positive")
	check(c.AnnounceTokens >= 0, "AnnounceTokens must not be negative")
	check(c.RetryAfterMin > 0 && c.RetryAfterMax >= c.RetryAfterMin, "RetryAfterMax must be at least RetryAfterMin, both positive")
	check(c.RefusalPause > 0 && c.RefusalPauseMax >= c.RefusalPause, "RefusalPauseMax must be at least RefusalPause, both positive")
	check(c.EjectShare >= 0 && c.EjectShare <= 1, "EjectShare must be in [0, 1]")
	return err
}
