package claim

import (
	"slices"
	"time"

	"goldcrestport/state/claims"
)

// shard is what this process knows of one shard and wants to change in it.
type shard struct {
	id int
	// home tells that this process is the shard's usual writer.
	home bool
	// stale tells that table and version must be read before the next write.
	stale   bool
	table   *claims.Table
	version uint64
	// fresh is the step in which the call began that showed the table to be
	// the newest: a read, or a write, whose compare-and-swap proves the same.
	fresh uint64
	// began is the step of the call on the way.
	began uint64
	// busy tells that one platform call is on the way; there is never a
	// second one.
	busy    bool
	pending []*waiting
	writing []*waiting
	next    *claims.Table
	// segments holds the segments that the table names.
	segments map[string]*claims.Table
	// size of the stored value, in bytes.
	size    int
	sealing *sealing
	sealAt  time.Time
	// writeAt is when the next write may begin.
	writeAt       time.Time
	writeFailures int
	// retryAt is when the next call of either kind may begin.
	retryAt  time.Time
	failures int
}

// waiting is a call without an answer.
type waiting struct {
	call    Call
	arrived time.Time
	// step in which the call arrived.
	step uint64
	// due tells that the call is worth a write of its own.
	due bool
	// answered tells that the call got its one answer.
	answered bool
	// verdict holds once the write on the way has taken effect.
	verdict verdict
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

// wantsFresh reports whether a call waits that the table is too old for.
func (sh *shard) wantsFresh() bool {
	for _, w := range sh.pending {
		if w.call.Fresh && sh.fresh < w.step {
			return true
		}
	}
	return false
}

// requeue puts the calls of a write that had no proven effect back to the
// front, in their order, but those that were answered meanwhile.
func (sh *shard) requeue() {
	sh.writing = slices.DeleteFunc(sh.writing, func(w *waiting) bool { return w.answered })
	sh.pending = append(sh.writing, sh.pending...)
	sh.writing = nil
	sh.next = nil
}

// verdict is an answer before it is given.
type verdict struct {
	verdict Verdict
	record  claims.Record
}

// change is a new record, or nil to delete it.
type change struct{ record *claims.Record }

// keep marks a call that waits for a read.
var keep = &change{}

// decide returns the answer to a call, given the key's record, and the change
// that must be written before the answer may be given, or nil.
func (s *State) decide(now time.Time, r *claims.Record, c Call) (verdict, *change) {
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

// acquire grants a key that is free, or whose claim is the attempt's own, or
// whose claim belongs to an attempt that will never run.
func acquire(now time.Time, r *claims.Record, c Call) (verdict, *change) {
	mine := claims.Record{
		State:    claims.Claimed,
		Digest:   c.Digest,
		At:       now.Unix(),
		Attempt:  c.Attempt,
		Executor: c.Executor,
	}
	switch {
	case r == nil:
		return verdict{verdict: Granted}, &change{&mine}
	case r.State == claims.Claimed && r.Attempt == c.Attempt:
		return verdict{verdict: Granted}, nil
	case r.State == claims.Claimed && c.Over != "" && r.Attempt == c.Over:
		return verdict{verdict: Granted}, &change{&mine}
	case r.Digest != c.Digest:
		return verdict{verdict: Reused, record: *r}, nil
	case r.State == claims.Claimed:
		return verdict{verdict: Held, record: *r}, nil
	default:
		return verdict{verdict: Replayed, record: *r}, nil
	}
}

// finish records a result in the attempt's own claim only.
func finish(r *claims.Record, c Call) (verdict, *change) {
	if r == nil || r.State != claims.Claimed || r.Attempt != c.Attempt {
		return verdict{verdict: Done}, nil
	}
	ended := r.End(c.Result)
	return verdict{verdict: Done}, &change{&ended}
}

// release removes the attempt's own claim only.
func release(r *claims.Record, c Call) (verdict, *change) {
	if r == nil || r.State != claims.Claimed || r.Attempt != c.Attempt {
		return verdict{verdict: Done}, nil
	}
	return verdict{verdict: Done}, &change{nil}
}

// bucket is a token bucket that holds guestBurst tokens.
type bucket struct {
	rate, tokens float64
	last         time.Time
}

// guestBurst is the number of writes a guest may make at once.
const guestBurst = 4

func (b *bucket) setRate(rate float64) { b.rate = rate }

func (b *bucket) take(now time.Time) bool {
	if b.last.IsZero() {
		b.tokens = guestBurst
	} else {
		b.tokens = min(guestBurst, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
