package claim

import (
	"math/rand/v2"
	"time"

	"goldcrestport/state/claims"
)

// State is the state of one process's claim writer. It must be used by one
// goroutine at a time.
type State struct {
	cfg    Config
	rng    *rand.Rand
	shards [claims.Shards]*shard
	guest  bucket
	// steps counts the events, to order what happens at one time.
	steps uint64
	out   []Action
}

// New returns a state that knows nothing. The config must be valid.
func New(cfg Config) *State {
	s := &State{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15))}
	for i := range s.shards {
		s.shards[i] = &shard{id: i, stale: true}
	}
	s.guest.setRate(cfg.Budget)
	return s
}

// Step applies one event at the time now and returns the actions to perform,
// in order. The slice is valid until the next call.
func (s *State) Step(now time.Time, ev Event) []Action {
	s.out = s.out[:0]
	s.steps++
	switch ev := ev.(type) {
	case Asked:
		s.asked(now, ev.Call)
	case ReadDone:
		s.readDone(now, ev)
	case WriteDone:
		s.writeDone(now, ev)
	case SealDone:
		s.sealDone(now, ev)
	case SegmentDone:
		s.segmentDone(now, ev)
	case HomesSet:
		s.homesSet(ev)
	case Flushed:
		s.flush(now)
	case Ticked:
		s.tick(now)
	}
	return s.out
}

// Pending returns the number of calls that have no answer yet.
func (s *State) Pending() int {
	n := 0
	for _, sh := range s.shards {
		n += len(sh.pending) + len(sh.writing)
	}
	return n
}

func (s *State) emit(a Action) { s.out = append(s.out, a) }

func (s *State) answer(c *waiting, v verdict) {
	if c.answered {
		return
	}
	c.answered = true
	s.emit(Answer{Call: c.call.ID, Verdict: v.verdict, Record: v.record})
}

func (s *State) asked(now time.Time, c Call) {
	sh := s.shards[c.Key.Shard()]
	w := &waiting{call: c, arrived: now, step: s.steps}
	if len(sh.pending) >= s.cfg.MaxPending || sh.retryAt.After(c.Deadline) {
		s.answer(w, verdict{verdict: Unavailable})
		return
	}
	sh.pending = append(sh.pending, w)
	s.advance(now, sh)
}

func (s *State) homesSet(ev HomesSet) {
	for i, sh := range s.shards {
		sh.home = ev.Home[i]
	}
	s.guest.setRate(s.cfg.Budget / float64(max(1, ev.Routers)))
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

// expire answers the calls that nobody waits for any longer. Those in a write
// on the way may still take effect, as Unavailable says.
func (s *State) expire(now time.Time, sh *shard) {
	for _, w := range sh.writing {
		if now.After(w.call.Deadline) {
			s.answer(w, verdict{verdict: Unavailable})
		}
	}
	kept := sh.pending[:0]
	for _, w := range sh.pending {
		if now.After(w.call.Deadline) {
			s.answer(w, verdict{verdict: Unavailable})
			continue
		}
		kept = append(kept, w)
	}
	clear(sh.pending[len(kept):])
	sh.pending = kept
}

// advance starts the next platform call of a shard if there is need and room
// for one.
func (s *State) advance(now time.Time, sh *shard) {
	if sh.busy || len(sh.pending) == 0 || now.Before(sh.retryAt) {
		return
	}
	if sh.stale || sh.wantsFresh() {
		s.read(sh)
		return
	}
	if id := s.missing(now, sh); id != "" {
		sh.busy = true
		s.emit(ReadSegment{Shard: sh.id, ID: id})
		return
	}
	s.settle(now, sh)
	if sh.busy || len(sh.pending) == 0 || now.Before(sh.writeAt) || !s.writeDue(now, sh) {
		return
	}
	if !sh.home && !s.guest.take(now) {
		return
	}
	if !s.seal(now, sh) {
		s.write(now, sh)
	}
}

func (s *State) read(sh *shard) {
	sh.busy = true
	sh.began = s.steps
	s.emit(Read{Shard: sh.id})
}

// readEnded ends a read of the shard or of a segment and reports whether it
// brought something; if not, it is made again after a pause.
func (s *State) readEnded(now time.Time, sh *shard, result CallResult) bool {
	sh.busy = false
	if result != OK {
		sh.retryAt = s.after(now, sh.failures)
		sh.failures++
		return false
	}
	sh.failures = 0
	return true
}

func (s *State) readDone(now time.Time, ev ReadDone) {
	sh := s.shards[ev.Shard]
	if !s.readEnded(now, sh, ev.Result) {
		return
	}
	sh.stale = false
	sh.table = ev.Table
	sh.version = ev.Version
	sh.forget()
	sh.fresh = sh.began
	s.advance(now, sh)
}

// settle answers the calls that need no write. A call whose key an earlier
// waiting call may change has to wait for that one. That a result or a release
// needs no write is said only after a read begun since: the claim may have
// been written by another process, and forgetting its result would let the
// key run again.
func (s *State) settle(now time.Time, sh *shard) {
	dirty := map[claims.Key]bool{}
	kept := sh.pending[:0]
	for _, w := range sh.pending {
		v, change := s.decide(now, sh.lookup(w.call.Key), w.call)
		if change == nil && v.verdict == Done && sh.fresh < w.step {
			w.call.Fresh = true
			change = keep
		}
		if change == nil && !dirty[w.call.Key] {
			s.answer(w, v)
			continue
		}
		dirty[w.call.Key] = true
		kept = append(kept, w)
	}
	clear(sh.pending[len(kept):])
	sh.pending = kept
	if sh.wantsFresh() {
		s.read(sh)
	}
}
