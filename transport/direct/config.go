package direct

import (
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/coordination/repeats"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/staleness"
	"goldcrestport/coordination/warmup"
	"goldcrestport/transport/backend"
)

// Config holds what a Router needs beside its settings.
type Config struct {
	Admission  admission.Config
	Roster     roster.Config
	Repeats    repeats.Config
	Backend    backend.Config
	Quarantine quarantine.Config
	Warmup     warmup.Config
	Staleness  staleness.Config
	// Freshness is the greatest age of the knowledge that the configuration
	// is the newest, for requests that need a key.
	Freshness time.Duration
}

// Times of the router's duties.
const (
	// watchWait is how long one wait for changes takes. Knowledge is as old
	// as the last wait's begin, so it is twice this at most on a calm day;
	// the users' bound for keys is 5 s.
	watchWait = time.Second
	// awaitStep is the time between looks at whether others still tell what is
	// new.
	awaitStep = 100 * time.Millisecond
	// catchUpDelay is waited before changes are read that others know of, so
	// that a series of them takes one call; catchUpWait is the wait of that
	// call, which has something to tell at once.
	catchUpDelay = 150 * time.Millisecond
	catchUpWait  = 50 * time.Millisecond
	// wantedWait is the wait of a call for which a request waits.
	wantedWait = 5 * time.Millisecond
	// callTimeout bounds a call of the store beyond its wait. On the users'
	// slow days an answer takes 250 ms.
	callTimeout = 800 * time.Millisecond
	// storePause is the time between calls of a store that fails.
	storePause = 150 * time.Millisecond
	// startPause is the time between calls of a router that knows no
	// configuration yet: whole fleets start at once.
	startPause = 150 * time.Millisecond
	// retryEvery is the time between calls of a store that does not answer
	// this router while others tell it what is new.
	retryEvery = time.Second
	// othersSilent is how long after the last new word of others that the store
	// answers them it may be away for all: in some fleets a word comes each second.
	othersSilent = 1500 * time.Millisecond
	// resyncEvery is the time after which everything is read again, in case a
	// watch missed a change. Only routers that watch do so.
	resyncEvery = 15 * time.Second
	// sweepEvery is the time between looks at idle connections and lapsed
	// servers.
	sweepEvery = 200 * time.Millisecond
	// registerTTL is the life of this router's entry without a renewal, and
	// registerEvery the time between renewals.
	registerTTL   = 9 * time.Second
	registerEvery = 3 * time.Second
	// unreadyShare of the freshness bound is the age of the configuration
	// from which the router is not ready: callers are better served by
	// others.
	unreadyShare = 0.6
	// cutReady is how long a router is ready without the store's own answer,
	// though others tell it what is new: callers are better served by those.
	cutReady = 1500 * time.Millisecond
	// outcomeSlack is the time beyond a request's deadline in which its last
	// bytes may still be written to the caller.
	outcomeSlack = 300 * time.Millisecond
	// wholeBody is the size up to which an answer is read whole before it is
	// passed on, so that a broken one can be repeated.
	wholeBody = 64 << 10
	// relayBuffer is the size of a read of a longer answer.
	relayBuffer = 4 << 10
	// sends bounds the servers that one request is sent to, those that
	// refused it included.
	sends = 4
	// defaultDeadline is for callers that do not say how long they wait.
	defaultDeadline = 30 * time.Second
	// busyReturn is when to come back after a router was too busy: at once, as
	// the caller comes to another one.
	busyReturn = 20 * time.Millisecond
	// staleReturn is when to come back to a router that cannot show that its
	// configuration is the newest.
	staleReturn = 300 * time.Millisecond
)
