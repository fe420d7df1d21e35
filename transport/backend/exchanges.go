package backend

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/inflight"
	"goldcrestport/coordination/vouching"
)

// Reasons for which an exchange is revoked before its context ends.
var (
	// ErrStalled means that the sent bytes make no progress.
	ErrStalled = errors.New("no progress of what was sent")
	// ErrServerLeft means that the server is draining or gone and sends nothing.
	ErrServerLeft = errors.New("the server left before it answered")
)

// checkInterval is the time between two checks of the exchanges in flight.
const checkInterval = 100 * time.Millisecond

// epoch is the origin of the times in peer, which are monotonic clock readings.
var epoch = time.Now()

// peer is the state that all connections to one server share. Times are nanoseconds since
// epoch; 0 means never.
type peer struct {
	// lastReceived is when bytes of the server last arrived. lastAnswered is the send time of
	// the latest request whose response header arrived; the arrival time is not used, as the
	// response may have been delayed in transit.
	lastReceived atomic.Int64
	lastAnswered atomic.Int64
	// drainingSince is since when the server is known to be draining or gone.
	drainingSince atomic.Int64

	// entryMu guards what is known of the server's entry, its generation, which rises when the
	// entry is new or names another version, and the connections that are open.
	entryMu    sync.Mutex
	entry      vouching.Entry
	generation uint64
	conns      map[*conn]struct{}
	// witnesses are connections without requests, see Pool.KeepVouched.
	witnesses witnesses
}

func sinceEpoch() int64 { return max(1, int64(time.Since(epoch))) }

// timeOf returns the time, or the zero time for never.
func timeOf(at *atomic.Int64) time.Time {
	if ns := at.Load(); ns != 0 {
		return epoch.Add(time.Duration(ns))
	}
	return time.Time{}
}

// noteAnswered records that a response header arrived for a request sent at the given time.
func (p *peer) noteAnswered(sent time.Time) {
	at := max(1, int64(sent.Sub(epoch)))
	if at > p.lastAnswered.Load() {
		p.lastAnswered.Store(at)
	}
}

// exchangeSet is the set of exchanges in flight. One goroutine checks them periodically while
// there are any.
type exchangeSet struct {
	cfg inflight.Config

	mu      sync.Mutex
	all     map[*Answer]struct{}
	running bool
}

// add adds an exchange whose first byte is about to be written.
func (f *exchangeSet) add(a *Answer) {
	a.attempt = inflight.Begin(&f.cfg, a.startedAt, a.size)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all[a] = struct{}{}
	if !f.running {
		f.running = true
		go f.run()
	}
}

// remove removes a finished exchange.
func (f *exchangeSet) remove(a *Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.all, a)
}

// run checks the exchanges until there are none.
func (f *exchangeSet) run() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		for a, reason := range f.check(now) {
			a.revoke(reason)
		}
		if f.stopIfEmpty() {
			return
		}
	}
}

// stopIfEmpty marks the checks as stopped if the set is empty, and reports whether it did.
func (f *exchangeSet) stopIfEmpty() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = len(f.all) > 0
	return !f.running
}

// check checks each exchange once and returns those to revoke, with the reason.
func (f *exchangeSet) check(now time.Time) map[*Answer]error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var toRevoke map[*Answer]error
	for a := range f.all {
		verdict := a.attempt.Look(now, a.observe(now))
		if verdict == inflight.Keep {
			continue
		}
		delete(f.all, a)
		if reason := reasonOf(verdict); reason != nil {
			if toRevoke == nil {
				toRevoke = make(map[*Answer]error)
			}
			toRevoke[a] = reason
		}
	}
	return toRevoke
}

func reasonOf(v inflight.Verdict) error {
	switch v {
	case inflight.Stalled:
		return ErrStalled
	case inflight.ServerGone:
		return ErrServerLeft
	case inflight.Endless:
		return ErrEndless
	default:
		return nil
	}
}

// observe returns the current state of the exchange.
func (a *Answer) observe(now time.Time) inflight.Look {
	l := inflight.Look{
		Pending: a.pending(), Answered: a.headerReceived.Load(),
		Arrived: a.conn.arrived.Load(), Parsed: a.conn.parsed.Load(),
		Heard: timeOf(&a.conn.peer.lastReceived), DrainingSince: timeOf(&a.conn.peer.drainingSince),
	}
	if l.Answered && !a.conn.reading.Load() {
		// The caller is slow, not the server: bytes may wait unread in the socket buffer.
		l.Heard = now
	}
	return l
}

// pending returns the number of bytes of the request that the peer has not acknowledged. Once
// all are acknowledged, the kernel is not queried again. If the kernel does not report the
// number, written bytes count as acknowledged.
func (a *Answer) pending() int {
	if a.allAcked {
		return 0
	}
	unwritten := a.size - int(a.bytesWritten.Load())
	pending := unwritten + max(0, a.conn.unacked())
	a.allAcked = pending == 0
	return pending
}

// revoke abandons the exchange so that no further byte of it is delivered.
func (a *Answer) revoke(reason error) {
	a.revokeReason.Store(&reason)
	a.abandon(ConnReset, reason)
}

// cause returns the reason for which the exchange was revoked, or else the error met.
func (a *Answer) cause(met error) error {
	if reason := a.revokeReason.Load(); reason != nil {
		return *reason
	}
	return met
}
