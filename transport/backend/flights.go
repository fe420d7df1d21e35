package backend

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/inflight"
)

// Reasons for which an exchange is revoked while its context lasts.
var (
	// ErrStalled: what was sent makes no progress.
	ErrStalled = errors.New("no progress of what was sent")
	// ErrServerLeft: the server leaves and is silent.
	ErrServerLeft = errors.New("the server left before it answered")
)

// lookEvery is the time between two looks at the exchanges under way.
const lookEvery = 100 * time.Millisecond

// epoch is what times of peers count from, as readings of the steady clock.
var epoch = time.Now()

// peer is what all connections to one server know of it. Times are nanoseconds since epoch;
// 0: never.
type peer struct {
	// heard is when bytes of it arrived last, answered when the youngest request was sent of
	// which the head of an answer arrived: the answer itself may have been held on its way.
	heard    atomic.Int64
	answered atomic.Int64
	// left is since when it is known to leave or to be gone.
	left atomic.Int64
}

func sinceEpoch() int64 { return max(1, int64(time.Since(epoch))) }

// timeOf returns the time, or the zero time for never.
func timeOf(at *atomic.Int64) time.Time {
	if ns := at.Load(); ns != 0 {
		return epoch.Add(time.Duration(ns))
	}
	return time.Time{}
}

// answers notes that the head of an answer arrived to a request that was sent at the time.
func (p *peer) answers(sent time.Time) {
	at := max(1, int64(sent.Sub(epoch)))
	if at > p.answered.Load() {
		p.answered.Store(at)
	}
}

// flights are the exchanges whose requests may be on their way yet. One goroutine looks at
// them while there are any.
type flights struct {
	cfg inflight.Config

	mu      sync.Mutex
	all     map[*Answer]struct{}
	looking bool
}

// add takes an exchange whose first byte is written now.
func (f *flights) add(a *Answer) {
	a.attempt = inflight.Begin(&f.cfg, a.began, a.size)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all[a] = struct{}{}
	if !f.looking {
		f.looking = true
		go f.run()
	}
}

// remove forgets an exchange that is over.
func (f *flights) remove(a *Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.all, a)
}

// run looks at the exchanges until there are none.
func (f *flights) run() {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for now := range ticker.C {
		for a, why := range f.look(now) {
			a.revoke(why)
		}
		if f.rest() {
			return
		}
	}
}

// rest ends the looks if there is nothing to look at, and reports whether it did.
func (f *flights) rest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.looking = len(f.all) > 0
	return !f.looking
}

// look looks at each exchange once and returns those to revoke, with the reason.
func (f *flights) look(now time.Time) map[*Answer]error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var revoked map[*Answer]error
	for a := range f.all {
		verdict := a.attempt.Look(now, a.seen(now))
		if verdict == inflight.Keep {
			continue
		}
		delete(f.all, a)
		if why := reasonOf(verdict); why != nil {
			if revoked == nil {
				revoked = make(map[*Answer]error)
			}
			revoked[a] = why
		}
	}
	return revoked
}

func reasonOf(v inflight.Verdict) error {
	switch v {
	case inflight.Stalled:
		return ErrStalled
	case inflight.ServerGone:
		return ErrServerLeft
	default:
		return nil
	}
}

// seen is what is seen of the exchange now.
func (a *Answer) seen(now time.Time) inflight.Look {
	l := inflight.Look{
		Pending: a.pending(), Answered: a.answered.Load(),
		Heard: timeOf(&a.conn.peer.heard), DrainingSince: timeOf(&a.conn.peer.left),
	}
	if l.Answered && !a.conn.reading.Load() {
		// It is the caller who is slow: there may be bytes to hear.
		l.Heard = now
	}
	return l
}

// pending returns how many bytes of the request the other end has not acknowledged. Once it
// has all, the kernel is not asked again. Where the kernel does not say, what was written
// counts as acknowledged.
func (a *Answer) pending() int {
	if a.arrived {
		return 0
	}
	unwritten := a.size - int(a.handed.Load())
	pending := unwritten + max(0, a.conn.unacked())
	a.arrived = pending == 0
	return pending
}

// revoke gives the exchange up so that no byte of it arrives any more.
func (a *Answer) revoke(why error) {
	a.revoked.Store(&why)
	a.giveUp(Reset, why)
}

// cause returns why the exchange was revoked, or what it met.
func (a *Answer) cause(met error) error {
	if why := a.revoked.Load(); why != nil {
		return *why
	}
	return met
}
