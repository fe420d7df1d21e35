package claims

// Fate is what a router says of an attempt that it was to dispatch.
type Fate uint8

const (
	// FateNotRun means that the attempt was not dispatched and never will be,
	// or that its result is in the record already.
	FateNotRun Fate = iota + 1
	// FateRunning means that the attempt may be dispatched or runs.
	FateRunning
	// FateEnded means that the attempt ended and the result is known.
	FateEnded
	// FateGone means that the process that held the attempt is gone.
	FateGone
)

// Attempts holds the attempts that this process may dispatch, has dispatched,
// or whose result is not in the platform's service yet.
//
// Invariant (at most once): an attempt is here from before its claim is asked
// for until it is certain that it is never dispatched, or until its result is
// written. So an attempt of this process that is not here may be replaced.
type Attempts struct {
	max  int
	live map[string]*Result
}

// NewAttempts returns a table that holds at most so many attempts.
func NewAttempts(maxAttempts int) *Attempts {
	return &Attempts{max: maxAttempts, live: map[string]*Result{}}
}

// Begin adds an attempt before its claim is asked for. It returns false when
// the table is full; the attempt must then be refused.
func (a *Attempts) Begin(id string) bool {
	if len(a.live) >= a.max {
		return false
	}
	a.live[id] = nil
	return true
}

// End keeps the result until Forget.
func (a *Attempts) End(id string, r Result) { a.live[id] = &r }

// Forget drops an attempt that is never dispatched or whose result is
// written.
func (a *Attempts) Forget(id string) { delete(a.live, id) }

// Len returns the number of attempts held.
func (a *Attempts) Len() int { return len(a.live) }

// Fate returns what is known of an attempt of this process.
func (a *Attempts) Fate(id string) (Fate, *Result) {
	r, ok := a.live[id]
	switch {
	case !ok:
		return FateNotRun, nil
	case r == nil:
		return FateRunning, nil
	default:
		return FateEnded, r
	}
}
