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
	// in is the list that holds the closed record, and at its place there.
	in *list.List
	at *list.Element
}

const noAnswer = -1

// Table is the table. It must be used by one goroutine at a time.
//
// Invariant: an attempt that was offered at a time after the horizon is in
// the table. So an attempt that was sent after the horizon and is not in the
// table was never offered. The source is DESIGN's "only what is proven may be
// called not-run".
//
// A router that was told that an attempt is declined or blocked runs the request
// elsewhere, so that attempt must not run when it is offered once more: denied
// attempts are not forgotten for room, as known ones are.
type Table struct {
	cfg     Config
	records map[ID]*record
	// denied, known and answers hold *record, the oldest first.
	denied  *list.List
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
		denied:  list.New(),
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
	if r.phase == Declined && !t.deny(now, r) {
		return Fate{Phase: Unsure}
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
	r := &record{id: id, phase: Blocked, bytes: noAnswer}
	if !now.Add(-age).After(t.horizon) || !t.deny(now, r) {
		return Fate{Phase: Unsure}
	}
	t.records[id] = r
	return Fate{Phase: Blocked}
}

// deny keeps a record that a router is about to be told of until the attempt
// cannot be offered any more. It returns false if there is no room for it.
func (t *Table) deny(now time.Time, r *record) bool {
	if r.in == t.denied {
		return true
	}
	if t.denied.Len() >= t.cfg.MaxBlocked {
		return false
	}
	r.closed = now
	t.move(r, t.denied)
	return true
}

func (t *Table) close(now time.Time, r *record, p Phase) {
	r.phase = p
	r.closed = now
	t.move(r, t.known)
}

// move puts the record at the end of the list.
func (t *Table) move(r *record, to *list.List) {
	if r.in != nil {
		r.in.Remove(r.at)
	}
	r.in, r.at = to, to.PushBack(r)
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
	for r := oldest(t.denied); r != nil && now.Sub(r.closed) >= t.cfg.BlockFor; r = oldest(t.denied) {
		t.remove(r)
	}
	for r := oldest(t.known); r != nil; r = oldest(t.known) {
		if t.known.Len() <= t.cfg.MaxKnown && now.Sub(r.closed) < t.cfg.KnownFor {
			break
		}
		t.remove(r)
	}
}

// oldest returns the first record of the list, or nil.
func oldest(l *list.List) *record {
	if e := l.Front(); e != nil {
		return e.Value.(*record)
	}
	return nil
}

// remove forgets a closed record.
func (t *Table) remove(r *record) {
	if r.bytes != noAnswer {
		t.Release(r.id)
	}
	r.in.Remove(r.at)
	delete(t.records, r.id)
	if r.offered.After(t.horizon) {
		t.horizon = r.offered
	}
}
