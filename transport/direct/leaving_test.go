package direct

// What was seen: a backend server got requests 11.6 s after a router had passed on an
// answer of it that said that it leaves. How it came about: the store answered nobody
// for 13 s, so that the server's entry could not say so; its last entry, that it is
// ready, counted all the while and for 2 s more. What caused it: what an answer says of
// its server was not read; only the store's entries could end a server's use. What
// proved it: with nothing in its way, no late router and no entry read anew, each of nine
// ways to say it changed nothing here; read at the one place where answers arrive, all do.

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/roster"
	"goldcrestport/protocol/settings"
)

// leavingBound is the time after an answer that says that its server leaves from
// which the router sends that one nothing.
const leavingBound = 100 * time.Millisecond

// leavingHead is what a leaving server adds to the heads of its answers.
const leavingHead = testLeaves + ": 1\r\n"

// answering returns a server's way to answer with the status and headers.
func answering(status int, headers string) func(io.Writer, *http.Request) bool {
	return func(w io.Writer, req *http.Request) bool {
		return respond(w, req, status, leavingHead+headers, "hello")
	}
}

// streaming answers with the head of a stream that goes on for longer than the test.
func streaming(w io.Writer, _ *http.Request) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: m\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", testMark, leavingHead)
	time.Sleep(3 * time.Second)
	return false
}

// breakingOff ends its answer after the head.
func breakingOff(w io.Writer, req *http.Request) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: m\r\n%sContent-Length: 50\r\n\r\nsome", testID, req.Header.Get(testID), testMark, leavingHead)
	return false
}

// doubling answers soundly, and once more with the word that it leaves, where the
// answer to the next request is expected.
func doubling(w io.Writer, req *http.Request) bool {
	ok(w, req)
	time.Sleep(20 * time.Millisecond)
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: another\r\n%s: m\r\n%sContent-Length: 0\r\n\r\n", testID, testMark, leavingHead)
	return err == nil
}

// A server says in an answer that it leaves while the store is deaf. It gets nothing
// from then on: not from callers, not by repeats, not after the store is back with the
// entry as it was, and not after that entry lapsed and came back.
func TestAServerThatSaysThatItLeavesGetsNoMore(t *testing.T) {
	for name, tc := range map[string]struct {
		path string
		way  func(io.Writer, *http.Request) bool
	}{
		"a whole answer":        {"/safe/", answering(http.StatusOK, testMark+": m\r\n")},
		"one that runs once":    {"/once/", answering(http.StatusOK, testMark+": m\r\n")},
		"the head of a stream":  {"/stream/", streaming},
		"a refusal":             {"/safe/", answering(http.StatusServiceUnavailable, testNotRun+": 1\r\n")},
		"an error":              {"/safe/", answering(http.StatusInternalServerError, testMark+": m\r\n")},
		"a fault of the caller": {"/safe/", answering(http.StatusBadRequest, testMark+": m\r\n")},
		"one without its mark":  {"/safe/", answering(http.StatusOK, "")},
		"one that breaks off":   {"/safe/", breakingOff},
		"a second answer":       {"/safe/", doubling},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			leaves, stays := newBackend(t, "i-1", tc.way), newBackend(t, "i-2", slowly)
			f := start(t, testConfig(1), leaves, stays)
			f.source.setDown(true)
			go f.call(tc.path, "first")
			f.waitFor("the server that leaves got nothing", func() bool { return len(leaves.runs()) > 0 })
			if name == "a second answer" {
				// It is read before the answer to the next request.
				f.call(tc.path, "second")
			}
			time.Sleep(leavingBound)
			before := len(leaves.runs())
			f.loadFor(300 * time.Millisecond)
			f.source.setDown(false)
			f.source.changes <- mirror.Delta{Servers: servers(leaves), Revision: 2}
			f.waitFor("the entry did not come", func() bool { return f.router.known() == 2 })
			f.loadFor(200 * time.Millisecond)
			f.source.changes <- mirror.Delta{Removed: []string{"i-1"}, Revision: 3}
			f.source.changes <- mirror.Delta{Servers: servers(leaves), Revision: 4}
			f.waitFor("the entry did not come back", func() bool { return f.router.known() == 4 })
			f.loadFor(200 * time.Millisecond)
			f.Check(len(leaves.runs())-before, qt.Equals, 0)
		})
	}
}

// loadCallers is the number of callers of loadFor: more than what keeps one server
// busier than another that holds a stream.
const loadCallers = 4

// loadFor sends requests of some callers for the time, all of which must be served.
func (f *fixture) loadFor(d time.Duration) {
	f.Helper()
	var callers sync.WaitGroup
	for range loadCallers {
		callers.Go(func() {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				f.Check(f.call("/safe/", "r").status, qt.Equals, http.StatusOK)
			}
		})
	}
	callers.Wait()
}

// slowly answers well after a few milliseconds.
func slowly(w io.Writer, req *http.Request) bool {
	time.Sleep(5 * time.Millisecond)
	return ok(w, req)
}

// The word is of the process that said it: a later one under its id gets work, also at
// its address.
func TestALaterProcessOfAServerThatLeftGetsWork(t *testing.T) {
	var later atomic.Bool
	one := newBackend(t, "i-1", func(w io.Writer, req *http.Request) bool {
		if later.Load() {
			return ok(w, req)
		}
		return answering(http.StatusOK, testMark+": m\r\n")(w, req)
	})
	f := startWith(t, testConfig(1), func(_ *settings.Direct, s *testSource) {
		s.now.Servers = []roster.Server{incarnationOf(one, "i-1", 100)}
	})
	f.Check(f.call("/safe/", "r1").status, qt.Equals, http.StatusOK)
	f.Check(f.call("/safe/", "r2").status, qt.Equals, http.StatusServiceUnavailable)
	later.Store(true)
	f.source.changes <- mirror.Delta{Servers: []roster.Server{incarnationOf(one, "i-1", 200)}, Revision: 2}
	f.waitFor("the later process is not known", func() bool { return f.knows("i-1", 200) })
	f.Check(f.call("/safe/", "r3").status, qt.Equals, http.StatusOK)
}

// A router that has not asked the server hears from the one that did, with what they
// tell each other anyway.
func TestOtherRoutersHearThatAServerLeaves(t *testing.T) {
	leaves, stays := newBackend(t, "i-1", answering(http.StatusOK, testMark+": m\r\n")), newBackend(t, "i-2", slowly)
	first, second := startPeer(t, "first", testConfig(1), leaves, stays), startPeer(t, "second", testConfig(1), leaves, stays)
	first.source.setDown(true)
	second.source.setDown(true)
	first.meet(second)
	second.meet(first)
	first.Check(first.call("/safe/", "r1").status, qt.Equals, http.StatusOK)
	second.waitFor("the other router did not hear it", func() bool { return !second.knows("i-1", 0) })
	second.loadFor(leavingBound)
	second.Check(leaves.runs(), qt.HasLen, 1)
}

// A request was placed at a server, and while its connection is opened another answer
// says that the server leaves: it is not sent.
func TestWhatWasPlacedIsNotSentToAServerThatLeaves(t *testing.T) {
	server := newBackend(t, "i-1", ok)
	r := informed(server)
	c := &call{r: r, table: r.table.Load(), service: "app", req: httptest.NewRequest(http.MethodPost, "/safe/", http.NoBody)}
	c.route = c.table.Route("h", "/safe/")
	d := c.place()
	one, _ := r.server("i-1")
	qt.Check(t, r.mayBegin(d.Run, one), qt.IsNil)
	c.announced(one, Reply{Leaving: true})
	qt.Check(t, r.mayBegin(d.Run, one), qt.ErrorIs, errLeft)
}

// Another server has the address, and says that it leaves and wants nothing: that is
// nothing that the one which was meant said.
func TestAnotherServersWordSaysNothingOfTheOneThatWasMeant(t *testing.T) {
	var other atomic.Bool
	other.Store(true)
	b := newBackend(t, "i-1", func(w io.Writer, req *http.Request) bool {
		if other.Load() {
			return respond(w, req, http.StatusMisdirectedRequest, leavingHead+testAfter+": 60000\r\n", "")
		}
		return ok(w, req)
	})
	f := start(t, testConfig(1), b)
	f.Check(f.call("/safe/", "r1").status, qt.Equals, http.StatusServiceUnavailable)
	other.Store(false)
	f.waitFor("the server that was meant gets nothing", func() bool { return f.call("/safe/", "r2").status == http.StatusOK })
}

// A server ends after it said so: that is no crash, and nothing that ran there is blamed.
func TestTheEndOfAServerThatSaidThatItLeavesIsNoCrash(t *testing.T) {
	for _, said := range []bool{false, true} {
		server := newBackend(t, "i-1", ok)
		r := unserved(server)
		one, _ := r.server("i-1")
		if said {
			(&call{r: r}).announced(one, Reply{Leaving: true})
		}
		r.crashed(one)
		want := int64(1)
		if said {
			want = 0
		}
		qt.Check(t, r.metrics.crashes.Value(), qt.Equals, want)
	}
}
