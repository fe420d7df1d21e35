package attempts

import (
	"container/list"
	"time"
)

// ID names one attempt of one request.
type ID struct {
	Request string
	Number  uint32
}

// Phase is how far an attempt came.
type Phase int

const (
	// Unsure means that the table cannot tell, since it may have forgotten
	// the attempt or has no room to block it.
	Unsure Phase = iota
	// Unseen means that the attempt is not in the table and was not blocked.
	Unseen
	// Offered means that the attempt waits for a slot.
	Offered
	// Declined means that the attempt was not run and will not be run.
	Declined
	// Blocked means that the attempt was asked about before it was seen, and
	// that it will not be run.
	Blocked
	// Running means that the attempt runs.
	Running
	// Ended means that the attempt ran and ended.
	Ended
)

// Fate is the table's answer about an attempt.
type Fate struct {
	Phase Phase
	// AnswerKept tells whether the answer of an ended attempt is still there.
	AnswerKept bool
}

// record is what is known of one attempt.
type record struct {
	id      ID
	phase   Phase
	offered time.Time
	closed  time.Time
	// bytes of the kept answer, or noAnswer.
	bytes int64
}

const noAnswer = -1

// Table is the table. It must be used by one goroutine at a time.
//
// Invariant: an attempt that was offered at a time after the horizon is in
// the table. So an attempt that was sent after the horizon and is not in the
// table was never offered. The source is DESIGN's "only what is proven may be
// called not-run".
type Table struct {
	cfg     Config
	records map[ID]*record
	// blocked, known and answers hold *record, the oldest first.
	blocked *list.List
	known   *list.List
	answers *list.List
	bytes   int64
	horizon time.Time
}

// New returns an empty table. The config must be valid.
func New(cfg Config) *Table {
	return &Table{
		cfg:     cfg,
		records: map[ID]*record{},
		blocked: list.New(),
		known:   list.New(),
		answers: list.New(),
	}
}

// Len returns the number of attempts in the table.
func (t *Table) Len() int { return len(t.records) }

// AnswerBytes returns the bytes of the kept answers of ended attempts.
func (t *Table) AnswerBytes() int64 { return t.bytes }

// Offer adds an attempt. It returns Unseen if the attempt is new, and the
// phase of the attempt if it is known; then it must not be run.
func (t *Table) Offer(now time.Time, id ID) Phase {
	t.forget(now)
	if r := t.records[id]; r != nil {
		return r.phase
	}
	t.records[id] = &record{id: id, phase: Offered, offered: now, bytes: noAnswer}
	return Unseen
}

// Start moves an offered attempt to running. It returns false if the attempt
// was declined meanwhile; then it must not be run.
func (t *Table) Start(id ID) bool {
	r := t.records[id]
	if r == nil || r.phase != Offered {
		return false
	}
	r.phase = Running
	return true
}

// Decline moves an offered attempt to declined. It returns false if the
// attempt was not offered any more.
func (t *Table) Decline(now time.Time, id ID) bool {
	r := t.records[id]
	if r == nil || r.phase != Offered {
		return false
	}
	t.close(now, r, Declined)
	return true
}

// End moves a running attempt to ended, with the size of its answer. It
// returns the attempts whose answers must be dropped now.
func (t *Table) End(now time.Time, id ID, bytes int64) []ID {
	r := t.records[id]
	if r == nil || r.phase != Running {
		return nil
	}
	t.close(now, r, Ended)
	r.bytes = bytes
	t.bytes += bytes
	t.answers.PushBack(r)
	return t.Expire(now)
}

// Release tells that the answer of an ended attempt is not needed any more.
// It returns false if the answer was not kept.
func (t *Table) Release(id ID) bool {
	r := t.records[id]
	if r == nil || r.bytes == noAnswer {
		return false
	}
	for e := t.answers.Front(); e != nil; e = e.Next() {
		if e.Value.(*record) == r {
			t.answers.Remove(e)
			break
		}
	}
	t.drop(r)
	return true
}

// Settle tells the fate of an attempt that was sent at most age ago. One that
// still waits is declined, and one that was never offered is blocked, so that
// neither will run.
func (t *Table) Settle(now time.Time, id ID, age time.Duration) Fate {
	t.forget(now)
	r := t.records[id]
	switch {
	case r == nil:
		return t.block(now, id, age)
	case r.phase == Offered:
		t.close(now, r, Declined)
	}
	return Fate{Phase: r.phase, AnswerKept: r.bytes != noAnswer}
}

// Peek tells the fate of an attempt and changes nothing.
func (t *Table) Peek(id ID) Fate {
	r := t.records[id]
	if r == nil {
		return Fate{Phase: Unseen}
	}
	return Fate{Phase: r.phase, AnswerKept: r.bytes != noAnswer}
}

func (t *Table) block(now time.Time, id ID, age time.Duration) Fate {
	if !now.Add(-age).After(t.horizon) || t.blocked.Len() >= t.cfg.MaxBlocked {
		return Fate{Phase: Unsure}
	}
	r := &record{id: id, phase: Blocked, closed: now, bytes: noAnswer}
	t.records[id] = r
	t.blocked.PushBack(r)
	return Fate{Phase: Blocked}
}

func (t *Table) close(now time.Time, r *record, p Phase) {
	r.phase = p
	r.closed = now
	t.known.PushBack(r)
}

// Expire returns the attempts whose answers are kept no longer: they are too
// old, or too many bytes are kept.
func (t *Table) Expire(now time.Time) []ID {
	var out []ID
	for e := t.answers.Front(); e != nil; e = t.answers.Front() {
		r := e.Value.(*record)
		if t.bytes <= t.cfg.AnswerBytes && now.Sub(r.closed) < t.cfg.AnswerFor {
			break
		}
		t.answers.Remove(e)
		t.drop(r)
		out = append(out, r.id)
	}
	return out
}

func (t *Table) drop(r *record) {
	t.bytes -= r.bytes
	r.bytes = noAnswer
}

// forget removes what is too old, or too much, and moves the horizon.
func (t *Table) forget(now time.Time) {
	for e := t.blocked.Front(); e != nil; e = t.blocked.Front() {
		r := e.Value.(*record)
		if now.Sub(r.closed) < t.cfg.BlockFor {
			break
		}
		t.blocked.Remove(e)
		delete(t.records, r.id)
	}
	for e := t.known.Front(); e != nil; e = t.known.Front() {
		r := e.Value.(*record)
		if t.known.Len() <= t.cfg.MaxKnown && now.Sub(r.closed) < t.cfg.KnownFor {
			break
		}
		if r.bytes != noAnswer {
			t.Release(r.id)
		}
		t.known.Remove(e)
		delete(t.records, r.id)
		if r.offered.After(t.horizon) {
			t.horizon = r.offered
		}
	}
}
