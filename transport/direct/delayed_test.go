package direct

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/roster"
	"goldcrestport/standin/relay"
)

// healTime is the time in which delayed bytes arrive once the link works again.
const healTime = 300 * time.Millisecond

// behindLink puts a relay before the backend server and returns the server as routers know it.
func behindLink(t *testing.T, b *backendServer) (*relay.Relay, *backendServer) {
	link, err := relay.Listen("127.0.0.1:0", b.address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(link.Close)
	return link, &backendServer{id: b.id, address: link.Addr()}
}

// sendHeld sends a request whose bytes the link to its server delays.
func sendHeld(f *fixture, link *relay.Relay, path string) <-chan reply {
	f.Assert(f.call(path, "before", testLeft, "3000").status, qt.Equals, http.StatusOK)
	link.Hold()
	got := make(chan reply, 1)
	go func() { got <- f.call(path, "held", testLeft, "3000") }()
	time.Sleep(100 * time.Millisecond)
	return got
}

// Guards against a request that reaches a server after its shutdown: the link to the server
// delayed it, acknowledged, and the server's entry was removed from the store before it
// answered. A request that may be retried must go to another server instead, within the time
// in which draining servers may receive any.
func TestAnAttemptAtAServerThatShutsDownIsRetriedElsewhere(t *testing.T) {
	leaving, other := newBackend(t, "i-1", ok), newBackend(t, "i-2", ok)
	link, known := behindLink(t, leaving)
	f := start(t, testConfig(1), known)
	got := sendHeld(f, link, "/safe/")
	f.source.changes <- mirror.Delta{Servers: servers(other), Revision: 2}
	f.source.changes <- mirror.Delta{Servers: []roster.Server{{ID: "i-1", Address: known.address, Service: "app", Slots: 8, Draining: true}}, Revision: 3}
	r := <-got
	qt.Check(t, r.status, qt.Equals, http.StatusOK)
	qt.Check(t, other.runs(), qt.Contains, "held")
	link.Heal()
	time.Sleep(healTime)
	qt.Check(t, leaving.runs(), qt.Not(qt.Contains), "held")
}

// Guards against the same fault with a resumed stream: the link to the server that was to
// continue it delayed the request, and that server shut down. A third one continues it.
func TestAResumedStreamDoesNotReachAServerThatShutDown(t *testing.T) {
	goOn := make(chan struct{})
	first := newBackend(t, "i-1", func(w io.Writer, _ *http.Request) bool {
		answerPlan{framing: byChunks, body: eventsText(1, 3), noEnd: true}.send(w)
		<-goOn
		return false
	})
	leaving, third := newBackend(t, "i-2", continueStream), newBackend(t, "i-3", continueStream)
	link, known := behindLink(t, leaving)
	f := start(t, testConfig(1), first)
	got := make(chan reply, 1)
	go func() { got <- f.call("/resume/", "held", testLeft, "3000") }()
	f.waitFor("the stream has begun", func() bool { return len(first.runs()) == 1 })
	link.Hold()
	f.source.changes <- mirror.Delta{Servers: servers(known), Removed: []string{"i-1"}, Revision: 2}
	f.waitFor("the second server is known", func() bool { return f.router.knownRevision() == 2 })
	close(goOn)
	time.Sleep(100 * time.Millisecond)
	f.source.changes <- mirror.Delta{Servers: servers(third), Revision: 3}
	f.source.changes <- mirror.Delta{Servers: []roster.Server{{ID: "i-2", Address: known.address, Service: "app", Slots: 8, Draining: true}}, Revision: 4}
	r := <-got
	qt.Check(t, r.err, qt.IsNil)
	qt.Check(t, r.body, qt.Equals, eventsText(1, streamEvents))
	qt.Check(t, third.runs(), qt.DeepEquals, []string{"held"})
	link.Heal()
	time.Sleep(healTime)
	qt.Check(t, leaving.runs(), qt.HasLen, 0)
}

// Guards against the same fault with a request that may run only once: it may not be sent
// elsewhere, so its caller learns that it may have run.
func TestARequestThatMayRunOnceDoesNotReachAServerThatShutDown(t *testing.T) {
	leaving := newBackend(t, "i-1", ok)
	link, known := behindLink(t, leaving)
	f := start(t, testConfig(1), known)
	got := sendHeld(f, link, "/once/")
	f.source.changes <- mirror.Delta{Removed: []string{"i-1"}, Revision: 2}
	r := <-got
	qt.Check(t, r.status, qt.Equals, http.StatusBadGateway)
	link.Heal()
	time.Sleep(healTime)
	qt.Check(t, leaving.runs(), qt.Not(qt.Contains), "held")
}

// Guards against a request that runs after the router that sent it has stopped: the link to
// the server delayed it, and the router closed its connection.
func TestAStoppingRouterLeavesNoRequestInFlight(t *testing.T) {
	server := newBackend(t, "i-1", ok)
	link, known := behindLink(t, server)
	f := start(t, testConfig(1), known)
	got := sendHeld(f, link, "/once/")
	f.end()
	<-got
	link.Heal()
	time.Sleep(healTime)
	qt.Check(t, server.runs(), qt.Not(qt.Contains), "held")
}

// Guards against a server that receives requests for a whole grace period after the router
// learned, late, that the store is back: the time for entries to come back counts from the
// store's answer.
func TestAGracePeriodStartsWithTheStoresAnswer(t *testing.T) {
	r := unservedRouter(newBackend(t, "i-1", ok))
	r.mu.Lock()
	defer r.mu.Unlock()
	now, late := time.Now(), 1900*time.Millisecond
	r.storeLostAt = bootTime() - 4*time.Second
	r.roster.StoreLost()
	r.storeAnswersOthers(bootTime() - late)
	r.apply(r.roster.Replace(now, nil))
	r.apply(r.roster.Tick(now.Add(roster.DefaultConfig().ReturnGrace - late + 10*time.Millisecond)))
	qt.Check(t, r.servers, qt.HasLen, 0)
}

// Guards against a request to a server that has shut down while its router, which is not late,
// had no information newer than the bound on draining servers: the store is available, and
// only its answer is late. The caller is refused at once and retries.
func TestStaleInformationSendsNothing(t *testing.T) {
	server := newBackend(t, "i-1", ok)
	r := unservedRouter(server)
	w := sendBy(r, 2100*time.Millisecond)
	qt.Check(t, server.runs(), qt.HasLen, 0)
	qt.Check(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, w.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
}

// Guards against a refusal of the first request after an idle period: the information became
// too old while there was nothing to send, and the store answers within milliseconds.
func TestTheFirstRequestAfterAnIdlePeriodWaitsForTheStore(t *testing.T) {
	server := newBackend(t, "i-1", ok)
	r := unservedRouter(server)
	go func() {
		<-r.infoWanted
		time.Sleep(20 * time.Millisecond)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.fresh.Confirm(bootTime())
	}()
	w := sendBy(r, 2100*time.Millisecond)
	qt.Check(t, w.Code, qt.Equals, http.StatusOK)
	qt.Check(t, server.runs(), qt.HasLen, 1)
}
