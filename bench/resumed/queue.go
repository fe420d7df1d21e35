package resumed

import (
	"container/heap"
	"time"
)

// queue runs events in the order of their times; those of one time in the order in which they were
// added.
type queue struct {
	now    time.Duration
	events eventHeap
	number uint64
}

// epoch is the wall time at which a play begins.
var epoch = time.Unix(1_600_000_000, 0)

// wall returns the present time for decisions that take one.
func (q *queue) wall() time.Time { return epoch.Add(q.now) }

func (q *queue) at(when time.Duration, run func()) {
	q.number++
	heap.Push(&q.events, event{max(when, q.now), q.number, run})
}

func (q *queue) after(d time.Duration, run func()) { q.at(q.now+d, run) }

// every runs the function now and again after each interval.
func (q *queue) every(interval time.Duration, run func()) {
	run()
	q.after(interval, func() { q.every(interval, run) })
}

func (q *queue) runUntil(end time.Duration) {
	for len(q.events) > 0 && q.events[0].when <= end {
		next := heap.Pop(&q.events).(event)
		q.now = next.when
		next.run()
	}
	q.now = end
}

type event struct {
	when   time.Duration
	number uint64
	run    func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].when < e[j].when || e[i].when == e[j].when && e[i].number < e[j].number
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	last := len(*e) - 1
	out := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return out
}
