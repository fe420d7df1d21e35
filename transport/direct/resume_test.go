package direct

import (
	"net"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/coordination/roster"
	"goldcrestport/protocol/crashreport"
	"goldcrestport/state/routing"
	"goldcrestport/transport/backend"
)

// twoVersions returns two servers of the version v1 and two of v2, so ordered that a request that
// does not go to the first one goes to one of v2.
func twoVersions(t testing.TB) []*streamServer {
	return []*streamServer{newStreamServer(t, "i-1", "v1"), newStreamServer(t, "i-2", "v2"), newStreamServer(t, "i-3", "v2"), newStreamServer(t, "i-4", "v1")}
}

// entriesOf returns the entries of the servers as they are.
func entriesOf(all []*streamServer) []roster.Server {
	var out []roster.Server
	for _, s := range all {
		out = append(out, s.entry(s.version))
	}
	return out
}

// Guards against a router that goes on with a stream at a server of another version, within one
// answer, though one of its version serves.
func TestAnAnswerGoesOnAtTheVersionOfItsFirstEvent(t *testing.T) {
	f := startResumeFleet(t, 1, entriesOf(twoVersions(t))...)
	got := f.try(0, pathBreaks, 0)
	f.goesOn(got, got, "within one answer")
	f.Check(got.versions, qt.HasLen, streamLength)
}

// Guards against the same where no server of the version is left: the caller gets a cut after the
// last whole event, so that it may come back.
func TestAnAnswerIsCutWhereItsVersionHasNoServerLeft(t *testing.T) {
	servers := twoVersions(t)[:3]
	f := startResumeFleet(t, 1, entriesOf(servers)...)
	got := f.try(0, pathBreaks, 0)
	f.isNotJoined(got, got, "within one answer")
	f.Check(got.versions, qt.HasLen, breakAt)
	f.Check(got.isWhole, qt.IsFalse)
}

// Guards against a further try of a resumed stream at another version, after a try that broke off
// before any event.
func TestAStreamKeepsItsVersionAfterATryWithoutEvents(t *testing.T) {
	servers := twoVersions(t)
	f := startResumeFleet(t, 1, entriesOf(servers)...)
	first := f.begin(0)
	for _, s := range servers {
		s.mu.Lock()
		s.endsEmpty = true
		s.mu.Unlock()
	}
	got := f.try(0, pathEmpty, 0, testLast, strconv.Itoa(breakAt), testResumes, first.id)
	f.isNotJoined(first, got, "after tries without events")
	for _, s := range servers[1:3] {
		f.Check(s.ran(), qt.Equals, 0, qt.Commentf("%s of %s", s.id, s.version))
	}
}

// Guards against a caller that comes back to the same router and gets events of another version.
func TestACallerThatComesBackGetsTheVersionThatBeganItsStream(t *testing.T) {
	f := startResumeFleet(t, 1, entriesOf(twoVersions(t))...)
	first := f.begin(0)
	f.Assert(f.occupy(0), qt.Equals, first.versions[0])
	f.goesOn(first, f.resume(0, first, breakAt), "at the same router")
}

// Guards against a caller that comes back to another router, which did not begin its stream: at
// once, after a while, and twice over three routers, naming its first attempt each time.
func TestACallerThatComesToAnotherRouterGetsTheVersionThatBeganItsStream(t *testing.T) {
	f := startResumeFleet(t, 3, entriesOf(twoVersions(t))...)
	for _, wait := range []time.Duration{0, 50 * time.Millisecond} {
		first := f.begin(0)
		f.occupy(1)
		time.Sleep(wait)
		f.goesOn(first, f.resume(1, first, breakAt), "at another router after "+wait.String())
	}
	first := f.begin(0)
	f.occupy(1)
	f.occupy(2)
	second := f.try(1, pathStream, 2, testLast, strconv.Itoa(breakAt), testResumes, first.id)
	f.isNotJoined(first, second, "the second try")
	f.Check(second.last, qt.Equals, breakAt+2)
	f.goesOn(first, f.resume(2, first, breakAt+2), "the third try")
}

// Guards against the same where the router that began the stream is gone.
func TestACallerGetsItsVersionThoughTheFirstRouterIsGone(t *testing.T) {
	f := startResumeFleet(t, 3, entriesOf(twoVersions(t))...)
	first := f.begin(0)
	f.occupy(1)
	f.routers[0].end()
	f.goesOn(first, f.resume(1, first, breakAt), "the first router is gone")
}

// Guards against a stream that goes on by chance where nobody knows any more which version began it.
// The refusal is true and says that coming back does not help.
func TestAStreamThatNobodyKnowsDoesNotGoOn(t *testing.T) {
	f := startResumeFleet(t, 3, entriesOf(twoVersions(t))...)
	first := f.begin(0)
	f.endAll()
	for n := range f.routers {
		f.again(n)
	}
	f.isRefused(f.resumeForGood(1, first, breakAt), false, "all routers began anew")
}

// Guards against the same where a router that may know does not answer: coming back may help.
func TestAStreamThatASilentRouterMayKnowIsRefusedForNow(t *testing.T) {
	f := startResumeFleet(t, 2, entriesOf(twoVersions(t))...)
	silent := mirror.Registration{Address: freeAddress(f.C)}
	f.routers[1].source.changes <- mirror.Delta{Revision: 2, Joined: map[string]mirror.Registration{"silent": silent}}
	f.routers[1].waitFor("the router is not known", func() bool { return f.routers[1].router.knownRevision() == 2 })
	begin := time.Now()
	got := f.try(1, pathStream, 0, testLast, strconv.Itoa(breakAt), testResumes, "unheard-of")
	f.isRefused(got, true, "a router is silent")
	f.Check(time.Since(begin) < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(begin)))
}

// Guards against a stream that goes on without its first attempt being named while several versions
// serve; where one version serves it goes on.
func TestAStreamWhoseFirstAttemptIsNotNamed(t *testing.T) {
	f := startResumeFleet(t, 1, entriesOf(twoVersions(t))...)
	f.isRefused(f.try(0, pathStream, 0, testLast, strconv.Itoa(breakAt)), false, "two versions serve")
	one := startResumeFleet(t, 1, entriesOf([]*streamServer{newStreamServer(t, "i-1", "v1"), newStreamServer(t, "i-2", "v1")})...)
	for range 10 {
		got := one.try(0, pathStream, 0, testLast, strconv.Itoa(breakAt))
		one.Check(got.isWhole, qt.IsTrue)
	}
}

// Guards against a stream that goes on at another version after its own has left the service, or
// while its only server leaves: it cannot go on anywhere.
func TestAStreamWhoseVersionLeftDoesNotGoOn(t *testing.T) {
	for name, leave := range map[string]func(f *resumeFleet, s *streamServer){
		"removed": func(f *resumeFleet, s *streamServer) {
			f.routers[0].source.changes <- mirror.Delta{Removed: []string{s.id}, Revision: f.routers[0].router.knownRevision() + 1}
			f.routers[0].waitFor("the server is still known", func() bool { _, known := f.routers[0].router.server(s.id); return !known })
		},
		"draining": func(f *resumeFleet, s *streamServer) {
			e := s.entry("v1")
			e.Draining = true
			f.write(e)
		},
	} {
		servers := twoVersions(t)[:3]
		f := startResumeFleet(t, 1, entriesOf(servers)...)
		first := f.begin(0)
		f.Assert(first.versions[0], qt.Equals, "v1")
		leave(f, servers[0])
		f.isRefused(f.resume(0, first, breakAt), false, name)
	}
}

// Guards against a server that starts again as another version under its id and address, while its
// entry does not say so yet: connections to it carry no stream of its former version on. Another
// server of that version does.
func TestAServerThatRestartedAsAnotherVersionUnderItsEntry(t *testing.T) {
	for _, routers := range []int{1, 3} {
		servers := []*streamServer{newStreamServer(t, "i-1", "v1"), newStreamServer(t, "i-2", "v1"), newStreamServer(t, "i-3", "v2")}
		entries := entriesOf(servers)
		// Requests go to the first server, as far as they may.
		entries[0].Slots = 800
		f := startResumeFleet(t, routers, entries...)
		time.Sleep(knowingTime)
		first := f.begin(0)
		f.Assert(first.versions[0], qt.Equals, "v1")
		servers[0].restartAs(t, "v2")
		for n := range f.routers {
			for range 4 {
				f.goesOn(first, f.resume(n, first, breakAt), "one of two servers restarted")
			}
		}
	}
}

// knowingTime is how long a router needs to know the processes behind the entries of servers.
const knowingTime = 600 * time.Millisecond

// Guards against the same while the store is away, so that no entry can say it, and where the
// router has no other sign of it: only connections that it had before may carry a stream on.
func TestNoNewConnectionCarriesAStreamOnWhileEntriesAreOld(t *testing.T) {
	servers := []*streamServer{newStreamServer(t, "i-1", "v1"), newStreamServer(t, "i-2", "v2")}
	f := startResumeFleet(t, 2, entriesOf(servers)...)
	time.Sleep(knowingTime)
	first := f.begin(0)
	f.Assert(first.versions[0], qt.Equals, "v1")
	for _, r := range f.routers {
		r.source.setDown(true)
	}
	time.Sleep(2500 * time.Millisecond)
	servers[0].restartAs(t, "v2")
	f.isNotJoined(first, f.resume(1, first, breakAt), "the store is away")
}

// Guards against a server of another version at the address of one that is gone: it does not run
// what was meant for the former.
func TestAnAddressTakenOverByAnotherVersion(t *testing.T) {
	servers := twoVersions(t)[:2]
	f := startResumeFleet(t, 1, entriesOf(servers)...)
	first := f.begin(0)
	f.Assert(first.versions[0], qt.Equals, "v1")
	servers[0].stop()
	other := &streamServer{id: "i-9", address: servers[0].address, version: "v2", conns: map[net.Conn]bool{}}
	other.start(t)
	t.Cleanup(other.stop)
	got := f.resume(0, first, breakAt)
	f.isNotJoined(first, got, "the address was taken over")
	f.Check(other.ran(), qt.Equals, 0)
}

// Guards against versions that appear while streams run that began when there was one only, go, and
// come back, and against three of them one after the other.
func TestAReleaseWhileStreamsRun(t *testing.T) {
	one := []*streamServer{newStreamServer(t, "i-1", "v1"), newStreamServer(t, "i-9", "v1")}
	f := startResumeFleet(t, 3, entriesOf(one)...)
	first := f.begin(0)
	second, third := newStreamServer(t, "i-2", "v2"), newStreamServer(t, "i-3", "v3")
	f.write(second.entry("v2"))
	time.Sleep(50 * time.Millisecond)
	for n := range f.routers {
		f.occupy(n)
	}
	f.goesOn(first, f.resume(1, first, breakAt), "a second version came")
	f.routers[0].end()
	f.goesOn(first, f.resume(2, first, breakAt), "and the first router is gone")
	f.routers = f.routers[1:]
	f.write(third.entry("v3"))
	f.goesOn(first, f.resume(0, first, breakAt), "a third version came")
	leaving := []roster.Server{one[0].entry("v1"), one[1].entry("v1")}
	leaving[0].Draining, leaving[1].Draining = true, true
	f.write(leaving...)
	f.isRefused(f.resume(0, first, breakAt), false, "the first version went")
	back := newStreamServer(t, "i-5", "v1")
	f.write(back.entry("v1"))
	f.goesOn(first, f.resume(1, first, breakAt), "the first version came back")
}

// Guards against a router that does not know of a second version yet, as it cannot reach the store,
// and takes the only one that it knows for that of any stream.
func TestARouterThatKnowsOneVersionOnlyAsksForTheStreams(t *testing.T) {
	servers := []*streamServer{newStreamServer(t, "i-2", "v1"), newStreamServer(t, "i-1", "v2")}
	f := startResumeFleet(t, 2, servers[0].entry("v1"))
	f.routers[1].source.setDown(true)
	// The other router cannot apply the second change without the first.
	f.routers[0].source.changes <- mirror.Delta{Revision: 5}
	f.routers[0].source.changes <- mirror.Delta{Servers: []roster.Server{servers[1].entry("v2")}, Revision: 6}
	f.routers[0].waitFor("the entry did not arrive", func() bool { _, known := f.routers[0].router.server("i-1"); return known })
	first := f.beginAt(0, "v2")
	f.isNotJoined(first, f.resume(1, first, breakAt), "the router knows one version only")
}

// Guards against a stream of a route that may not be resumed, which a caller resumes all the same.
func TestAStreamOfARouteThatMayNotBeResumed(t *testing.T) {
	f := startResumeFleet(t, 1, entriesOf(twoVersions(t))...)
	first := f.try(0, pathOnce, breakAt)
	f.Assert(first.versions, qt.HasLen, breakAt)
	f.Assert(f.occupy(0), qt.Equals, first.versions[0])
	got := f.try(0, pathOnce, 0, testLast, strconv.Itoa(breakAt), testResumes, first.id)
	f.isNotJoined(first, got, "a route that may not be resumed")
}

// Guards against a stream that goes on at another service, where a route is split between two: what
// their servers write does not fit together either, though their versions bear one name.
func TestAStreamGoesOnAtItsService(t *testing.T) {
	servers := []*streamServer{newStreamServer(t, "i-1", "v1"), newStreamServer(t, "i-2", "v1")}
	entries := entriesOf(servers)
	entries[1].Service = "other"
	f := startResumeFleet(t, 1, entries...)
	c := testConfig(2)
	for i := range c.Routes {
		c.Routes[i].Targets = append(c.Routes[i].Targets, routing.Target{Service: "other", Weight: 1})
	}
	f.routers[0].source.changes <- mirror.Delta{Config: c, Revision: 2}
	f.routers[0].waitFor("the configuration is not in force", func() bool { return f.routers[0].router.table.Load().Version() == 2 })
	for range 10 {
		before := servers[0].ran()
		first := f.begin(0)
		beganAt := 1
		if servers[0].ran() > before {
			beganAt = 0
		}
		ran := servers[beganAt].ran()
		f.resume(0, first, breakAt)
		f.Check(servers[beganAt].ran(), qt.Equals, ran+1, qt.Commentf("the stream began at %s", servers[beganAt].id))
	}
}

// Guards against a stream that goes on at the only version that is left, after all routers began anew
// while its own left: none of them knows that there was another one.
func TestAStreamWhoseVersionLeftWhileAllRoutersBeganAnew(t *testing.T) {
	servers := twoVersions(t)[:3]
	f := startResumeFleet(t, 2, servers[0].entry("v1"))
	first := f.begin(0)
	f.Assert(first.versions[0], qt.Equals, "v1")
	f.write(entriesOf(servers[1:])...)
	for _, r := range f.routers {
		r.source.mu.Lock()
		r.source.now.Servers = entriesOf(servers[1:])
		r.source.mu.Unlock()
	}
	f.waitStored("app")
	for n := range f.routers {
		f.routers[n].end()
	}
	for n := range f.routers {
		f.again(n)
	}
	f.isNotJoined(first, f.resume(1, first, breakAt), "all routers began anew")
}

// Guards against a server that starts again under its id and address as the first of its version,
// where no router has a connection to it that would end: its entry says the former version.
func TestAnIdleServerThatRestartsAsTheFirstOfItsVersion(t *testing.T) {
	servers := []*streamServer{newStreamServer(t, "i-1", "v1"), newStreamServer(t, "i-2", "v1")}
	entries := entriesOf(servers)
	entries[0].Slots = 800
	f := startResumeFleet(t, 2, entries...)
	time.Sleep(knowingTime)
	first := f.begin(0)
	servers[0].restartAs(t, "v2")
	f.isNotJoined(first, f.resume(1, first, breakAt), "the first server of its version")
}

// Guards against a request that was placed when its server was of one version, and is sent when its
// entry says another, as by a router that was frozen in between: its stream would be recorded as of
// the former.
func TestAPlacedRequestIsNotSentAfterItsServersVersionChanged(t *testing.T) {
	server := newStreamServer(t, "i-1", "v1")
	f := startResumeFleet(t, 1, server.entry("v1"))
	r := f.routers[0].router
	r.mu.Lock()
	placed := r.admission.Place(time.Now(), admission.Request{Service: "app"})
	r.mu.Unlock()
	before, known := r.server("i-1")
	f.Assert(known, qt.IsTrue)
	f.Check(r.mayBegin(placed.Run, before), qt.IsNil)
	f.write(server.entry("v2"))
	f.Check(r.mayBegin(placed.Run, before), qt.Equals, errServerGone)
}

// Guards against a router that begins after a server has restarted as another version, and takes the
// entry of the former process for that of the one that it connects to: others saw that one end, and
// say so.
func TestARouterThatBeganAfterACrashLearnsOfIt(t *testing.T) {
	server := newStreamServer(t, "i-1", "v1")
	r := startResumeFleet(t, 1, server.entry("v1")).routers[0].router
	qt.Check(t, r.pool.Offers("i-1", backend.VouchedFor), qt.IsTrue)
	report := quarantine.Report{Crashes: []quarantine.CrashReport{{Server: "i-1", Age: 100 * time.Millisecond}, {Server: "i-9"}}}
	qt.Assert(t, r.receiveReport(crashreport.Append(nil, "r9", report)), qt.IsNil)
	qt.Check(t, r.pool.Offers("i-1", backend.VouchedFor), qt.IsFalse)
	qt.Check(t, r.pool.Offers("i-1", backend.NoSuspect), qt.IsFalse)
}
