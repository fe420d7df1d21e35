package quarantine

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the figures of a State.
type Config struct {
	// Crashes under one request from which it is refused, in servers. Default 3,
	// the promise to the users; fewer would refuse bystanders of two crashes.
	Crashes int
	// Burst is the time within which crashes may have one cause that is no
	// request, such as a data centre that is lost. Default 250ms: routers notice
	// the end of a server within some milliseconds of each other, and a request
	// that crashes servers comes again after its caller saw it fail.
	Burst time.Duration
	// Hearing is the time from news of a content to its judgement, in which all
	// routers say what ran at the server that crashed: of those that were at each
	// crash the one that others send counts as well. Default 50ms: news takes some
	// milliseconds.
	Hearing time.Duration
	// TieBreak is the time after the last crash that it takes for which a request is
	// not refused yet while another one was at each of its crashes: one that runs
	// well or does not crash the next server tells them apart. Default 2s, of the 3
	// that the promise leaves.
	TieBreak time.Duration
	// Settle is how long a server must outlive a run for the run to be sound: a
	// server may crash after the answer. Default 2s, so that another send to the
	// server finds it gone.
	Settle time.Duration
	// Outlive is the time after a run from which an answer of the server to anybody
	// shows that it outlived the run, before Settle is over. Default 300ms: what a
	// request leaves behind to crash its server does so when it is cleaned up.
	Outlive time.Duration
	// Doubt is how long an answer that broke off waits for word whether its server
	// crashed. Default 8s: three heartbeats until an entry lapses, and the way of
	// that word.
	Doubt time.Duration
	// SoundFor is how long a content counts as sound after it ran well: crashes do
	// not count against it meanwhile. Default 10s: what many callers ask for runs
	// somewhere at any moment, also on servers that crash for other reasons.
	SoundFor time.Duration
	// Memory is how long a crash is remembered. Default 10m: callers come back
	// within seconds or minutes.
	Memory time.Duration
	// News is how long a router goes on telling what it saw itself. Default 5s:
	// the longest time in which the users want routers in touch to know.
	News time.Duration
	// Trials are the times after the refusals began at which one send is allowed,
	// to find requests that are refused wrongly, or whose servers were mended.
	// Default 5m and 1h: with the one of ExplainedTrial or the send that a tie may
	// take, they are the three that the promise leaves.
	Trials []time.Duration
	// ExplainedTrial is the time after the refusals began of the first trial where
	// other refused requests were at each crash. Default 500ms: a bystander waits
	// no longer than it must, and the word of all routers is in.
	ExplainedTrial time.Duration
	// MostCrashes, MostSuspects and MostHeld bound what is kept. Defaults: 256
	// crashes; 128 suspects of each, two engines' places; 1024 refused requests.
	MostCrashes, MostSuspects, MostHeld int
	// MostSound bounds the contents that are known to be sound. Default 2048, some
	// seconds of a busy router, below 200 KB.
	MostSound int
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Crashes: 3, Burst: 250 * time.Millisecond, Hearing: 50 * time.Millisecond, TieBreak: 2 * time.Second, Settle: 2 * time.Second, Outlive: 300 * time.Millisecond, Doubt: 8 * time.Second,
		SoundFor: 10 * time.Second, Memory: 10 * time.Minute, News: 5 * time.Second,
		Trials: []time.Duration{5 * time.Minute, time.Hour}, ExplainedTrial: 500 * time.Millisecond,
		MostCrashes: 256, MostSuspects: 128, MostHeld: 1024, MostSound: 2048,
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
	check(c.Burst >= 0, "Burst must not be negative")
	check(c.Hearing >= 0, "Hearing must not be negative")
	check(c.TieBreak >= 0, "TieBreak must not be negative")
	check(c.Settle > 0, "Settle must be positive")
	check(c.Outlive > 0, "Outlive must be positive")
	check(c.Doubt > 0, "Doubt must be positive")
	check(c.SoundFor > 0, "SoundFor must be positive")
	check(c.Memory > c.Doubt, "Memory must be above Doubt")
	check(c.News > 0, "News must be positive")
	check(c.ExplainedTrial >= 0, "ExplainedTrial must not be negative")
	check(c.MostCrashes > c.Crashes, "MostCrashes must be above Crashes")
	check(c.MostSuspects > 0, "MostSuspects must be positive")
	check(c.MostHeld > 0, "MostHeld must be positive")
	check(c.MostSound > 0, "MostSound must be positive")
	return err
}
