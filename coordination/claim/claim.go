package claim

import (
	"math/rand/v2"
	"time"

	"goldcrestport/state/claims"
)

// State is the state of one process's claim writer. It must be used by one
// goroutine at a time.
type State struct {
	cfg           Config
	rng           *rand.Rand
	shards        [claims.Shards]*shard
	nonHomeWrites tokenBucket
	// steps counts the events, to order those that have the same time.
	steps   uint64
	actions []Action
}

// New returns a state that has read no shard yet. The config must be valid.
func New(cfg Config) *State {
	s := &State{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15))}
	for i := range s.shards {
		s.shards[i] = &shard{id: i, stale: true}
	}
	s.nonHomeWrites.setRate(cfg.Budget)
	return s
}

// Step applies one event at the time now and returns the actions to perform,
// in order. The slice is valid until the next call.
func (s *State) Step(now time.Time, ev Event) []Action {
	s.actions = s.actions[:0]
	s.steps++
	switch ev := ev.(type) {
	case CallReceived:
		s.callReceived(now, ev.Call)
	case ReadDone:
		s.readDone(now, ev)
	case WriteDone:
		s.writeDone(now, ev)
	case SealDone:
		s.sealDone(now, ev)
	case SegmentDone:
		s.segmentDone(now, ev)
	case HomesChanged:
		s.homesChanged(ev)
	case Flushed:
		s.flush(now)
	case Ticked:
		s.tick(now)
	}
	return s.actions
}

// Pending returns the number of calls that have no answer yet.
func (s *State) Pending() int {
	n := 0
	for _, sh := range s.shards {
		n += len(sh.pending) + len(sh.writing)
	}
	return n
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

func (s *State) answer(c *pendingCall, v decision) {
	if c.answered {
		return
	}
	c.answered = true
	s.emit(Answer{Call: c.call.ID, Verdict: v.verdict, Record: v.record})
}

func (s *State) callReceived(now time.Time, c Call) {
	sh := s.shards[c.Key.Shard()]
	w := &pendingCall{call: c, arrived: now, step: s.steps}
	if len(sh.pending) >= s.cfg.MaxPending || sh.retryAt.After(c.Deadline) {
		s.answer(w, decision{verdict: Unavailable})
		return
	}
	sh.pending = append(sh.pending, w)
	s.advance(now, sh)
}

func (s *State) homesChanged(ev HomesChanged) {
	for i, sh := range s.shards {
		sh.home = ev.Home[i]
	}
	s.nonHomeWrites.setRate(s.cfg.Budget / float64(max(1, ev.Routers)))
}

func (s *State) flush(now time.Time) {
	for _, sh := range s.shards {
		for _, w := range sh.pending {
			w.due = true
		}
		s.advance(now, sh)
	}
}

func (s *State) tick(now time.Time) {
	for _, sh := range s.shards {
		s.expire(now, sh)
		s.advance(now, sh)
	}
}

// expire answers Unavailable to the calls whose deadline has passed. Those in
// an in-flight write may still take effect, as Unavailable documents.
func (s *State) expire(now time.Time, sh *shard) {
	for _, w := range sh.writing {
		if now.After(w.call.Deadline) {
			s.answer(w, decision{verdict: Unavailable})
		}
	}
	remaining := sh.pending[:0]
	for _, w := range sh.pending {
		if now.After(w.call.Deadline) {
			s.answer(w, decision{verdict: Unavailable})
			continue
		}
		remaining = append(remaining, w)
	}
	clear(sh.pending[len(remaining):])
	sh.pending = remaining
}

// advance starts the next platform call of a shard if one is needed and none
// is in flight or delayed.
func (s *State) advance(now time.Time, sh *shard) {
	if sh.busy || len(sh.pending) == 0 || now.Before(sh.retryAt) {
		return
	}
	if sh.stale || sh.needsRead() {
		s.read(sh)
		return
	}
	if id := s.unreadSegment(now, sh); id != "" {
		sh.busy = true
		s.emit(ReadSegment{Shard: sh.id, ID: id})
		return
	}
	s.answerWithoutWrite(now, sh)
	if sh.busy || len(sh.pending) == 0 || now.Before(sh.writeAt) || !s.writeDue(now, sh) {
		return
	}
	if !sh.home && !s.nonHomeWrites.take(now) {
		return
	}
	if !s.seal(now, sh) {
		s.write(now, sh)
	}
}

func (s *State) read(sh *shard) {
	sh.busy = true
	sh.callStep = s.steps
	s.emit(Read{Shard: sh.id})
}

// finishRead ends a read of the shard or of a segment and reports whether it
// succeeded; a failed read is retried after a backoff.
func (s *State) finishRead(now time.Time, sh *shard, result CallResult) bool {
	sh.busy = false
	if result != OK {
		sh.retryAt = s.backoffEnd(now, sh.failures)
		sh.failures++
		return false
	}
	sh.failures = 0
	return true
}

func (s *State) readDone(now time.Time, ev ReadDone) {
	sh := s.shards[ev.Shard]
	if !s.finishRead(now, sh, ev.Result) {
		return
	}
	sh.stale = false
	sh.table = ev.Table
	sh.version = ev.Version
	sh.dropUnreferenced()
	sh.currentAt = sh.callStep
	s.advance(now, sh)
}

// answerWithoutWrite answers the calls that need no write. A call whose key an
// earlier pending call may change waits for that call. A Finish or Release that
// appears to need no write is answered only after a read started since the call
// arrived: another process may have written the claim, and dropping its result
// would let the request run again.
func (s *State) answerWithoutWrite(now time.Time, sh *shard) {
	changedKeys := map[claims.Key]bool{}
	remaining := sh.pending[:0]
	for _, w := range sh.pending {
		v, change := s.decide(now, sh.lookup(w.call.Key), w.call)
		if change == nil && v.verdict == Done && sh.currentAt < w.step {
			w.call.Fresh = true
			change = awaitRead
		}
		if change == nil && !changedKeys[w.call.Key] {
			s.answer(w, v)
			continue
		}
		changedKeys[w.call.Key] = true
		remaining = append(remaining, w)
	}
	clear(sh.pending[len(remaining):])
	sh.pending = remaining
	if sh.needsRead() {
		s.read(sh)
	}
}
