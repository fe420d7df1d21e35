package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// rowTries is the number of streams of a row, and rowTokens their length.
const (
	rowTries  = 20
	rowTokens = 60
)

// rowFleet is routers before two engines of each of two versions.
type rowFleet struct {
	*qt.C
	w *World
	// count numbers the attempts.
	count atomic.Int64
}

// startRowFleet starts three routers of one data centre.
func startRowFleet(t *testing.T) *rowFleet {
	return startRowFleetOf(t, Size{Routers: 3, Engines: 2, Plain: 1, Other: 1})
}

// startRowFleetOf starts a fleet of the size and two engines of the second version.
func startRowFleetOf(t *testing.T, size Size) *rowFleet {
	c := qt.New(t)
	w := startFleet(c, c.TempDir(), size)
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	w.balancer.watch(ctx, w.routers)
	for range 2 {
		c.Assert(w.startServer(engineService, "v2", "127.0.0.1:0"), qt.IsNil)
	}
	f := &rowFleet{C: c, w: w}
	for n := range w.routers {
		f.waitForVersions(n)
	}
	return f
}

// waitForVersions waits until the router knows the engines of the second version, and the processes
// behind all entries.
func (f *rowFleet) waitForVersions(n int) {
	f.Helper()
	f.Assert(f.w.fleet.WaitReady(context.Background(), f.w.routers[n].Process), qt.IsNil)
	time.Sleep(time.Second)
}

// ask sends one attempt at the router on a connection of its own. It is broken off in the middle if
// it breaks.
func (f *rowFleet) ask(n int, resumes string, after int, breaks bool) Call {
	count := f.count.Add(1)
	c := &caller{
		w: f.w, name: "row", random: rand.New(rand.NewPCG(uint64(count), 7)), router: n,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	call := Call{Kind: Resumable, Team: teamName(0), Body: fmt.Sprintf(`{"row":%d}`, count), Resumes: resumes, After: after, Broke: breaks}
	// The same parts would lead each attempt to the same engine.
	call.Parts = fmt.Sprintf("%x:900,%x:100", c.random.Uint64(), c.random.Uint64())
	call.ID, call.Key = fmt.Sprintf("row-%d", count), f.w.key(call.Team, false)
	ctx, cancel := context.WithTimeout(context.Background(), call.Kind.timeout())
	defer cancel()
	c.exchange(ctx, &call, rowTokens, f.w.routers[n].Addr)
	return call
}

// begin starts a stream at the router and breaks it off.
func (f *rowFleet) begin(n int) Call {
	f.Helper()
	got := f.ask(n, "", 0, true)
	f.Assert(got.Versions, qt.HasLen, 1, qt.Commentf("%+v", got))
	return got
}

// goesOn takes the stream up and checks that the rest comes from the version that began it.
func (f *rowFleet) goesOn(n int, first Call, after int, row string) {
	f.Helper()
	got := f.ask(n, first.ID, after, false)
	f.Check(got.Versions, qt.DeepEquals, first.Versions, qt.Commentf("%s: %+v", row, got))
	f.Check(got.Whole && got.Problem == "", qt.IsTrue, qt.Commentf("%s: %+v", row, got))
}

// Guards against streams that go on at another version than the one that began them, at real routers:
// the same one, another one at once and after 50 ms, and twice over three routers.
func TestStreamsThatAreTakenUpAtAnyRouter(t *testing.T) {
	t.Parallel()
	f := startRowFleet(t)
	for try := range rowTries {
		first := f.begin(try % 3)
		f.goesOn(try%3, first, first.Last, "the same router")
		first = f.begin(try % 3)
		f.goesOn((try+1)%3, first, first.Last, "another router, at once")
		first = f.begin(try % 3)
		time.Sleep(50 * time.Millisecond)
		f.goesOn((try+2)%3, first, first.Last, "another router, 50 ms later")
		first = f.begin(try % 3)
		second := f.ask((try+1)%3, first.ID, first.Last, true)
		f.Check(second.Versions, qt.DeepEquals, first.Versions)
		f.goesOn((try+2)%3, first, second.Last, "twice, over three routers")
	}
}

// Guards against the same after the first router was killed, which starts again and knows nothing;
// and after all were: streams that had been written to the store go on, and those that began just
// before the kill go on or their callers are told that they do not.
func TestStreamsThatAreTakenUpAfterAKill(t *testing.T) {
	t.Parallel()
	f := startRowFleet(t)
	for try := range 6 {
		n := try % 3
		streams := []Call{f.begin(n), f.begin(n), f.begin(n)}
		// The record of the last one needs some milliseconds to its owners.
		time.Sleep(20 * time.Millisecond)
		f.w.routers[n].Kill()
		for i, first := range streams {
			f.goesOn((n+1+i%2)%3, first, first.Last, "the first router was killed")
		}
		f.Assert(f.w.routers[n].Start(), qt.IsNil)
		f.waitForVersions(n)
	}
	written := []Call{f.begin(0), f.begin(1), f.begin(2)}
	time.Sleep(toldWithin)
	unwritten := []Call{f.begin(0), f.begin(1), f.begin(2)}
	for _, r := range f.w.routers {
		r.Kill()
	}
	for _, r := range f.w.routers {
		f.Assert(r.Start(), qt.IsNil)
	}
	for n := range f.w.routers {
		f.waitForVersions(n)
	}
	for n, first := range written {
		f.goesOn((n+1)%3, first, first.Last, "all routers were killed")
	}
	for n, first := range unwritten {
		got := f.ask(n, first.ID, first.Last, false)
		if got.Status == http.StatusOK {
			f.Check(got.Versions, qt.DeepEquals, first.Versions, qt.Commentf("%+v", got))
			f.Check(got.Whole && got.Problem == "", qt.IsTrue, qt.Commentf("%+v", got))
			continue
		}
		f.Check(got.Versions, qt.HasLen, 0, qt.Commentf("%+v", got))
		f.Check(got.Status == 421 || got.Status == 503, qt.IsTrue, qt.Commentf("%+v", got))
	}
}
