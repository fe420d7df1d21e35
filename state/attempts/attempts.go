package attempts

import (
	"container/list"
	"time"
)

// ID identifies one attempt of one request.
type ID struct {
	Request string
	Number  uint32
}

// Phase is the state of an attempt in its lifecycle.
type Phase int

const (
	// Unsure means that the state is unknown: the table may have evicted the
	// attempt, or has no room to block it.
	Unsure Phase = iota
	// Unseen means that the attempt is neither in the table nor blocked.
	Unseen
	// Offered means that the attempt is queued for a slot.
	Offered
	// Declined means that the attempt has not run and never will.
	Declined
	// Blocked means that a router queried the attempt before it arrived; it
	// will not run if it arrives later.
	Blocked
	// Running means that the attempt is in progress.
	Running
	// Ended means that the attempt ran to its end.
	Ended
)

// Fate is the result of a query for an attempt.
type Fate struct {
	Phase Phase
	// AnswerKept reports whether the answer of an ended attempt is still
	// retained.
	AnswerKept bool
}

// record is the state of one attempt.
type record struct {
	id      ID
	phase   Phase
	offered time.Time
	closed  time.Time
	// bytes is the size of the retained answer, or noAnswer.
	bytes int64
	// list is the list that contains the closed record, element its element there.
	list    *list.List
	element *list.Element
}

const noAnswer = -1

// Table is a bounded table of attempts. It is not safe for concurrent use.
//
// Invariant: every attempt that was offered after the horizon is in the table.
// So an attempt that was sent after the horizon and is not in the table was
// never offered. This follows the rule in DESIGN that an attempt may be reported
// as not run only if that is proven.
//
// A router that received "declined" or "blocked" for an attempt runs the request
// elsewhere, so the attempt must not run if it is offered again. Denied attempts
// are therefore not evicted to free space, unlike known ones.
type Table struct {
	cfg     Config
	records map[ID]*record
	// denied, known and answers contain *record, oldest first.
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

// AnswerBytes returns the total size of the retained answers in bytes.
func (t *Table) AnswerBytes() int64 { return t.bytes }

// Offer adds an attempt. It returns Unseen if the attempt is new. Otherwise it
// returns the current phase, and the caller must not run the attempt.
func (t *Table) Offer(now time.Time, id ID) Phase {
	t.evict(now)
	if r := t.records[id]; r != nil {
		return r.phase
	}
	t.records[id] = &record{id: id, phase: Offered, offered: now, bytes: noAnswer}
	return Unseen
}

// Start moves an offered attempt to Running. It returns false if the attempt
// was declined in the meantime; the caller must then not run it.
func (t *Table) Start(id ID) bool {
	r := t.records[id]
	if r == nil || r.phase != Offered {
		return false
	}
	r.phase = Running
	return true
}

// Decline moves an offered attempt to Declined. It returns false if the
// attempt is no longer in the Offered phase.
func (t *Table) Decline(now time.Time, id ID) bool {
	r := t.records[id]
	if r == nil || r.phase != Offered {
		return false
	}
	t.close(now, r, Declined)
	return true
}

// End moves a running attempt to Ended and records the size of its answer. It
// returns the attempts whose answers the caller must discard.
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

// Release discards the answer of an ended attempt once it is no longer needed.
// It returns false if the answer was not retained.
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
	t.discardAnswer(r)
	return true
}

// Settle returns the fate of an attempt that was sent at most age ago. It
// declines an attempt that is still queued and blocks one that was never
// offered, so that neither will run.
func (t *Table) Settle(now time.Time, id ID, age time.Duration) Fate {
	t.evict(now)
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

// Peek returns the fate of an attempt without changing the table.
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

// deny retains a record whose phase is about to be reported to a router, until
// the attempt can no longer be offered. It returns false if the list is full.
func (t *Table) deny(now time.Time, r *record) bool {
	if r.list == t.denied {
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

// move moves the record to the end of the list.
func (t *Table) move(r *record, to *list.List) {
	if r.list != nil {
		r.list.Remove(r.element)
	}
	r.list, r.element = to, to.PushBack(r)
}

// Expire discards the oldest answers that exceed the age limit or the byte
// limit, and returns their attempts.
func (t *Table) Expire(now time.Time) []ID {
	var out []ID
	for e := t.answers.Front(); e != nil; e = t.answers.Front() {
		r := e.Value.(*record)
		if t.bytes <= t.cfg.AnswerBytes && now.Sub(r.closed) < t.cfg.AnswerFor {
			break
		}
		t.answers.Remove(e)
		t.discardAnswer(r)
		out = append(out, r.id)
	}
	return out
}

// discardAnswer subtracts the size of the record's answer from the total.
func (t *Table) discardAnswer(r *record) {
	t.bytes -= r.bytes
	r.bytes = noAnswer
}

// evict removes expired records and records beyond the size limit, and advances
// the horizon.
func (t *Table) evict(now time.Time) {
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

// remove deletes a closed record and advances the horizon.
func (t *Table) remove(r *record) {
	if r.bytes != noAnswer {
		t.Release(r.id)
	}
	r.list.Remove(r.element)
	delete(t.records, r.id)
	if r.offered.After(t.horizon) {
		t.horizon = r.offered
	}
}
