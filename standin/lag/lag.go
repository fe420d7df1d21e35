// Package lag delays the visibility of changes, as the lists and reports of a real platform lag behind its state.
package lag

import (
	"sync"
	"time"
)

// Queue delays items by a fixed time. It is not safe for concurrent use.
type Queue[T any] struct {
	delay time.Duration
	items []delayedItem[T]
}

type delayedItem[T any] struct {
	due  time.Time
	item T
}

// NewQueue returns a queue that delays every item by delay.
func NewQueue[T any](delay time.Duration) *Queue[T] { return &Queue[T]{delay: delay} }

// Push appends an item, which is due after the queue's delay.
func (q *Queue[T]) Push(item T) {
	q.items = append(q.items, delayedItem[T]{time.Now().Add(q.delay), item})
}

// Due removes and returns the items that are due, oldest first.
func (q *Queue[T]) Due() []T {
	now, n := time.Now(), 0
	for n < len(q.items) && !q.items[n].due.After(now) {
		n++
	}
	if n == 0 {
		return nil
	}
	out := make([]T, n)
	for i := range out {
		out[i] = q.items[i].item
	}
	q.items = append(q.items[:0], q.items[n:]...)
	return out
}

// Value is a value whose changes become visible after a delay. It is safe for concurrent use.
type Value[T any] struct {
	mu      sync.Mutex
	delay   time.Duration
	queue   *Queue[T]
	visible T
}

// NewValue returns a value that reads as initial until the first change becomes visible.
func NewValue[T any](delay time.Duration, initial T) *Value[T] {
	return &Value[T]{delay: delay, queue: NewQueue[T](delay), visible: initial}
}

// Set changes the value; readers see the change after the delay.
func (v *Value[T]) Set(value T) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.queue.Push(value)
	v.applyDue()
}

// Get returns the visible value and the time as of which it was current.
func (v *Value[T]) Get() (T, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applyDue()
	return v.visible, time.Now().Add(-v.delay)
}

func (v *Value[T]) applyDue() {
	if due := v.queue.Due(); len(due) > 0 {
		v.visible = due[len(due)-1]
	}
}
