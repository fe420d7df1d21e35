package dispatch

import (
	"container/heap"
	"time"
)

// deadlines orders the waiting requests that have a deadline, earliest first,
// so that expiry costs O(log n) however much waits.
type deadlines struct {
	entries []*entry
	at      map[*entry]int
}

// Len implements heap.Interface.
func (d *deadlines) Len() int { return len(d.entries) }

// Less implements heap.Interface.
func (d *deadlines) Less(i, j int) bool {
	return d.entries[i].req.Deadline.Before(d.entries[j].req.Deadline)
}

// Swap implements heap.Interface.
func (d *deadlines) Swap(i, j int) {
	d.entries[i], d.entries[j] = d.entries[j], d.entries[i]
	d.at[d.entries[i]], d.at[d.entries[j]] = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	e := x.(*entry) // only add pushes
	d.at[e] = len(d.entries)
	d.entries = append(d.entries, e)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(d.entries) - 1
	e := d.entries[last]
	d.entries[last] = nil
	d.entries = d.entries[:last]
	delete(d.at, e)
	return e
}

func (d *deadlines) add(e *entry) {
	if e.req.Deadline.IsZero() {
		return
	}
	if d.at == nil {
		d.at = map[*entry]int{}
	}
	heap.Push(d, e)
}

func (d *deadlines) remove(e *entry) {
	if i, ok := d.at[e]; ok {
		heap.Remove(d, i)
	}
}

// expired returns an entry whose deadline has come, or nil.
func (d *deadlines) expired(now time.Time) *entry {
	if len(d.entries) == 0 || now.Before(d.entries[0].req.Deadline) {
		return nil
	}
	return d.entries[0]
}

// expire refuses every waiting request whose deadline has come. It runs
// before each event, so none of them is sent.
func (s *State) expire(now time.Time) {
	for e := s.deadlines.expired(now); e != nil; e = s.deadlines.expired(now) {
		s.refuse(now, s.pool(e.req.Service).queue(s, e.req.Team), e, DeadlinePassed)
	}
}
