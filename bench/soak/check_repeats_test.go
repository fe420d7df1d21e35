package soak

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/standin/backend"
)

// asking records a request for a plain service each 100 ms, and repeats of the first ones.
func asking(until, repeats, from int) *Record {
	r := NewRecord()
	for ms := 0; ms < until; ms += 100 {
		one := call(Safe, ms, ms+20)
		one.ID = fmt.Sprint("n", ms)
		r.Calls = append(r.Calls, one)
		r.Arrivals = append(r.Arrivals, backend.Arrival{Service: plainService, ID: one.ID, At: at(ms)})
	}
	for n := range repeats {
		r.Arrivals = append(r.Arrivals, backend.Arrival{Service: plainService, ID: "n0", At: at(from + n)})
	}
	return r
}

// Guards against a check that counts the requests of two windows for one, and lets twice the ratio
// pass: 100 requests in ten seconds allow 20 repeats, and 20 besides.
func TestRepeatsAreCountedByTheBusiestWindow(t *testing.T) {
	qt.Check(t, tooManyRepeats(asking(40_000, 40, 15_000)), qt.HasLen, 0)
	found := tooManyRepeats(asking(40_000, 41, 15_000))
	qt.Assert(t, found, qt.HasLen, 1)
	qt.Check(t, found[0], qt.Contains, "41 repeats of 100 requests")
	// The window before counts where it had more.
	qt.Check(t, tooManyRepeats(asking(10_000, 40, 10_000)), qt.HasLen, 0)
}

// Guards against an alarm while a run goes on whose last requests have not ended, and against a breach
// that is found at the end only.
func TestRepeatsAreJudgedOnceAllRequestsHaveEnded(t *testing.T) {
	r := asking(40_000, 41, 15_000)
	r.Until = at(15_000).Add(repeatSpan)
	qt.Check(t, tooManyRepeats(r), qt.HasLen, 0)
	r.Until = at(15_100).Add(repeatSpan + longestCall)
	qt.Check(t, tooManyRepeats(r), qt.HasLen, 1)
}
