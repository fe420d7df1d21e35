// Package partquarantine finds parts of prompts that crash every backend server that starts to
// answer on them, and refuses the requests that carry them.
//
// The load that it answers: callers send requests of which no two are alike, through any router,
// and some of them share one part of their prompts that crashes servers. Other requests have the
// same callers and the same other parts.
//
// All routers share the crashes, each with the parts of the runs that were at the server, and the
// parts that are known to be harmless because an answer with them went on. A part that no run
// survived and that was at several crashes is a suspect. Requests with the same suspects go to few
// servers that differ from those of other requests, so that what is harmless among them survives
// and is cleared. Suspects that always come together cannot be distinguished; they are refused as a
// set, which hits only requests that carry the whole set.
package partquarantine

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the thresholds, periods and limits of a State.
type Config struct {
	// Suspicion is the number of crashes from which a part is a suspect and its requests are
	// isolated. Default 2.
	Suspicion int
	// Crashes is the number of crashes from which a part may be refused. Default 5, as promised to
	// the users; a lower number would refuse parts that were at the same servers by chance.
	Crashes int
	// Isolated is how many of these crashes must be those of runs that were isolated. Default 2:
	// parts that were at the first crashes by chance survive elsewhere.
	Isolated int
	// IsolatedBroad is the same for a part that most requests of a class carry. Default 4.
	IsolatedBroad int
	// BurstWindow is the time within which several crashes count once: they may have one cause
	// other than a request. Default 100ms.
	BurstWindow time.Duration
	// Pause is the time after a crash of an isolated request in which none with the same suspects
	// is sent. Default 400ms: harmless requests at other servers are cleared by then.
	Pause time.Duration
	// TieBreak is the time from the last required crash in which a part is not refused while another one was
	// at the same crashes. Default 2s, of the 3s that the guarantee to the users allows.
	TieBreak time.Duration
	// Survival is the time from the start of an answer after which its parts are harmless, if the
	// server answers. Default 1s: a server crashes within tenths of a second of the first token.
	Survival time.Duration
	// Doubt is the time from the start of an answer after which a crash was hardly caused by it.
	// Default 400ms.
	Doubt time.Duration
	// Outlive is the time after a complete answer from which an answer of the server shows that it
	// survived the run. Default 300ms.
	Outlive time.Duration
	// Settle is how long a server must stay up after a complete answer without another one.
	// Default 2s.
	Settle time.Duration
	// CrashConfirmTimeout is how long an interrupted answer is kept until a crash of its server is
	// confirmed. Default 8s, as for whole requests.
	CrashConfirmTimeout time.Duration
	// HarmlessTTL is how long crashes do not count against a part after a run survived. Default
	// 10s.
	HarmlessTTL time.Duration
	// CrashTTL is how long a crash is remembered. Default 10m.
	CrashTTL time.Duration
	// ResendFor is how long a router repeats what it observed. Default 5s: the longest time after
	// which connected routers are expected to know.
	ResendFor time.Duration
	// ProbeAfter lists the times after the start of a refusal at which one request with the set may
	// be sent. Default 10s and 2m: with MaxPartialProbes these are the three sends that the
	// guarantee to the users allows.
	ProbeAfter []time.Duration
	// MaxPartialProbes is how many requests with a part of a refused set, but not the whole set,
	// may be sent to find which of its parts are harmless. Default 1.
	MaxPartialProbes int
	// MaxCrashes, MaxRuns and MaxParts bound the crashes, the different sets of parts of each, and
	// the parts of a set. Defaults 128, 24 and 16.
	MaxCrashes, MaxRuns, MaxParts int
	// MaxRefusals bounds the refused sets, and MaxHarmless the parts that are known to be harmless.
	// Defaults 256 and 8192.
	MaxRefusals, MaxHarmless int
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Suspicion: 2, Crashes: 5, Isolated: 2, IsolatedBroad: 4, BurstWindow: 100 * time.Millisecond, Pause: 400 * time.Millisecond, TieBreak: 2 * time.Second,
		Survival: time.Second, Doubt: 400 * time.Millisecond, Outlive: 300 * time.Millisecond, Settle: 2 * time.Second, CrashConfirmTimeout: 8 * time.Second,
		HarmlessTTL: 10 * time.Second, CrashTTL: 10 * time.Minute, ResendFor: 5 * time.Second,
		ProbeAfter: []time.Duration{10 * time.Second, 2 * time.Minute}, MaxPartialProbes: 1,
		MaxCrashes: 128, MaxRuns: 24, MaxParts: 16, MaxRefusals: 256, MaxHarmless: 8192,
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
	check(c.Suspicion > 1, "Suspicion must be above 1")
	check(c.Crashes >= c.Suspicion, "Crashes must not be below Suspicion")
	check(c.Isolated >= 0 && c.Isolated <= c.Crashes, "Isolated must be from 0 to Crashes")
	check(c.IsolatedBroad >= c.Isolated, "IsolatedBroad must not be below Isolated")
	check(c.Pause >= 0 && c.TieBreak >= 0 && c.BurstWindow >= 0, "Pause, TieBreak and BurstWindow must not be negative")
	check(c.Doubt > 0 && c.Survival >= c.Doubt && c.Outlive > 0 && c.Settle > 0, "Doubt, Survival (not below Doubt), Outlive and Settle must be positive")
	check(c.HarmlessTTL > 0 && c.CrashConfirmTimeout > 0 && c.ResendFor > 0, "HarmlessTTL, CrashConfirmTimeout and ResendFor must be positive")
	check(c.CrashTTL > c.CrashConfirmTimeout, "CrashTTL must be above CrashConfirmTimeout")
	check(c.MaxCrashes > c.Crashes, "MaxCrashes must be above Crashes")
	check(c.MaxRuns > 0 && c.MaxParts > 0 && c.MaxRefusals > 0 && c.MaxHarmless > 0, "MaxRuns, MaxParts, MaxRefusals and MaxHarmless must be positive")
	return err
}
