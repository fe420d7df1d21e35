// Package lag delays what readers see, as lists and reports of a real platform lag behind the truth.
package lag

import (
	"sync"
	"time"
)

// Queue holds items back for a fixed time. It is not safe for concurrent use.
type Queue[T any] struct {
	delay time.Duration
	items []timed[T]
}

type timed[T any] struct {
	due  time.Time
	item T
}

// NewQueue returns a queue that holds every item back for delay.
func NewQueue[T any](delay time.Duration) *Queue[T] { return &Queue[T]{delay: delay} }

// Push adds an item.
func (q *Queue[T]) Push(item T) {
	q.items = append(q.items, timed[T]{time.Now().Add(q.delay), item})
}

// Due removes and returns the items whose time has come, the oldest first.
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

// Value is a value whose readers see the state of some time ago. It is safe for concurrent use.
type Value[T any] struct {
	mu    sync.Mutex
	delay time.Duration
	queue *Queue[T]
	seen  T
}

// NewValue returns a lagging value that shows initial until the first change is old enough.
func NewValue[T any](delay time.Duration, initial T) *Value[T] {
	return &Value[T]{delay: delay, queue: NewQueue[T](delay), seen: initial}
}

// Set changes the value.
func (v *Value[T]) Set(value T) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.queue.Push(value)
	v.settle()
}

// Get returns the value as it was some time ago, and that time.
func (v *Value[T]) Get() (T, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settle()
	return v.seen, time.Now().Add(-v.delay)
}

func (v *Value[T]) settle() {
	if due := v.queue.Due(); len(due) > 0 {
		v.seen = due[len(due)-1]
	}
}
