// Package answerbudget decides how much memory backend servers can make a router hold: parts of answers that wait
// to be relayed.
//
// It answers this pattern: servers in trouble send heads, bodies or events that do not end, on many connections at
// once, or their answers go to callers that read slowly. What is held of each answer is bounded; the sum is not. So
// what exceeds the first kilobytes of an answer is charged to one budget before it is kept. An answer that gets none
// is relayed as it comes, or cut off where that cannot be; none waits for another.
//
// A State performs no I/O. It must be used by one goroutine at a time; transport/answermemory drives it. Direct routers
// use it.
package answerbudget

// Share is the part of the process's memory that the budget may have, and MinLimit the least that it has, in bytes.
const (
	Share    = 0.1
	MinLimit = 1 << 20
)

// LimitOf returns the limit of the budget of a process of so much memory, in bytes.
func LimitOf(processMemory int64) int64 { return max(int64(Share*float64(processMemory)), MinLimit) }

// State is the budget of one process.
type State struct {
	limit, used int64
	// refused counts how often more was refused.
	refused int64
}

// New returns a budget of the limit in bytes.
func New(limit int64) *State { return &State{limit: limit} }

// SetLimit changes the limit. What is held stays held.
func (s *State) SetLimit(limit int64) { s.limit = limit }

// Used returns the bytes that are held.
func (s *State) Used() int64 { return s.used }

// Refused returns how often more was refused.
func (s *State) Refused() int64 { return s.refused }

// Resize asks for so many bytes in all for an answer that holds some, and reports whether it may hold them. Fewer
// bytes are always granted.
func (s *State) Resize(held, bytes int64) bool {
	more := bytes - held
	if more > 0 && s.used+more > s.limit {
		s.refused++
		return false
	}
	s.used += more
	return true
}
