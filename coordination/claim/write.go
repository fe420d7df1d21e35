package claim

import (
	"time"

	"goldcrestport/state/claims"
)

// writeDue reports whether a write has to start now. Results are delayed by up
// to FinishDelay, so that they share a write with other calls.
func (s *State) writeDue(now time.Time, sh *shard) bool {
	for _, w := range sh.pending {
		if w.call.Kind != Finish || w.due || now.Sub(w.arrived) >= s.cfg.FinishDelay {
			return true
		}
	}
	return false
}

// write batches the pending calls into one compare-and-swap.
func (s *State) write(now time.Time, sh *shard) {
	changes := map[claims.Key]*claims.Record{}
	sh.writing = sh.writing[:0]
	for _, w := range sh.pending {
		s.apply(now, sh, changes, w)
	}
	sh.pending = nil
	next := sh.withSegment(sh.table.With(changes, now, s.cfg.Expiry), changes)
	value, err := next.Encode()
	if err != nil || len(value) > s.cfg.MaxBytes {
		s.tooLarge(now, sh)
		return
	}
	sh.busy = true
	sh.next = next
	sh.size = len(value)
	sh.callStep = s.steps
	s.emit(Write{Shard: sh.id, Version: sh.version, Value: value, Calls: len(sh.writing)})
}

// apply adds the effect of one call to the changes.
func (s *State) apply(now time.Time, sh *shard, changes map[claims.Key]*claims.Record, w *pendingCall) {
	record, changed := changes[w.call.Key]
	if !changed {
		record = sh.lookup(w.call.Key)
	}
	v, change := s.decide(now, record, w.call)
	if change != nil {
		changes[w.call.Key] = change.record
	}
	w.decision = v
	sh.writing = append(sh.writing, w)
}

func (s *State) writeDone(now time.Time, ev WriteDone) {
	sh := s.shards[ev.Shard]
	sh.busy = false
	switch ev.Result {
	case OK:
		s.written(now, sh, ev.Version)
	case TooLarge:
		s.tooLarge(now, sh)
	case Refused:
		s.writeFailed(now, sh)
	case Lost:
		sh.retryAt = s.backoffEnd(now, sh.failures)
		sh.failures++
		fallthrough
	default:
		// After Conflict, another writer's records are unknown here; after
		// Lost, it is unknown whether the write took effect. No call is
		// answered before a read: the next write carries the version read, so
		// a late effect of this write makes it conflict.
		sh.stale = true
		s.writeFailed(now, sh)
	}
	s.expire(now, sh)
	s.advance(now, sh)
}

func (s *State) written(now time.Time, sh *shard, version uint64) {
	sh.version = version
	sh.table = sh.next
	sh.next = nil
	sh.adoptSegment()
	sh.currentAt = sh.callStep
	sh.writeFailures = 0
	sh.writeAt = now.Add(s.cfg.Gap)
	for _, w := range sh.writing {
		s.answer(w, w.decision)
	}
	sh.writing = nil
}

// tooLarge refuses the new keys of a write that is too large and requeues the
// other calls. If there was no new key, the results are requeued without the
// responses that they would keep.
func (s *State) tooLarge(now time.Time, sh *shard) {
	notWritten := sh.pending
	sh.pending = nil
	refused := false
	for _, w := range sh.writing {
		if w.call.Kind == Acquire {
			s.answer(w, decision{verdict: Full})
			refused = true
		}
		if w.answered {
			continue
		}
		sh.pending = append(sh.pending, w)
	}
	if !refused {
		dropResponses(sh.pending)
	}
	sh.pending = append(sh.pending, notWritten...)
	sh.writing = nil
	s.writeFailed(now, sh)
}

// writeFailed requeues the calls of a write that is not known to have taken
// effect and delays the next write.
func (s *State) writeFailed(now time.Time, sh *shard) {
	sh.requeue()
	if now.Sub(sh.writeAt) > s.cfg.BackoffMax {
		// The previous failures are too old to count towards this backoff.
		sh.writeFailures = 0
	}
	sh.writeAt = s.backoffEnd(now, sh.writeFailures)
	sh.writeFailures++
}

// backoffEnd returns the end of a delay that doubles with each failure. It has
// jitter, so that writers that conflicted do not retry at the same time.
func (s *State) backoffEnd(now time.Time, failures int) time.Time {
	delay := min(s.cfg.Backoff<<min(failures, maxDoublings), s.cfg.BackoffMax)
	return now.Add(delay/2 + time.Duration(s.rng.Int64N(int64(delay/2)+1)))
}

// maxDoublings keeps the shift in backoffEnd from overflowing.
const maxDoublings = 10

// dropResponses reduces each result to its outcome and status, without the
// response body.
func dropResponses(calls []*pendingCall) {
	for _, w := range calls {
		w.call.Result.Body, w.call.Result.Kept = nil, false
	}
}
