// Package callerbody reads the bodies of callers' requests into memory that is charged to one budget of the
// process. The decisions are those of coordination/bodybudget.
//
// It is used by direct routers and by routers with sidecars.
package callerbody

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/bodybudget"
)

// ErrFull means that the memory for bodies cannot be had, or that a body was ended for others.
var ErrFull = errors.New("the memory for request bodies is used up")

// ErrTooLarge means that a body exceeds its limit.
var ErrTooLarge = errors.New("the body is too large")

// Budget is the memory of all bodies in the process. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	state *bodybudget.State
	// waiting is the number of bodies that wait for others to end; changed is closed and replaced when one of
	// those was closed or must end.
	waiting int
	changed chan struct{}
	// onUsed is told the bytes in use after each change.
	onUsed func(bytes int64)
}

// NewBudget returns an empty budget of the limit in bytes. The config must be valid. onUsed is called with the
// bytes in use after each change, one call at a time; it must not block.
func NewBudget(cfg bodybudget.Config, limit int64, onUsed func(bytes int64)) *Budget {
	return &Budget{state: bodybudget.New(cfg, limit), changed: make(chan struct{}), onUsed: onUsed}
}

// SetLimit changes the limit.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.SetLimit(limit)
}

// Stats is a reading of a budget.
type Stats struct {
	// Used and Limit are in bytes.
	Used, Limit int64
	// Bodies is the number of bodies in memory, Unfinished that of those that have not arrived whole.
	Bodies, Unfinished int
	// Refused counts refused requests for memory, Ended the bodies that were ended for others.
	Refused, Ended int64
}

// Stats returns the reading of now.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state
	return Stats{Used: s.Used(), Limit: s.Limit(), Bodies: s.Bodies(), Unfinished: s.Unfinished(), Refused: s.Refused(), Ended: s.Ended()}
}

// RetryAfter returns after what time a caller should come back whose body of the length was refused. The length
// is -1 if it is unknown.
func (b *Budget) RetryAfter(length int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Wait(time.Now(), max(length, firstStep))
}

// EndStalled ends up to n unfinished bodies of which nothing has arrived for the time, and returns their number.
func (b *Budget) EndStalled(n int, idle time.Duration) int {
	b.mu.Lock()
	ended := b.state.EndStalled(time.Now(), n, idle)
	b.notifyLocked()
	b.mu.Unlock()
	interrupt(ended)
	return len(ended)
}

// notifyLocked wakes the bodies that wait for memory.
func (b *Budget) notifyLocked() {
	if b.waiting == 0 {
		return
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// interrupt ends the reading of the bodies.
func interrupt(bodies []*bodybudget.Body) {
	for _, one := range bodies {
		one.Interrupt()
	}
}

// grow charges n more bytes to the body. It waits for bodies that end for it, at most for waitBound.
func (b *Budget) grow(body *bodybudget.Body, n int64) error {
	for {
		b.mu.Lock()
		verdict, ending := b.state.Grow(time.Now(), body, n)
		if len(ending) > 0 {
			// Some of them may wait themselves.
			b.notifyLocked()
		}
		if verdict == bodybudget.Waits {
			b.waiting++
		}
		changed := b.changed
		b.onUsed(b.state.Used())
		b.mu.Unlock()
		switch verdict {
		case bodybudget.Granted:
			return nil
		case bodybudget.Refused:
			return ErrFull
		}
		interrupt(ending)
		if !b.wait(changed) {
			return ErrFull
		}
	}
}

// wait waits until changed is closed. It returns false after waitBound.
func (b *Budget) wait(changed <-chan struct{}) bool {
	timer := time.NewTimer(waitBound)
	defer timer.Stop()
	defer func() {
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
	}()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	}
}

// waitBound is the longest wait for the memory of a body that is ending: its reading is interrupted at once.
const waitBound = time.Second

// shrink gives back n bytes of the body.
func (b *Budget) shrink(body *bodybudget.Body, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Shrink(time.Now(), body, n)
	b.onUsed(b.state.Used())
	b.notifyLocked()
}

// close gives back all of the body.
func (b *Budget) close(body *bodybudget.Body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Close(time.Now(), body)
	b.onUsed(b.state.Used())
	b.notifyLocked()
}
