package direct

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/health"
	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/resumption"
	"goldcrestport/protocol/outcome"
	"goldcrestport/transport/backend"
)

// resumedLine returns the keys and values of the last line about the attempt that resumed a stream.
func (f *resumeFleet) resumedLine(got attempt) map[string]string {
	f.Helper()
	out := map[string]string{}
	for _, line := range strings.Split(f.lines.String(), "\n") {
		if !strings.Contains(line, "event=stream_resumed request="+got.id+" ") {
			continue
		}
		for _, field := range strings.Fields(line) {
			key, value, _ := strings.Cut(field, "=")
			out[key] = value
		}
	}
	f.Assert(len(out) > 0, qt.IsTrue, qt.Commentf("no line about %s:\n%s", got.id, f.lines.String()))
	return out
}

// readMetrics reads the router's metrics page.
func (f *resumeFleet) readMetrics(n int) map[string]json.RawMessage {
	f.Helper()
	w := httptest.NewRecorder()
	f.routers[n].router.metrics.vars.ServeHTTP(w, nil)
	var out map[string]json.RawMessage
	f.Assert(json.Unmarshal(w.Body.Bytes(), &out), qt.IsNil)
	return out
}

// countsOf reads the metric, whose values are counters or gauges by key, at the router.
func (f *resumeFleet) countsOf(n int, name string) map[string]float64 {
	f.Helper()
	var out map[string]float64
	f.Assert(json.Unmarshal(f.readMetrics(n)[name], &out), qt.IsNil)
	return out
}

// atDoor checks that the attempt met the door, by the line about it and by the counter of the router, and
// returns the line.
func (f *resumeFleet) atDoor(n int, got attempt, want resumption.Door) map[string]string {
	f.Helper()
	f.Check(got.versions, qt.HasLen, 0)
	line := f.resumedLine(got)
	f.Check(line["door"], qt.Equals, string(want))
	f.Check(line["route"], qt.Equals, "resume")
	f.Check(f.countsOf(n, "direct_streams_resumed_doors"), qt.DeepEquals, map[string]float64{string(want): 1})
	return line
}

// told lets the router know where streams began, as others told it.
func (f *resumeFleet) told(n int, records ...origin.Record) {
	o := f.routers[n].router.origins
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, one := range records {
		o.table.Told(time.Now(), "teller", one)
	}
}

// Guards against streams of which nobody counts whether they go on: the router that carries one on says
// so, beside the new streams of its route.
func TestAStreamThatWentOnIsCountedBesideNewOnes(t *testing.T) {
	f := startResumeFleet(t, 2, entriesOf(twoVersions(t))...)
	first := f.begin(0)
	f.goesOn(first, f.resume(1, first, breakAt), "at another router")
	second := f.begin(1)
	f.goesOn(second, f.resume(1, second, breakAt), "at the same router")
	f.resumeWith(1, "unheard-of", breakAt)
	f.Check(f.countsOf(1, "direct_streams_resumed_doors"), qt.DeepEquals, map[string]float64{"went-on": 2, "unknown": 1})
	page := f.readMetrics(1)
	f.Check(string(page["direct_streams_new_by_route"]), qt.JSONEquals, map[string]any{"resume": map[string]int{"came": 1, "began": 1}})
	f.Check(string(page["direct_streams_resumed_by_route"]), qt.JSONEquals, map[string]any{"resume": map[string]int{"came": 3, "went_on": 2}})
	f.Check(string(page["direct_streams_new_lately"]), qt.JSONEquals, map[string]any{"resume": map[string]int{"came": 1, "began": 1}})
	f.Check(string(page["direct_streams_resumed_lately"]), qt.JSONEquals, map[string]any{"resume": map[string]int{"came": 3, "went_on": 2}})
	quotient := f.countsOf(1, "direct_streams_resumed_quotient")["resume"]
	f.Check(quotient > .66 && quotient < .67, qt.IsTrue, qt.Commentf("%v", quotient))
}

// Guards against a line of a stream that was sent which does not say who knew it, and how many servers it
// could go to.
func TestTheLineOfAStreamThatIsSent(t *testing.T) {
	f := startResumeFleet(t, 1, entriesOf(twoVersions(t))...)
	time.Sleep(knowingTime)
	first := f.begin(0)
	got := f.resume(0, first, breakAt)
	f.goesOn(first, got, "at the same router")
	line := f.resumedLine(got)
	f.Check(line["door"], qt.Equals, "sent")
	f.Check(line["known_by"], qt.Equals, "r0")
	f.Check(line["servers"]+" "+line["servers_usable"], qt.Equals, "2 2")
	f.Check(line["uncertain"], qt.Equals, "false")
	f.Check(line["resumed_came"], qt.Equals, "1")
}

// Guards against a refusal that does not tell that all routers answered and none knows the stream.
func TestTheDoorOfAStreamThatNobodyKnows(t *testing.T) {
	f := startResumeFleet(t, 2, entriesOf(twoVersions(t))...)
	line := f.atDoor(1, f.resumeWith(1, "unheard-of", breakAt), resumption.Unknown)
	f.Check(line["asked"], qt.Equals, "1")
	f.Check(line["answered"], qt.Equals, "1")
	f.Check(line["servers"], qt.Equals, "4")
}

// Guards against a refusal that does not tell how many of the routers that were asked answered.
func TestTheDoorOfAStreamThatASilentRouterMayKnow(t *testing.T) {
	f := startResumeFleet(t, 2, entriesOf(twoVersions(t))...)
	f.joins(1, "silent", freeAddress(f.C))
	line := f.atDoor(1, f.resumeWith(1, "unheard-of", breakAt), resumption.Unanswered)
	f.Check(line["asked"], qt.Equals, "2")
	f.Check(line["answered"], qt.Equals, "1")
}

// Guards against refusals of streams that are doubted and of those of which routers know different
// origins, which look alike and have different causes; also where another router says so.
func TestTheDoorsOfUncertainStreams(t *testing.T) {
	v1, v2 := origin.Origin{Service: "app", Version: "v1"}, origin.Origin{Service: "app", Version: "v2"}
	id := origin.IDOf("named")
	for _, at := range []int{0, 1} {
		f := startResumeFleet(t, 2, entriesOf(twoVersions(t))...)
		f.told(0, origin.Record{ID: id, Origin: v1, Doubted: true})
		line := f.atDoor(at, f.resumeWith(at, "named", breakAt), resumption.Doubted)
		f.Check(line["uncertain"]+" "+line["conflicting"], qt.Equals, "true false")
		f.Check(line["began"]+" "+line["servers"], qt.Equals, "v1 2")
		f.Check(line["known_by"], qt.Equals, "teller")

		f = startResumeFleet(t, 2, entriesOf(twoVersions(t))...)
		f.told(0, origin.Record{ID: id, Origin: v1}, origin.Record{ID: id, Origin: v2})
		line = f.atDoor(at, f.resumeWith(at, "named", breakAt), resumption.Conflicting)
		f.Check(line["uncertain"]+" "+line["conflicting"], qt.Equals, "true true")
	}
}

// Guards against refusals that do not tell whether the version or the service of a stream is gone.
func TestTheDoorsOfStreamsWhoseServersLeft(t *testing.T) {
	servers := twoVersions(t)[:3]
	f := startResumeFleet(t, 1, entriesOf(servers)...)
	first := f.begin(0)
	f.routers[0].source.changes <- mirror.Delta{Removed: []string{servers[0].id}, Revision: f.routers[0].router.knownRevision() + 1}
	f.routers[0].waitFor("the server is still known", func() bool { _, known := f.routers[0].router.server(servers[0].id); return !known })
	line := f.atDoor(0, f.resume(0, first, breakAt), resumption.VersionGone)
	f.Check(line["servers"], qt.Equals, "0")

	f = startResumeFleet(t, 1, entriesOf(servers)...)
	f.told(0, origin.Record{ID: origin.IDOf("named"), Origin: origin.Origin{Service: "former", Version: "v1"}})
	f.atDoor(0, f.resumeWith(0, "named", breakAt), resumption.ServiceGone)
}

// Guards against a refusal that does not tell that servers of the version are there and that no
// connection to them is trusted.
func TestTheDoorOfAStreamWithoutATrustedConnection(t *testing.T) {
	servers := []*streamServer{newStreamServer(t, "i-1", "v1"), newStreamServer(t, "i-2", "v2")}
	f := startResumeFleet(t, 1, entriesOf(servers)...)
	time.Sleep(knowingTime)
	first := f.begin(0)
	f.Assert(first.versions[0], qt.Equals, "v1")
	f.routers[0].source.setDown(true)
	time.Sleep(2500 * time.Millisecond)
	servers[0].restartAs(t, "v1")
	line := f.atDoor(0, f.resume(0, first, breakAt), resumption.Untrusted)
	f.Check(line["servers"]+" "+line["servers_usable"]+" "+line["servers_trusted"], qt.Equals, "1 1 0")
}

// Guards against refusals by servers that look like servers that are not there: they cannot be reached,
// break off before any event, or asked for no requests.
func TestTheDoorsOfServersThatDoNotServe(t *testing.T) {
	servers := twoVersions(t)[:3]
	f := startResumeFleet(t, 1, entriesOf(servers)...)
	first := f.begin(0)
	servers[0].stop()
	f.atDoor(0, f.resume(0, first, breakAt), resumption.Untrusted)

	servers = twoVersions(t)[:3]
	f = startResumeFleet(t, 1, entriesOf(servers)...)
	first = f.begin(0)
	servers[0].mu.Lock()
	servers[0].endsEmpty = true
	servers[0].mu.Unlock()
	got := f.try(0, pathEmpty, 0, testLast, strconv.Itoa(breakAt), testResumes, first.id)
	f.atDoor(0, got, resumption.BrokeOff)

	servers = twoVersions(t)[:3]
	f = startResumeFleet(t, 1, entriesOf(servers)...)
	first = f.begin(0)
	f.backOff(0, "i-1")
	line := f.atDoor(0, f.resume(0, first, breakAt), resumption.Backoff)
	f.Check(line["servers"]+" "+line["servers_usable"], qt.Equals, "1 0")
}

// backOff lets the router know that the server asked for no requests for some seconds.
func (f *resumeFleet) backOff(n int, server string) {
	r := f.routers[n].router
	r.mu.Lock()
	defer r.mu.Unlock()
	for range 100 {
		d := r.admission.Place(time.Now(), admission.Request{Service: "app"})
		f.Assert(d.Run, qt.IsNotNil)
		if d.Server == server {
			r.admission.BackoffRequested(time.Now(), d.Run, 5*time.Second)
			r.admission.Ended(time.Now(), d.Run, health.NoResult)
			return
		}
	}
	f.Error("no request is placed at the server")
}

// Guards against streams that a router refuses as it leaves and that no counter of streams has: they end
// before anything is asked of their origin.
func TestTheDoorOfARouterThatLeaves(t *testing.T) {
	f := startResumeFleet(t, 1, entriesOf(twoVersions(t))...)
	first := f.begin(0)
	f.routers[0].router.shuttingDown.Store(true)
	f.atDoor(0, f.resume(0, first, breakAt), resumption.Leaving)
	f.Check(string(f.readMetrics(0)["direct_streams_resumed_by_route"]), qt.JSONEquals, map[string]any{"resume": map[string]int{"came": 1, "went_on": 0}})
}

// Guards against refusals that are counted as those of servers, or as those of the request itself, and
// come from elsewhere.
func TestTheDoorOfEachRefusal(t *testing.T) {
	for reason, want := range map[outcome.Reason]resumption.Door{
		outcome.ReasonLeaving: resumption.Leaving, outcome.ReasonPlatform: resumption.Stale, outcome.ReasonNoConfig: resumption.Stale,
		outcome.ReasonConnections: resumption.Streams, outcome.ReasonDeadline: resumption.Deadline, outcome.ReasonSuspect: resumption.Quarantined,
		outcome.ReasonCrashes: resumption.Quarantined, outcome.ReasonAnswerLost: resumption.BrokeOff, outcome.ReasonBackend: resumption.BrokeOff,
		outcome.ReasonNoBackend: resumption.Refused, outcome.ReasonUnauthorized: resumption.Rejected, outcome.ReasonTooLarge: resumption.Rejected,
	} {
		qt.Check(t, doorOf(reason), qt.Equals, want, qt.Commentf("%s", reason))
	}
	for err, want := range map[error]resumption.Door{
		backend.ErrUnknownProcess: resumption.Untrusted, errStale: resumption.Stale, errOldConfig: resumption.Stale, errServerGone: resumption.Refused,
	} {
		qt.Check(t, doorAfter(errors.Wrap(err, "send")), qt.Equals, want, qt.Commentf("%v", err))
	}
}

// Guards against a flood of resumed streams that fills the log, and against one of those that are sent
// that hides those that are refused.
func TestLinesOfResumedStreamsAreLimited(t *testing.T) {
	f := startResumeFleet(t, 1, entriesOf(twoVersions(t))...)
	r := f.routers[0].router
	now := time.Now()
	allowed := 0
	for range 3 * streamLogLimit {
		if ok, _ := r.streamLines.Allow(resumedKey(resumption.Sent), now); ok {
			allowed++
		}
	}
	f.Check(allowed, qt.Equals, streamLogLimit)
	ok, _ := r.streamLines.Allow(resumedKey(resumption.Unknown), now)
	f.Check(ok, qt.IsTrue)
}

// BenchmarkCountedStream measures what counting adds to a new stream, as routers with many routes do.
func BenchmarkCountedStream(b *testing.B) {
	rates := newStreamRates()
	routes := make([]string, 64)
	for i := range routes {
		routes[i] = fmt.Sprint("route-", i)
	}
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			now := time.Now()
			rates.came(now, routes[i%len(routes)], false)
			rates.relayed(now, routes[i%len(routes)], false)
		}
	})
}
