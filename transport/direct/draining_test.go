package direct

// A backend server received requests 11.6 s after a router had relayed an answer of it that
// announced its shutdown. The store answered no router for 13 s, so the server's entry could
// not be updated; its last entry, which said that it is ready, counted all the time and for
// 2 s more. The cause was that what an answer says about its server was not read; only the
// store's entries could end the use of a server. In these tests, which have no network delays,
// late routers or entries that are read again, none of nine ways to announce a shutdown had an
// effect before; since announcements are read at the one place where answers arrive, all have.

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

// leavingBound is the time after an answer that announces its server's shutdown from which the
// router sends that server nothing.
const leavingBound = 100 * time.Millisecond

// leavingHead is what a draining server adds to the heads of its answers.
const leavingHead = testLeaves + ": 1\r\n"

// answering returns a server's answer function with the status and headers.
func answering(status int, headers string) func(io.Writer, *http.Request) bool {
	return func(w io.Writer, req *http.Request) bool {
		return respond(w, req, status, leavingHead+headers, "hello")
	}
}

// streaming answers with the head of a stream that outlasts the test.
func streaming(w io.Writer, _ *http.Request) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: m\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", testMark, leavingHead)
	time.Sleep(3 * time.Second)
	return false
}

// breakingOff breaks its answer off after the head.
func breakingOff(w io.Writer, req *http.Request) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: m\r\n%sContent-Length: 50\r\n\r\nsome", testID, req.Header.Get(testID), testMark, leavingHead)
	return false
}

// answeringTwice answers correctly, and then announces the shutdown in a second answer, where the
// answer to the next request is expected.
func answeringTwice(w io.Writer, req *http.Request) bool {
	ok(w, req)
	time.Sleep(20 * time.Millisecond)
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: another\r\n%s: m\r\n%sContent-Length: 0\r\n\r\n", testID, testMark, leavingHead)
	return err == nil
}

// A server announces its shutdown in an answer while the store receives nothing. It must get
// no further request: not from callers, not by retries, not after the store is back with the
// entry as it was, and not after that entry lapsed and came back.
func TestAServerThatAnnouncesItsShutdownReceivesNothing(t *testing.T) {
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
		"a second answer":       {"/safe/", answeringTwice},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			leaves, stays := newBackend(t, "i-1", tc.way), newBackend(t, "i-2", respondSlowly)
			f := start(t, testConfig(1), leaves, stays)
			f.source.setDown(true)
			go f.call(tc.path, "first")
			f.waitFor("the draining server received no request", func() bool { return len(leaves.runs()) > 0 })
			if name == "a second answer" {
				// It is read before the answer to the next request.
				f.call(tc.path, "second")
			}
			time.Sleep(leavingBound)
			before := len(leaves.runs())
			f.loadFor(300 * time.Millisecond)
			f.source.setDown(false)
			f.source.changes <- mirror.Delta{Servers: servers(leaves), Revision: 2}
			f.waitFor("the entry did not come", func() bool { return f.router.knownRevision() == 2 })
			f.loadFor(200 * time.Millisecond)
			f.source.changes <- mirror.Delta{Removed: []string{"i-1"}, Revision: 3}
			f.source.changes <- mirror.Delta{Servers: servers(leaves), Revision: 4}
			f.waitFor("the entry did not come back", func() bool { return f.router.knownRevision() == 4 })
			f.loadFor(200 * time.Millisecond)
			f.Check(len(leaves.runs())-before, qt.Equals, 0)
		})
	}
}

// loadCallers is the number of callers of loadFor: more than keep one server busier than
// another that has a stream open.
const loadCallers = 4

// loadFor sends requests of several callers for the time, all of which must be served.
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

// respondSlowly answers correctly after a few milliseconds.
func respondSlowly(w io.Writer, req *http.Request) bool {
	time.Sleep(5 * time.Millisecond)
	return ok(w, req)
}

// The announcement concerns only the process that made it: a later one under its id receives
// requests, also at its address.
func TestALaterIncarnationOfADrainedServerReceivesRequests(t *testing.T) {
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

// A router that has sent the server nothing learns of the shutdown from the one that did,
// through their regular gossip.
func TestOtherRoutersLearnThatAServerDrains(t *testing.T) {
	leaves, stays := newBackend(t, "i-1", answering(http.StatusOK, testMark+": m\r\n")), newBackend(t, "i-2", respondSlowly)
	first, second := startPeer(t, "first", testConfig(1), leaves, stays), startPeer(t, "second", testConfig(1), leaves, stays)
	first.source.setDown(true)
	second.source.setDown(true)
	first.registerPeer(second)
	second.registerPeer(first)
	first.Check(first.call("/safe/", "r1").status, qt.Equals, http.StatusOK)
	second.waitFor("the other router did not receive it", func() bool { return !second.knows("i-1", 0) })
	second.loadFor(leavingBound)
	second.Check(leaves.runs(), qt.HasLen, 1)
}

// A request was placed at a server, and while its connection is opened another answer
// announces the server's shutdown: the request is not sent.
func TestAPlacedRequestIsNotSentToADrainingServer(t *testing.T) {
	server := newBackend(t, "i-1", ok)
	r := currentRouter(server)
	c := &call{r: r, table: r.table.Load(), service: "app", req: httptest.NewRequest(http.MethodPost, "/safe/", http.NoBody)}
	c.route = c.table.Route("h", "/safe/")
	d := c.placeRequest()
	one, _ := r.server("i-1")
	qt.Check(t, r.mayBegin(d.Run, one), qt.IsNil)
	c.applyAnnouncement(one, Reply{Leaving: true})
	qt.Check(t, r.mayBegin(d.Run, one), qt.ErrorIs, errServerGone)
}

// Another server has the address and announces its shutdown and a back-off: that says nothing
// about the intended server.
func TestAnotherServersAnnouncementDoesNotConcernTheIntendedServer(t *testing.T) {
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
	f.waitFor("the intended server receives no requests", func() bool { return f.call("/safe/", "r2").status == http.StatusOK })
}

// A server ends after it announced its shutdown: that is no crash, and no request that ran
// there gets a strike.
func TestTheEndOfADrainingServerIsNoCrash(t *testing.T) {
	for _, said := range []bool{false, true} {
		server := newBackend(t, "i-1", ok)
		r := unservedRouter(server)
		one, _ := r.server("i-1")
		if said {
			(&call{r: r}).applyAnnouncement(one, Reply{Leaving: true})
		}
		r.serverCrashed(one)
		want := int64(1)
		if said {
			want = 0
		}
		qt.Check(t, r.metrics.crashes.Value(), qt.Equals, want)
	}
}
