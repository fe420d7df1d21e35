package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// resumeEach records, from one time to another in milliseconds, a new stream each 100 ms and one that
// is taken up a little later, which goes on or is refused.
func resumeEach(r *Record, from, until int, goesOn bool) {
	for ms := from; ms < until; ms += 100 {
		first := call(Resumable, ms, ms+20)
		first.ID, first.Versions = fmt.Sprint("n", ms), []string{"v1"}
		next := call(Resumable, ms+30, ms+50)
		next.ID, next.Resumes, next.After, next.Router = fmt.Sprint("t", ms), first.ID, 4, 2
		if !goesOn {
			next.Status, next.Why = 421, "stream-lost (unknown)"
		}
		r.Calls = append(r.Calls, first, next)
	}
}

// twoServe returns a record in which two engines of v1 serve.
func twoServe() *Record {
	r := NewRecord()
	r.Routers = 3
	for _, id := range []string{"s1", "s2"} {
		r.Served = append(r.Served, Serving{Server: id, Version: "v1", From: at(-5000)})
	}
	return r
}

// Guards against streams that are lost for some seconds only, which the share of a whole run hides.
func TestLostStreamsAreFoundInAnyTenSeconds(t *testing.T) {
	r := twoServe()
	resumeEach(r, 0, 20_000, true)
	resumeEach(r, 20_000, 26_000, false)
	resumeEach(r, 26_000, 46_000, true)
	qt.Check(t, lostStreams(r), qt.HasLen, 0)
	found := lostInAnyWindow(r)
	qt.Assert(t, found, qt.HasLen, 1)
	qt.Check(t, found[0], qt.Contains, "from 16 to 26 s: 40 of 100 resumed streams went on, and 100 of 100 new ones began; lost: [t20000 at router 2: 421 stream-lost (unknown)")
}

// Guards against an alarm where nothing need go on: too few streams, one server only, routers that a
// failure has touched, new ones that do not begin either, a span that has not ended.
func TestWhatIsNoLossInTenSeconds(t *testing.T) {
	for name, spoil := range map[string]func(*Record){
		"one server":        func(r *Record) { r.Served = r.Served[:1] },
		"the router began":  func(r *Record) { r.Failures = []Failure{{Kind: kill, Router: 2, From: at(-100), Until: at(20_000)}} },
		"it has not ended":  func(r *Record) { r.Calls = r.Calls[:140] },
		"few were taken up": func(r *Record) { r.Calls = append(r.Calls[:22], call(Resumable, 19_000, 19_010)) },
		"new ones do not begin": func(r *Record) {
			for n := range r.Calls {
				switch {
				case n%6 == 1:
					r.Calls[n].Status = 200
				case n%4 == 0:
					r.Calls[n].Status = 503
				}
			}
		},
	} {
		r := twoServe()
		resumeEach(r, 0, 20_000, false)
		spoil(r)
		qt.Check(t, lostInAnyWindow(r), qt.HasLen, 0, qt.Commentf(name))
	}
}

// Guards against a breach that is told late, twice, or not at all: it is told at the first check after
// the span in which it came, as at the end of the run, with what the refusals said.
func TestABrokenPromiseIsToldWhileTheRunGoesOn(t *testing.T) {
	r := twoServe()
	resumeEach(r, 0, 20_000, true)
	resumeEach(r, 20_000, 46_000, false)
	var told []string
	now := 0
	live := liveChecks{broken: map[string]bool{}, tell: func(v Violation) { told = append(told, fmt.Sprint(now, " ", v)) }}
	for now = 1000; now <= 46_000; now += 1000 {
		live.ask(r.asOf(at(now)))
	}
	qt.Assert(t, told, qt.HasLen, 1)
	qt.Check(t, told[0], qt.Contains, "27000 a stream goes on at its software version, in any ten seconds: from 16 to 26 s: 40 of 100")
	qt.Check(t, lostInAnyWindow(r)[0], qt.Contains, "from 16 to 26 s: 40 of 100")
}

// Guards against a check of a running record that changes with it.
func TestARecordAsOfATimeStaysAsItIs(t *testing.T) {
	r := twoServe()
	resumeEach(r, 0, 1000, true)
	r.Began(run("s1", engineService, 0, 0))
	before := r.asOf(at(500))
	qt.Check(t, before.Calls, qt.HasLen, 10)
	r.Ended(run("s1", engineService, 0, 30))
	r.endsServing(&server{})
	qt.Check(t, before.Runs["r"][0].Ended, qt.Equals, at(0))
	qt.Check(t, before.Served[0].Until, qt.Equals, time.Time{})
}

// Guards against an excuse that the users' page does not give: all routers were killed beside an outage
// of the store, and callers come back when both are over.
func TestStreamsThatNobodyKnowsAreLost(t *testing.T) {
	r := twoServe()
	resumeEach(r, 0, 20_000, false)
	r.Failures = []Failure{{Kind: storeQuiet, Router: everyRouter, From: at(-9000), Until: at(-8000)}}
	for n := range r.Calls {
		if r.Calls[n].Resumes == "" {
			r.Calls[n].Sent, r.Calls[n].Ended = at(-8800), at(-8700)
		}
	}
	for n := range r.Routers {
		r.Failures = append(r.Failures, Failure{Kind: kill, Router: n, From: at(-8100), Until: at(-7000)})
	}
	for n := 0; n < 200; n++ {
		fresh := call(Resumable, n*100, n*100+20)
		fresh.ID, fresh.Versions = fmt.Sprint("f", n), []string{"v1"}
		r.Calls = append(r.Calls, fresh)
	}
	slices.SortFunc(r.Calls, func(a, b Call) int { return a.Ended.Compare(b.Ended) })
	qt.Check(t, lostInAnyWindow(r), qt.Not(qt.HasLen), 0)
}
