package claim

import (
	"slices"
	"time"

	"goldcrestport/state/claims"
)

// shard is this process's copy of one shard, with the calls that are to change
// it.
type shard struct {
	id int
	// home is true if this process is the shard's home, its regular writer.
	home bool
	// stale is true if table and version must be read before the next write.
	stale   bool
	table   *claims.Table
	version uint64
	// currentAt is the start step of the last platform call that proved the
	// table current: a read, or a write whose compare-and-swap succeeded.
	currentAt uint64
	// callStep is the start step of the in-flight platform call.
	callStep uint64
	// busy is true while a platform call is in flight; there is at most one
	// per shard.
	busy    bool
	pending []*pendingCall
	writing []*pendingCall
	next    *claims.Table
	// segments caches the segments that the table references, by id.
	segments map[string]*claims.Table
	// size is the length of the value last written, in bytes.
	size           int
	pendingSegment *pendingSegment
	sealAt         time.Time
	// writeAt is the earliest start time of the next write.
	writeAt       time.Time
	writeFailures int
	// retryAt is the earliest start time of the next platform call, read or
	// write.
	retryAt  time.Time
	failures int
}

// pendingCall is a call that has not been answered.
type pendingCall struct {
	call    Call
	arrived time.Time
	// step is the event count at the call's arrival.
	step uint64
	// due is true if a write is started for this call even without others.
	due bool
	// answered is true once the call has its answer; it gets exactly one.
	answered bool
	// decision is the answer to give once the in-flight write has taken effect.
	decision decision
}

func (sh *shard) lookup(k claims.Key) *claims.Record {
	if r, ok := sh.table.Records[k]; ok {
		return &r
	}
	for _, g := range sh.table.Sealed {
		if r, ok := sh.segment(g).Records[k]; ok {
			return &r
		}
	}
	return nil
}

// needsRead reports whether a pending call requires a newer read of the shard.
func (sh *shard) needsRead() bool {
	for _, w := range sh.pending {
		if w.call.Fresh && sh.currentAt < w.step {
			return true
		}
	}
	return false
}

// requeue puts the unanswered calls of a write that is not known to have taken
// effect back to the front of the queue, in their order.
func (sh *shard) requeue() {
	sh.writing = slices.DeleteFunc(sh.writing, func(w *pendingCall) bool { return w.answered })
	sh.pending = append(sh.writing, sh.pending...)
	sh.writing = nil
	sh.next = nil
}

// decision is the content of an answer that has not been sent yet.
type decision struct {
	verdict Verdict
	record  claims.Record
}

// change is a new record, or nil to delete it.
type change struct{ record *claims.Record }

// awaitRead marks a call that has to wait for a read.
var awaitRead = &change{}

// decide returns the answer to a call, given the key's record, and the change
// that must be written before the answer may be given, or nil.
func (s *State) decide(now time.Time, r *claims.Record, c Call) (decision, *change) {
	if r != nil && r.Expired(now, s.cfg.Expiry) {
		r = nil
	}
	switch c.Kind {
	case Acquire:
		return acquire(now, r, c)
	case Finish:
		return finish(r, c)
	default:
		return release(r, c)
	}
}

// acquire grants a key that is free, or that is claimed by the same attempt, or
// by an attempt that will never run (Call.Over).
func acquire(now time.Time, r *claims.Record, c Call) (decision, *change) {
	newClaim := claims.Record{
		State:    claims.Claimed,
		Digest:   c.Digest,
		At:       now.Unix(),
		Attempt:  c.Attempt,
		Executor: c.Executor,
	}
	switch {
	case r == nil:
		return decision{verdict: Granted}, &change{&newClaim}
	case r.State == claims.Claimed && r.Attempt == c.Attempt:
		return decision{verdict: Granted}, nil
	case r.State == claims.Claimed && c.Over != "" && r.Attempt == c.Over:
		return decision{verdict: Granted}, &change{&newClaim}
	case r.Digest != c.Digest:
		return decision{verdict: Reused, record: *r}, nil
	case r.State == claims.Claimed:
		return decision{verdict: Held, record: *r}, nil
	default:
		return decision{verdict: Replayed, record: *r}, nil
	}
}

// finish records a result, only in the attempt's own claim.
func finish(r *claims.Record, c Call) (decision, *change) {
	if r == nil || r.State != claims.Claimed || r.Attempt != c.Attempt {
		return decision{verdict: Done}, nil
	}
	ended := r.End(c.Result)
	return decision{verdict: Done}, &change{&ended}
}

// release removes a claim, only if it is the attempt's own.
func release(r *claims.Record, c Call) (decision, *change) {
	if r == nil || r.State != claims.Claimed || r.Attempt != c.Attempt {
		return decision{verdict: Done}, nil
	}
	return decision{verdict: Done}, &change{nil}
}

// tokenBucket is a token bucket with a capacity of nonHomeBurst tokens.
type tokenBucket struct {
	rate, tokens float64
	last         time.Time
}

// nonHomeBurst is the number of writes that a router may make at once to shards
// whose home is another router.
const nonHomeBurst = 4

func (b *tokenBucket) setRate(rate float64) { b.rate = rate }

func (b *tokenBucket) take(now time.Time) bool {
	if b.last.IsZero() {
		b.tokens = nonHomeBurst
	} else {
		b.tokens = min(nonHomeBurst, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
