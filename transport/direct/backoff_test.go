package direct

// What was seen: a backend server that had turned a router's request away and asked for
// 3 s without requests got 6 from that router in the time. How it came about: three
// engines of nine turned everything away for some seconds, and each router went on to ask
// each of them about once a second. What caused it: the time that a refusal names was not
// read, so that a server was left alone for 50 ms, doubled up to 1 s, and not even that
// after another answer of it began. What proved it: one router shows it alone, with
// refusals that name .8 s; read and kept apart from other answers, nothing is sent.

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

// shedding is a server that turns requests away and says for how long, while it does.
type shedding struct {
	after  time.Duration
	sound  atomic.Bool
	status int
	// notRun tells that it marks what it did not run.
	notRun bool
}

func (s *shedding) answer(w io.Writer, req *http.Request) bool {
	if s.sound.Load() {
		return slowly(w, req)
	}
	headers := fmt.Sprintf("%s: %d\r\n", testAfter, s.after.Milliseconds())
	if s.notRun {
		headers += testNotRun + ": 1\r\n"
	} else {
		headers += testMark + ": m\r\n"
	}
	return respond(w, req, s.status, headers, "")
}

// A server turns a request away and asks for .8 s without requests. It gets none in that
// time, whoever calls, though it looks idle, and whatever other answers of it begin
// meanwhile; it gets work again soon after.
func TestAServerThatAsksForNoRequestsGetsNone(t *testing.T) {
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
			f := start(t, testConfig(1), asks, newBackend(t, "i-2", slowly))
			// An answer that begins while the server wants nothing takes nothing back.
			go f.call("/stream/", "before")
			f.waitFor("the stream did not reach the server", func() bool { return len(asks.runs()) == 1 })
			f.callAtOnce(loadCallers)
			f.waitFor("the server was asked by nobody", func() bool { return len(asks.runs()) > 1 })
			time.Sleep(leavingBound)
			before := len(asks.runs())
			f.loadFor(after - 2*leavingBound)
			f.Check(len(asks.runs())-before, qt.Equals, 0)
			sheds.sound.Store(true)
			f.loadFor(after)
			f.Check(len(asks.runs()) > before, qt.IsTrue, qt.Commentf("the server gets no work"))
		})
	}
}

// callAtOnce sends so many requests at the same moment.
func (f *fixture) callAtOnce(n int) {
	for i := range n {
		go f.call("/safe/", fmt.Sprint("r", i))
	}
}

// All servers of a service want no requests: callers are refused at once, without a
// further try at any of them, and told when the first of them takes some again.
func TestAllServersThatAskForNoRequestsGetNone(t *testing.T) {
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
		f.Check(seconds >= left.Seconds() && seconds < left.Seconds()+.5, qt.IsTrue, qt.Commentf("come back in %v s, %v left", seconds, left))
	}
	f.Check(len(a.runs()) <= 1 && len(b.runs()) <= 1, qt.IsTrue, qt.Commentf("%d and %d runs", len(a.runs()), len(b.runs())))
}
