package claim

import (
	"time"

	"goldcrestport/state/claims"
)

// writeDue reports whether a waiting call is worth a write now. Results wait
// for company up to FinishDelay.
func (s *State) writeDue(now time.Time, sh *shard) bool {
	for _, w := range sh.pending {
		if w.call.Kind != Finish || w.due || now.Sub(w.arrived) >= s.cfg.FinishDelay {
			return true
		}
	}
	return false
}

// write groups the waiting calls into one compare-and-swap.
func (s *State) write(now time.Time, sh *shard) {
	changes := map[claims.Key]*claims.Record{}
	sh.writing = sh.writing[:0]
	for _, w := range sh.pending {
		s.apply(now, sh, changes, w)
	}
	sh.pending = nil
	next := sh.sealed(sh.table.With(changes, now, s.cfg.Expiry), changes)
	value, err := next.Encode()
	if err != nil || len(value) > s.cfg.MaxBytes {
		s.full(now, sh)
		return
	}
	sh.busy = true
	sh.next = next
	sh.size = len(value)
	sh.began = s.steps
	s.emit(Write{Shard: sh.id, Version: sh.version, Value: value, Calls: len(sh.writing)})
}

// apply adds the effect of one call to the changes.
func (s *State) apply(now time.Time, sh *shard, changes map[claims.Key]*claims.Record, w *waiting) {
	record, changed := changes[w.call.Key]
	if !changed {
		record = sh.lookup(w.call.Key)
	}
	v, change := s.decide(now, record, w.call)
	if change != nil {
		changes[w.call.Key] = change.record
	}
	w.verdict = v
	sh.writing = append(sh.writing, w)
}

func (s *State) writeDone(now time.Time, ev WriteDone) {
	sh := s.shards[ev.Shard]
	sh.busy = false
	switch ev.Result {
	case OK:
		s.written(now, sh, ev.Version)
	case TooLarge:
		s.full(now, sh)
	case Refused:
		s.failed(now, sh)
	case Lost:
		sh.retryAt = s.after(now, sh.failures)
		sh.failures++
		fallthrough
	default:
		// After Conflict another writer's records are unknown here; after Lost
		// the write itself is. Nobody is told anything before a read: the
		// next write names the version read, so that a late effect of this
		// one makes it conflict.
		sh.stale = true
		s.failed(now, sh)
	}
	s.expire(now, sh)
	s.advance(now, sh)
}

func (s *State) written(now time.Time, sh *shard, version uint64) {
	sh.version = version
	sh.table = sh.next
	sh.next = nil
	sh.adoptSegment()
	sh.fresh = sh.began
	sh.writeFailures = 0
	sh.writeAt = now.Add(s.cfg.Gap)
	for _, w := range sh.writing {
		s.answer(w, w.verdict)
	}
	sh.writing = nil
}

// full refuses the new keys of a write that is too large; the rest is tried
// again. Results that are too large on their own lose their answers.
func (s *State) full(now time.Time, sh *shard) {
	rest := sh.pending
	sh.pending = nil
	refused := false
	for _, w := range sh.writing {
		if w.call.Kind == Acquire {
			s.answer(w, verdict{verdict: Full})
			refused = true
		}
		if w.answered {
			continue
		}
		sh.pending = append(sh.pending, w)
	}
	if !refused {
		dropAnswers(sh.pending)
	}
	sh.pending = append(sh.pending, rest...)
	sh.writing = nil
	s.failed(now, sh)
}

// failed takes the calls of a write back that had no proven effect.
func (s *State) failed(now time.Time, sh *shard) {
	sh.requeue()
	if now.Sub(sh.writeAt) > s.cfg.BackoffMax {
		// The failures before are long past and say nothing of this one.
		sh.writeFailures = 0
	}
	sh.writeAt = s.after(now, sh.writeFailures)
	sh.writeFailures++
}

// after returns the end of a pause that doubles with each failure. It is
// spread, so that writers that conflicted do not meet again.
func (s *State) after(now time.Time, failures int) time.Time {
	pause := min(s.cfg.Backoff<<min(failures, maxDoublings), s.cfg.BackoffMax)
	return now.Add(pause/2 + time.Duration(s.rng.Int64N(int64(pause/2)+1)))
}

// maxDoublings keeps the shift of a pause from overflowing.
const maxDoublings = 10

// dropAnswers keeps of each result only its outcome.
func dropAnswers(calls []*waiting) {
	for _, w := range calls {
		w.call.Result.Body, w.call.Result.Kept = nil, false
	}
}
