package dispatch

import (
	"container/heap"
	"time"
)

// deadlineHeap is a min-heap of the queued requests that have a deadline, so
// that expiring one costs O(log n).
type deadlineHeap struct {
	entries []*entry
	// index maps each entry to its position in entries.
	index map[*entry]int
}

// Len implements heap.Interface.
func (d *deadlineHeap) Len() int { return len(d.entries) }

// Less implements heap.Interface.
func (d *deadlineHeap) Less(i, j int) bool {
	return d.entries[i].req.Deadline.Before(d.entries[j].req.Deadline)
}

// Swap implements heap.Interface.
func (d *deadlineHeap) Swap(i, j int) {
	d.entries[i], d.entries[j] = d.entries[j], d.entries[i]
	d.index[d.entries[i]], d.index[d.entries[j]] = i, j
}

// Push implements heap.Interface.
func (d *deadlineHeap) Push(x any) {
	e := x.(*entry) // only add calls heap.Push
	d.index[e] = len(d.entries)
	d.entries = append(d.entries, e)
}

// Pop implements heap.Interface.
func (d *deadlineHeap) Pop() any {
	last := len(d.entries) - 1
	e := d.entries[last]
	d.entries[last] = nil
	d.entries = d.entries[:last]
	delete(d.index, e)
	return e
}

func (d *deadlineHeap) add(e *entry) {
	if e.req.Deadline.IsZero() {
		return
	}
	if d.index == nil {
		d.index = map[*entry]int{}
	}
	heap.Push(d, e)
}

func (d *deadlineHeap) remove(e *entry) {
	if i, ok := d.index[e]; ok {
		heap.Remove(d, i)
	}
}

// expired returns an entry whose deadline has been reached, or nil.
func (d *deadlineHeap) expired(now time.Time) *entry {
	if len(d.entries) == 0 || now.Before(d.entries[0].req.Deadline) {
		return nil
	}
	return d.entries[0]
}

// expire refuses every queued request whose deadline has been reached. It runs
// before each event is applied, so that no expired request is sent.
func (s *State) expire(now time.Time) {
	for e := s.deadlines.expired(now); e != nil; e = s.deadlines.expired(now) {
		s.refuse(now, s.pool(e.req.Service).queue(s, e.req.Team), e, DeadlinePassed)
	}
}
