package direct

// One caller's request was sent again and again to any router, and each backend server crashed
// some ten milliseconds after starting it: 16 engines in 12 s, with everything that ran there.
// The first three crashes could not be prevented; from the fourth on the fleet could have
// known the cause. Each attempt was new to the router that received it, no router remembered
// under which requests servers had crashed, and none informed the others. Log lines with the
// fingerprint of a request showed the same one at every server that crashed, with sent=1, so
// that no router's retry spread it; no other fingerprint ran on more than two of them.

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/coordination/roster"
	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/settings"
)

// A request under which three servers crashed is sent at most three times more, counted from
// when connected routers have had time to receive the reports.
const (
	confirmingCrashes = 3
	furtherSends      = 3
	reportDelay       = 3 * time.Second
)

// crashBody is the body of the request that crashes each server that starts it.
const crashBody = "crash"

// harmlessBody is the body of a request that any server runs without fault; the servers
// distinguish the two by their lengths.
const harmlessBody = "no crash"

// crashWay simulates how a server crashes under the request. It returns when the server is
// gone.
type crashWay func(w io.Writer, req *http.Request)

// afterTheHead: the answer starts, and no event follows.
func afterTheHead(w io.Writer, _ *http.Request) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: m\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", testMark)
	time.Sleep(20 * time.Millisecond)
}

// atOnce: the server crashes before it sends anything.
func atOnce(io.Writer, *http.Request) { time.Sleep(10 * time.Millisecond) }

// inTheMiddle: the answer breaks off after two events.
func inTheMiddle(w io.Writer, req *http.Request) {
	events(w, req, 2, 10*time.Millisecond, true)
}

// inABody: an answer of a known length breaks off.
func inABody(w io.Writer, req *http.Request) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: m\r\nContent-Length: 50\r\n\r\nsome", testMark)
	time.Sleep(10 * time.Millisecond)
}

// afterTheAnswer: the answer is whole, and then the server crashes.
func afterTheAnswer(w io.Writer, req *http.Request) {
	ok(w, req)
	time.Sleep(20 * time.Millisecond)
}

// connectionEndsFirst: the request's connection ends shortly before the process does.
func connectionEndsFirst(w io.Writer, req *http.Request) {
	inTheMiddle(w, req)
	_ = w.(net.Conn).Close()
	time.Sleep(5 * time.Millisecond)
}

// fleet is a number of connected routers with backend servers that can crash.
type fleet struct {
	t       *testing.T
	routers []*fixture
	way     crashWay
	// down is how long a crashed server is unavailable.
	down time.Duration

	mu       sync.Mutex
	revision uint64
	crashes  []time.Time
	arrivals []time.Time
}

// crashable is one incarnation of a server that can crash.
type crashable struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	gone     bool
}

func (c *crashable) hold(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	return !c.gone
}

// crash ends the server with all its connections. It reports whether it was running.
func (c *crashable) crash() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return false
	}
	c.gone = true
	_ = c.listener.Close()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	return true
}

// startFleet runs the routers and the servers.
func startFleet(t *testing.T, routers, servers int, way crashWay) *fleet {
	f := &fleet{t: t, way: way, down: 400 * time.Millisecond, revision: 10}
	for i := range routers {
		f.routers = append(f.routers, startPeer(t, fmt.Sprintf("router-%d", i), testConfig(1)))
	}
	for _, one := range f.routers {
		for _, other := range f.routers {
			one.registerPeer(other)
		}
	}
	for _, one := range f.routers {
		f.shareStore(one)
	}
	for i := range servers {
		f.startServer(fmt.Sprintf("i-%d", i))
	}
	return f
}

// shareStore passes what the router writes to the store on to all routers of the fleet.
func (f *fleet) shareStore(router *fixture) {
	router.source.mu.Lock()
	defer router.source.mu.Unlock()
	router.source.wrote = func(d mirror.Delta) {
		f.mu.Lock()
		f.revision++
		d.Revision = f.revision
		all := slices.Clone(f.routers)
		f.mu.Unlock()
		for _, one := range all {
			one.source.release(d.ReleasedParts)
			one.router.update(d)
		}
	}
}

// add adds a router that starts later to the fleet.
func (f *fleet) add(late *fixture) {
	for _, one := range f.routers {
		one.registerPeer(late)
		late.registerPeer(one)
	}
	f.mu.Lock()
	f.routers = append(f.routers, late)
	f.mu.Unlock()
	f.shareStore(late)
}

// startServer starts a new incarnation of the server and registers it.
func (f *fleet) startServer(id string) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(f.t, err, qt.IsNil)
	c := &crashable{listener: lis}
	f.t.Cleanup(func() { c.crash() })
	b := &backendServer{id: id, address: lis.Addr().String()}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			if !c.hold(conn) {
				_ = conn.Close()
				return
			}
			go b.serve(conn, func(w io.Writer, req *http.Request) bool { return f.run(c, id, w, req) })
		}
	}()
	f.mu.Lock()
	f.revision++
	revision := f.revision
	f.mu.Unlock()
	known := roster.Server{ID: id, Incarnation: roster.Incarnation(time.Now().UnixMilli()), Address: b.address, Service: "app", Slots: 8}
	for _, one := range f.routers {
		one.router.update(mirror.Delta{Servers: []roster.Server{known}, Revision: revision})
	}
}

// run simulates a request at a server.
func (f *fleet) run(c *crashable, id string, w io.Writer, req *http.Request) bool {
	if req.ContentLength != int64(len(crashBody)) && !strings.Contains(req.Header.Get(testParts), crashPart) {
		return events(w, req, 4, 30*time.Millisecond, false)
	}
	f.mu.Lock()
	f.arrivals = append(f.arrivals, time.Now())
	f.mu.Unlock()
	f.way(w, req)
	if c.crash() {
		f.mu.Lock()
		f.crashes = append(f.crashes, time.Now())
		f.mu.Unlock()
		time.AfterFunc(f.down, func() { f.startServer(id) })
	}
	return false
}

// confirmedAt returns when three servers had crashed and the routers had time to receive the
// reports; zero before.
func (f *fleet) confirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < confirmingCrashes {
		return time.Time{}
	}
	return f.crashes[confirmingCrashes-1].Add(reportDelay)
}

// arrivalsAfter counts the arrivals after the given time.
func (f *fleet) arrivalsAfter(from time.Time) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.arrivals {
		if at.After(from) {
			n++
		}
	}
	return n
}

// count returns the number of arrivals.
func (f *fleet) count() int { return f.arrivalsAfter(time.Time{}) }

// sendRepeatedly sends the request to the routers in turn, as a new attempt each time, until
// the fleet has had time to quarantine it and for the given time longer. It returns the last
// answer.
func (f *fleet) sendRepeatedly(path string, every, longer time.Duration) (last reply) {
	for i := 0; ; i++ {
		if known := f.confirmedAt(); !known.IsZero() && time.Now().After(known.Add(longer)) {
			return last
		}
		if i > 2000 {
			f.t.Fatal("three servers never crashed")
		}
		last = f.routers[i%len(f.routers)].send(path, fmt.Sprintf("crash-%d", i), crashBody)
		time.Sleep(every)
	}
}

// A stream that crashes each server that starts it is sent again and again to three routers.
func TestARequestThatCrashesServersIsQuarantined(t *testing.T) {
	f := startFleet(t, 3, 6, afterTheHead)
	f.sendRepeatedly("/stream/a", 40*time.Millisecond, 1500*time.Millisecond)
	qt.Check(t, f.arrivalsAfter(f.confirmedAt()) <= furtherSends, qt.IsTrue, qt.Commentf("%d sends beyond the third crash, %d servers crashed", f.arrivalsAfter(f.confirmedAt()), len(f.crashes)))
}

// However the server crashes under it and whatever kind of request it is, its last attempts
// get a final answer that says that they have not run, at once and without a Retry-After;
// other requests running on the servers are served in the end.
func TestEveryKindOfRequestThatCrashesServersIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		way  crashWay
	}{
		"stream at once":            {"/stream/a", atOnce},
		"stream in the middle":      {"/stream/a", inTheMiddle},
		"resumable, in the middle":  {"/resume/a", inTheMiddle},
		"resumable, after the head": {"/resume/a", afterTheHead},
		"idempotent at once":        {"/safe/a", atOnce},
		"idempotent, in its body":   {"/safe/a", inABody},
		"idempotent, afterwards":    {"/safe/a", afterTheAnswer},
		"once, at once":             {"/once/a", atOnce},
		"once, afterwards":          {"/once/a", afterTheAnswer},
		// Guards against a crash that is missed because the server still accepted connections.
		"stream, its connection first":     {"/stream/a", connectionEndsFirst},
		"resumable, its connection first":  {"/resume/a", connectionEndsFirst},
		"idempotent, its connection first": {"/safe/a", connectionEndsFirst},
		"once, its connection first":       {"/once/a", connectionEndsFirst},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 3, 5, c.way)
			last := f.sendRepeatedly(c.path, 60*time.Millisecond, time.Second)
			qt.Check(t, f.arrivalsAfter(f.confirmedAt()) <= furtherSends, qt.IsTrue, qt.Commentf("%d sends beyond the third crash, %d servers crashed", f.arrivalsAfter(f.confirmedAt()), len(f.crashes)))
			qt.Check(t, last.status, qt.Equals, http.StatusBadRequest)
			qt.Check(t, last.header.Get("Retry-After"), qt.Equals, "")
			qt.Check(t, last.header.Get(outcome.Header), qt.Equals, string(outcome.NotRun))
			for i, router := range f.routers {
				qt.Check(t, router.send("/stream/b", fmt.Sprint("sound-", i), harmlessBody).status, qt.Equals, http.StatusOK)
			}
		})
	}
}

// Callers send copies to several routers at the same time, before any router has reports.
func TestConcurrentCopiesOfACrashingRequestAreQuarantined(t *testing.T) {
	f := startFleet(t, 3, 9, afterTheHead)
	send := func(round int) {
		var all sync.WaitGroup
		for i := range 2 * len(f.routers) {
			all.Go(func() {
				f.routers[i%len(f.routers)].send("/stream/a", fmt.Sprintf("copy-%d-%d", round, i), crashBody)
			})
		}
		all.Wait()
	}
	for round := 0; f.confirmedAt().IsZero(); round++ {
		send(round)
	}
	for round := range 4 {
		time.Sleep(time.Until(f.confirmedAt()))
		send(100 + round)
		time.Sleep(500 * time.Millisecond)
	}
	qt.Check(t, f.arrivalsAfter(f.confirmedAt()) <= furtherSends, qt.IsTrue, qt.Commentf("%d sends beyond the third crash, %d servers crashed", f.arrivalsAfter(f.confirmedAt()), len(f.crashes)))
}

// A router that starts after the crashes learns of them from the other routers, and an
// operator's release at one router clears the request at all of them.
func TestARouterThatStartsLaterLearnsRefusedRequests(t *testing.T) {
	f := startFleet(t, 2, 5, afterTheHead)
	f.sendRepeatedly("/stream/a", 40*time.Millisecond, 0)
	began := f.count()
	late := startPeer(t, "late", testConfig(1))
	f.add(late)
	late.waitFor("the later router did not receive the reports", func() bool { return late.router.inQuarantine((*quarantine.State).RefusedCount) == 1 })
	late.Check(late.send("/stream/a", "x", crashBody).status, qt.Equals, http.StatusBadRequest)
	late.Check(f.count(), qt.Equals, began)

	list := httptest.NewRecorder()
	late.router.metricsHandler().ServeHTTP(list, httptest.NewRequest(http.MethodGet, "/quarantine", nil))
	var entries []refusedRequest
	late.Assert(json.Unmarshal(list.Body.Bytes(), &entries), qt.IsNil)
	late.Assert(entries, qt.HasLen, 1)
	late.Check(len(entries[0].Crashes) >= confirmingCrashes, qt.IsTrue)
	kept := func() (all []quarantine.Entry) {
		for _, one := range f.routers {
			all = append(all, one.source.kept()...)
		}
		return all
	}
	late.waitFor("no router entered it in the store", func() bool { return len(kept()) == 1 })

	// All routers are lost; a new one reads the refused request from the store.
	alone := startWith(t, testConfig(1), func(_ *settings.Direct, s *testSource) { s.now.Refused = kept() })
	alone.waitFor("it was not read", func() bool { return alone.router.inQuarantine((*quarantine.State).RefusedCount) == 1 })
	alone.Check(alone.send("/stream/a", "y", crashBody).status, qt.Equals, http.StatusBadRequest)

	freed := httptest.NewRecorder()
	late.router.metricsHandler().ServeHTTP(freed, httptest.NewRequest(http.MethodDelete, "/quarantine/"+entries[0].Content, nil))
	late.Check(freed.Code, qt.Equals, http.StatusOK)
	for _, one := range f.routers {
		one.waitFor("it is still refused", func() bool { return one.router.inQuarantine((*quarantine.State).RefusedCount) == 0 })
	}
	late.waitFor("its entry is still in the store", func() bool { return len(kept()) == 0 })
}
