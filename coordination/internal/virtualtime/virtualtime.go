// Package virtualtime runs what happens in a model in the order of its times, so that
// a fleet of hundreds of processes is played in one, alike each time.
//
// The package is pure. Tests of decisions use it.
package virtualtime

import (
	"container/heap"
	"time"
)

// Queue holds what is to happen. The zero value begins at the zero time.
type Queue struct {
	// Now is the time of what happens at present.
	Now    time.Time
	events events
	order  uint64
}

// At lets something happen at the time; things of one time happen as they were asked for.
func (q *Queue) At(at time.Time, do func()) {
	q.order++
	heap.Push(&q.events, event{at, q.order, do})
}

// After lets something happen later by the duration.
func (q *Queue) After(d time.Duration, do func()) { q.At(q.Now.Add(d), do) }

// RunUntil lets happen all that comes until the end, which is the time then.
func (q *Queue) RunUntil(end time.Time) {
	for len(q.events) > 0 && !q.events[0].at.After(end) {
		next := heap.Pop(&q.events).(event)
		q.Now = next.at
		next.do()
	}
	q.Now = end
}

// event is something that is to happen.
type event struct {
	at    time.Time
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
