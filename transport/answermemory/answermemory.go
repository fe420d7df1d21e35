// Package answermemory charges the parts of answers that wait to be relayed to the budget of the process, which
// coordination/answerbudget decides.
//
// It is used by transport/backend and transport/direct.
package answermemory

import (
	"sync"

	"goldcrestport/coordination/answerbudget"
)

// Budget is the budget of one process. It may be used concurrently. A nil budget grants everything.
type Budget struct {
	mu    sync.Mutex
	state *answerbudget.State
}

// New returns the budget of a process of so much memory, in bytes.
func New(processMemory int64) *Budget {
	return &Budget{state: answerbudget.New(answerbudget.LimitOf(processMemory))}
}

// SetMemory changes the memory of the process, in bytes.
func (b *Budget) SetMemory(processMemory int64) { b.SetLimit(answerbudget.LimitOf(processMemory)) }

// SetLimit changes the limit of the budget, in bytes.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.SetLimit(limit)
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Used()
}

// Refused returns how often more was refused.
func (b *Budget) Refused() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Refused()
}

// Hold is what one answer holds. It must not be used concurrently; the zero value holds nothing, of no budget.
type Hold struct {
	budget *Budget
	held   int64
}

// Hold returns a hold of nothing.
func (b *Budget) Hold() Hold { return Hold{budget: b} }

// Resize asks for so many bytes in all, and reports whether the answer may hold them. Fewer bytes are always granted.
func (h *Hold) Resize(bytes int64) bool {
	if h.budget != nil && bytes != h.held {
		h.budget.mu.Lock()
		defer h.budget.mu.Unlock()
		if !h.budget.state.Resize(h.held, bytes) {
			return false
		}
	}
	h.held = bytes
	return true
}

// Held returns the bytes that are held.
func (h *Hold) Held() int64 { return h.held }

// Release gives back what is held.
func (h *Hold) Release() { h.Resize(0) }
