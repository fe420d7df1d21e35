package claims

// Fate is the state that a router reports for an attempt assigned to it.
type Fate uint8

const (
	// FateNotRun means that the attempt was not dispatched and never will be,
	// or that its result is already stored in the record.
	FateNotRun Fate = iota + 1
	// FateRunning means that the attempt may still be dispatched or is running.
	FateRunning
	// FateEnded means that the attempt ended with a known result.
	FateEnded
	// FateGone means that the process that executed the attempt no longer
	// exists.
	FateGone
)

// Attempts contains the attempts that this process may dispatch or has
// dispatched and whose result is not yet stored in the platform's service.
//
// Invariant (at most once): an attempt is in the table from before its claim is
// requested until its result is stored or it is certain that it will never be
// dispatched. So an attempt of this process that is not in the table may be
// replaced.
type Attempts struct {
	capacity int
	results  map[string]*Result
}

// NewAttempts returns a table with a capacity of maxAttempts.
func NewAttempts(maxAttempts int) *Attempts {
	return &Attempts{capacity: maxAttempts, results: map[string]*Result{}}
}

// Begin adds an attempt before its claim is requested. It returns false when
// the table is full; the caller must then reject the attempt.
func (a *Attempts) Begin(id string) bool {
	if len(a.results) >= a.capacity {
		return false
	}
	a.results[id] = nil
	return true
}

// End stores the result of an attempt until Forget is called.
func (a *Attempts) End(id string, r Result) { a.results[id] = &r }

// Forget removes an attempt that will never be dispatched or whose result is
// stored.
func (a *Attempts) Forget(id string) { delete(a.results, id) }

// Len returns the number of attempts in the table.
func (a *Attempts) Len() int { return len(a.results) }

// Fate returns the state of an attempt of this process, and its result if it has
// ended.
func (a *Attempts) Fate(id string) (Fate, *Result) {
	r, ok := a.results[id]
	switch {
	case !ok:
		return FateNotRun, nil
	case r == nil:
		return FateRunning, nil
	default:
		return FateEnded, r
	}
}
