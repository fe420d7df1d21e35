package direct

import (
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/coordination/repeats"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/staleness"
	"goldcrestport/coordination/warmup"
	"goldcrestport/transport/backend"
)

// Config holds what a Router needs in addition to its settings.
type Config struct {
	Admission  admission.Config
	Roster     roster.Config
	Repeats    repeats.Config
	Backend    backend.Config
	Quarantine quarantine.Config
	Warmup     warmup.Config
	Staleness  staleness.Config
	// Freshness is the maximum time since the configuration was confirmed as current, for
	// requests that need a key.
	Freshness time.Duration
}

// Intervals and limits of the router's background tasks and requests.
const (
	// watchWait is the duration of one wait for changes. The router's information is as old as
	// the start of the last wait, so it is at most twice this old under low load; the users'
	// bound for keys is 5 s.
	watchWait = time.Second
	// awaitInterval is the interval of the checks whether other routers still confirm the current
	// revision.
	awaitInterval = 100 * time.Millisecond
	// catchUpDelay is the delay before reading changes that other routers have, so that a
	// series of them takes one call; catchUpWait is the wait of that call, which has changes
	// to return at once.
	catchUpDelay = 150 * time.Millisecond
	catchUpWait  = 50 * time.Millisecond
	// urgentWait is the wait of a call on whose result a request waits.
	urgentWait = 5 * time.Millisecond
	// callTimeout bounds a call to the store in addition to its wait. On the users' slow days
	// an answer takes 250 ms.
	callTimeout = 800 * time.Millisecond
	// startPause is the interval between calls of a router that has no configuration yet:
	// whole fleets start at the same time.
	startPause = 150 * time.Millisecond
	// partitionedRetryInterval is the interval between calls to a store that does not answer
	// this router while other routers still send updates.
	partitionedRetryInterval = time.Second
	// peerSilenceLimit is how long after the last message showing that the store answers other
	// routers it may be unavailable to all: in some fleets such a message comes once a second.
	peerSilenceLimit = 1500 * time.Millisecond
	// resyncInterval is the interval after which everything is read again in case a watch missed
	// a change. Only routers that watch do so.
	resyncInterval = 15 * time.Second
	// sweepInterval is the interval between sweeps of idle connections and lapsed servers.
	sweepInterval = 200 * time.Millisecond
	// registerTTL is the lifetime of this router's entry without a renewal, and registerInterval
	// the interval between renewals.
	registerTTL      = 9 * time.Second
	registerInterval = 3 * time.Second
	// unreadyFreshnessShare is the share of the freshness bound from which an older
	// configuration makes the router unready: callers are better served by other routers.
	unreadyFreshnessShare = 0.6
	// partitionedReadyTime is how long a router stays ready without an answer of its own from
	// the store, even if other routers send it updates: callers are better served by those.
	partitionedReadyTime = 1500 * time.Millisecond
	// outcomeSlack is the time after a request's deadline in which its last bytes may still be
	// written to the caller.
	outcomeSlack = 300 * time.Millisecond
	// maxBufferedBody is the size up to which an answer is buffered whole before it is relayed, so
	// that the request can be retried if the answer breaks off.
	maxBufferedBody = 64 << 10
	// firstHeld is what is held of each answer without being charged to the budget of all.
	firstHeld = 4 << 10
	// relayBuffer is the read size for a longer answer.
	relayBuffer = 4 << 10
	// maxSends bounds the servers that one request is sent to, including those that refused it.
	maxSends = 4
	// defaultDeadline applies to callers that do not say how long they wait.
	defaultDeadline = 30 * time.Second
	// busyRetryAfter is the Retry-After of a router that is too busy: short, as the caller's next
	// attempt reaches another router.
	busyRetryAfter = 20 * time.Millisecond
	// staleRetryAfter is the Retry-After of a router that cannot show that its configuration is
	// current.
	staleRetryAfter = 300 * time.Millisecond
)

// validate returns an error that names the part of the configuration that is invalid.
func (c *Config) validate() error {
	if err := c.Admission.Validate(); err != nil {
		return errors.Wrap(err, "admission")
	}
	if err := c.Quarantine.Validate(); err != nil {
		return errors.Wrap(err, "quarantine")
	}
	if err := c.Warmup.Validate(); err != nil {
		return errors.Wrap(err, "warm-up")
	}
	if err := c.Staleness.Validate(); err != nil {
		return errors.Wrap(err, "staleness")
	}
	if err := c.Backend.InFlight.Validate(); err != nil {
		return errors.Wrap(err, "attempts under way")
	}
	return nil
}
