package direct

// A backend server that refused a router's request and requested a back-off of 3 s received 6
// requests from that router in that time. Three engines of nine refused everything for some
// seconds, and each router retried each of them about once a second. The cause was that the
// duration named in a refusal was not read: the server was left alone for only 50 ms, doubled
// up to 1 s, and not even that after another answer of it started. One router with refusals
// that name .8 s reproduces it; once the duration is read and kept apart from other answers,
// nothing is sent.

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// shedding is a server that refuses requests and names a back-off while it sheds load.
type shedding struct {
	after  time.Duration
	sound  atomic.Bool
	status int
	// notRun means that it marks requests that it did not run.
	notRun bool
	// refusedAt is when it refused its first request; nil before that.
	refusedAt atomic.Pointer[time.Time]
}

func (s *shedding) answer(w io.Writer, req *http.Request) bool {
	if s.sound.Load() {
		return respondSlowly(w, req)
	}
	now := time.Now()
	s.refusedAt.CompareAndSwap(nil, &now)
	headers := fmt.Sprintf("%s: %d\r\n", testAfter, s.after.Milliseconds())
	if s.notRun {
		headers += testNotRun + ": 1\r\n"
	} else {
		headers += testMark + ": m\r\n"
	}
	return respond(w, req, s.status, headers, "")
}

// A server refuses a request and requests a back-off of .8 s. It receives nothing in that
// time, whoever calls, although it looks idle and whatever other answers of it start
// meanwhile; it receives requests again soon after.
func TestAServerThatRequestsABackoffReceivesNothing(t *testing.T) {
	const after = 800 * time.Millisecond
	for name, notRun := range map[string]bool{"that did not run": true, "that may have run": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sheds := &shedding{after: after, status: http.StatusServiceUnavailable, notRun: notRun}
			asks := newBackend(t, "i-1", func(w io.Writer, req *http.Request) bool {
				if req.URL.Path == "/stream/" {
					time.Sleep(300 * time.Millisecond)
					return events(w, req, 3, 200*time.Millisecond, false)
				}
				return sheds.answer(w, req)
			})
			f := start(t, testConfig(1), asks, newBackend(t, "i-2", respondSlowly))
			// An answer that starts during the back-off does not end it.
			go f.call("/stream/", "before")
			f.waitFor("the stream did not reach the server", func() bool { return len(asks.runs()) == 1 })
			f.callAtOnce(loadCallers)
			f.waitFor("the server refused no request", func() bool { return sheds.refusedAt.Load() != nil })
			time.Sleep(leavingBound)
			before := len(asks.runs())
			// Later requests may be the probe after the back-off, also if the sleep was long.
			f.loadFor(time.Until(sheds.refusedAt.Load().Add(after - leavingBound)))
			f.Check(len(asks.runs())-before, qt.Equals, 0)
			sheds.sound.Store(true)
			f.loadFor(after)
			f.Check(len(asks.runs()) > before, qt.IsTrue, qt.Commentf("the server receives no requests"))
		})
	}
}

// callAtOnce sends n requests at the same time.
func (f *fixture) callAtOnce(n int) {
	for i := range n {
		go f.call("/safe/", fmt.Sprint("r", i))
	}
}

// All servers of a service request a back-off: callers are refused at once, without a further
// attempt at any server, and their Retry-After is when the first server accepts requests
// again.
func TestAllServersThatRequestABackoffReceiveNothing(t *testing.T) {
	long := &shedding{after: 2 * time.Second, status: http.StatusServiceUnavailable, notRun: true}
	short := &shedding{after: time.Second, status: http.StatusServiceUnavailable, notRun: true}
	a, b := newBackend(t, "i-1", long.answer), newBackend(t, "i-2", short.answer)
	f := start(t, testConfig(1), a, b)
	began := time.Now()
	for i := range 20 {
		got := f.call("/safe/", fmt.Sprint("r", i))
		left := time.Until(began.Add(short.after))
		f.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		f.Assert(err, qt.IsNil)
		f.Check(seconds >= left.Seconds() && seconds < left.Seconds()+.5, qt.IsTrue, qt.Commentf("Retry-After %v s, %v left", seconds, left))
	}
	f.Check(len(a.runs()) <= 1 && len(b.runs()) <= 1, qt.IsTrue, qt.Commentf("%d and %d runs", len(a.runs()), len(b.runs())))
}
