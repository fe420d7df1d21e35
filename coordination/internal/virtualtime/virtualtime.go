// Package virtualtime is a discrete-event scheduler for simulations: it runs events in the
// order of their times, so that one process simulates a fleet of hundreds of processes,
// and repeats the same run each time.
//
// The package is pure: it has no I/O, clock or goroutines. Tests of decision packages use
// it.
package virtualtime

import (
	"container/heap"
	"time"
)

// Queue is a queue of scheduled events. The zero value starts at the zero time.
type Queue struct {
	// Now is the current simulated time.
	Now    time.Time
	events eventHeap
	seq    uint64
}

// At schedules run for the given time. Events of the same time run in the order in which
// they were scheduled.
func (q *Queue) At(at time.Time, run func()) {
	q.seq++
	heap.Push(&q.events, event{at, q.seq, run})
}

// After schedules run for d after the current simulated time.
func (q *Queue) After(d time.Duration, run func()) { q.At(q.Now.Add(d), run) }

// RunUntil runs all events up to and including end, then sets Now to end.
func (q *Queue) RunUntil(end time.Time) {
	for len(q.events) > 0 && !q.events[0].at.After(end) {
		next := heap.Pop(&q.events).(event)
		q.Now = next.at
		next.run()
	}
	q.Now = end
}

// event is one scheduled call.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
