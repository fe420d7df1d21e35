package quarantine

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the thresholds, periods and limits of a State.
type Config struct {
	// Crashes is the number of servers that must crash while running a request before it is
	// refused. Default 3, as promised to the users; a lower number would refuse requests that
	// were merely running during two crashes.
	Crashes int
	// BurstWindow is the time within which several crashes may have one cause other than a
	// request, such as the loss of a data centre. Default 250ms: routers notice the end of a
	// server within some milliseconds of each other, while a request that crashes servers is
	// retried only after its caller saw it fail.
	BurstWindow time.Duration
	// JudgementDelay is the time from new evidence against a request to its judgement, in
	// which all routers report what was running at the crashed server. The judgement then also
	// takes into account requests that other routers sent and that were running at each crash.
	// Default 50ms: reports take some milliseconds.
	JudgementDelay time.Duration
	// TieBreak is how long after the last required crash a request is not yet refused while
	// another one was running at each of its crashes. A request that completes, or that does
	// not run at the next crash, distinguishes the two. Default 2s, of the 3 that the
	// guarantee to the users allows.
	TieBreak time.Duration
	// Settle is how long a server must stay up after a run for the run to count as successful:
	// a server may crash after the answer. Default 2s, so that another send to the server
	// finds it gone.
	Settle time.Duration
	// Outlive is the time after a run from which any answer of the server shows that it
	// survived the run, before Settle is over. Default 300ms: state that a request leaves
	// behind crashes its server when it is cleaned up.
	Outlive time.Duration
	// CrashConfirmTimeout is how long an interrupted answer is kept until a crash of its
	// server is confirmed. Default 8s: three heartbeats until an entry expires, and the delay
	// of the report.
	CrashConfirmTimeout time.Duration
	// SuccessTTL is how long a request counts as harmless after a successful run: crashes do
	// not count against it meanwhile. Default 10s: a request that many callers send is running
	// somewhere at any moment, also on servers that crash for other reasons.
	SuccessTTL time.Duration
	// CrashTTL is how long a crash is remembered. Default 10m: callers retry within seconds or
	// minutes.
	CrashTTL time.Duration
	// ResendFor is how long a router keeps reporting what it observed itself. Default 5s: the
	// longest time after which the users expect connected routers to know.
	ResendFor time.Duration
	// ProbeAfter lists the times after the start of the refusals at which one probe request is
	// allowed, to find requests that are refused wrongly, or whose servers were fixed. Default
	// 5m and 1h: together with the probe of ExplainedProbeAfter, or the send that a tie may
	// take, these are the three sends that the guarantee to the
	// users allows.
	ProbeAfter []time.Duration
	// ExplainedProbeAfter is the time from the start of the refusals to the first probe where
	// other refused requests were running at each crash. Default 500ms: by then the reports of
	// all routers have arrived, and a request that did not cause the crashes waits no longer
	// than necessary.
	ExplainedProbeAfter time.Duration
	// MaxCrashes, MaxSuspects and MaxRefused bound the stored data. Defaults: 256 crashes; 128
	// suspects of each, the slots of two engines; 1024 refused requests.
	MaxCrashes, MaxSuspects, MaxRefused int
	// MaxSuccesses bounds the number of requests that are known to be harmless. Default 2048,
	// some seconds of a busy router, below 200 KB.
	MaxSuccesses int
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Crashes: 3, BurstWindow: 250 * time.Millisecond, JudgementDelay: 50 * time.Millisecond, TieBreak: 2 * time.Second, Settle: 2 * time.Second, Outlive: 300 * time.Millisecond, CrashConfirmTimeout: 8 * time.Second,
		SuccessTTL: 10 * time.Second, CrashTTL: 10 * time.Minute, ResendFor: 5 * time.Second,
		ProbeAfter: []time.Duration{5 * time.Minute, time.Hour}, ExplainedProbeAfter: 500 * time.Millisecond,
		MaxCrashes: 256, MaxSuspects: 128, MaxRefused: 1024, MaxSuccesses: 2048,
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
	check(c.Crashes > 1, "Crashes must be above 1")
	check(c.BurstWindow >= 0, "BurstWindow must not be negative")
	check(c.JudgementDelay >= 0, "JudgementDelay must not be negative")
	check(c.TieBreak >= 0, "TieBreak must not be negative")
	check(c.Settle > 0, "Settle must be positive")
	check(c.Outlive > 0, "Outlive must be positive")
	check(c.CrashConfirmTimeout > 0, "CrashConfirmTimeout must be positive")
	check(c.SuccessTTL > 0, "SuccessTTL must be positive")
	check(c.CrashTTL > c.CrashConfirmTimeout, "CrashTTL must be above CrashConfirmTimeout")
	check(c.ResendFor > 0, "ResendFor must be positive")
	check(c.ExplainedProbeAfter >= 0, "ExplainedProbeAfter must not be negative")
	check(c.MaxCrashes > c.Crashes, "MaxCrashes must be above Crashes")
	check(c.MaxSuspects > 0, "MaxSuspects must be positive")
	check(c.MaxRefused > 0, "MaxRefused must be positive")
	check(c.MaxSuccesses > 0, "MaxSuccesses must be positive")
	return err
}
