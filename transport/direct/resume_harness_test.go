package direct

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/versions"
	"goldcrestport/protocol/settings"
)

// streamLength is the number of events of a stream in these tests, and breakAt the event after
// which callers and servers break it off.
const (
	streamLength = 12
	breakAt      = 4
)

// Paths of the streams in these tests.
const (
	pathStream = "/resume/whole"
	// pathBreaks is that of streams that their first server breaks off after breakAt.
	pathBreaks = "/resume/breaks"
	// pathEmpty is that of streams that end before any event at servers marked to do so.
	pathEmpty = "/resume/empty"
	// pathOccupy is that of streams that stay open, so that the next request goes elsewhere.
	pathOccupy = "/resume/occupy"
	pathOnce   = "/stream/whole"
)

// streamServer is a backend server whose events say which software version sent them. It can be
// restarted at its address as another version.
type streamServer struct {
	id, address string

	mu      sync.Mutex
	version roster.Version
	lis     net.Listener
	conns   map[net.Conn]bool
	// endsEmpty makes it end streams of pathEmpty before their first event.
	endsEmpty bool
	runs      int
}

// newStreamServer starts a server.
func newStreamServer(t testing.TB, id string, version roster.Version) *streamServer {
	s := &streamServer{id: id, address: "127.0.0.1:0", version: version, conns: map[net.Conn]bool{}}
	s.start(t)
	t.Cleanup(s.stop)
	return s
}

func (s *streamServer) start(t testing.TB) {
	lis, err := net.Listen("tcp", s.address)
	qt.Assert(t, err, qt.IsNil)
	s.mu.Lock()
	s.lis, s.address = lis, lis.Addr().String()
	s.mu.Unlock()
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
}

// stop ends the server's process: its connections end with it.
func (s *streamServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.lis.Close()
	for conn := range s.conns {
		_ = conn.Close()
		delete(s.conns, conn)
	}
}

// restartAs ends the process and starts another one of the version at the same address.
func (s *streamServer) restartAs(t testing.TB, version roster.Version) {
	s.stop()
	s.mu.Lock()
	s.version = version
	s.mu.Unlock()
	s.start(t)
}

func (s *streamServer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if want := req.Header.Get(testServer); want != s.id {
			if !respond(conn, req, http.StatusMisdirectedRequest, "", "") {
				return
			}
			continue
		}
		s.mu.Lock()
		s.runs++
		empty := s.endsEmpty
		s.mu.Unlock()
		if !sendStream(conn, req, version, empty) {
			return
		}
	}
}

// sendStream sends the events after the one that the caller has. It reports whether the connection
// goes on.
func sendStream(w net.Conn, req *http.Request, version roster.Version, empty bool) bool {
	from, _ := strconv.Atoi(req.Header.Get(testLast))
	if _, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: m\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", testMark); err != nil {
		return false
	}
	if empty && req.URL.Path == pathEmpty {
		return false
	}
	for n := from + 1; n <= streamLength; n++ {
		if req.URL.Path == pathBreaks && from < breakAt && n > breakAt {
			return false
		}
		text := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, version, n)
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		if req.URL.Path == pathOccupy {
			_, _ = w.Read(make([]byte, 1))
			return false
		}
		time.Sleep(2 * time.Millisecond)
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err == nil
}

func (s *streamServer) ran() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// entry is the server's entry in the store, as the process of that version wrote it.
func (s *streamServer) entry(version roster.Version) roster.Server {
	return roster.Server{ID: s.id, Version: version, Address: s.address, Service: "app", Slots: 8}
}

// resumeFleet is some routers that exchange messages, before the same servers.
type resumeFleet struct {
	*qt.C
	routers []*fixture
	// peers are the addresses of the routers.
	peers  map[string]mirror.Registration
	lines  *lineBuffer
	nextID int
	// served are the records of versions that routers wrote, which is what the store has of them.
	served []versions.Served
	// change, if there is one, changes the settings and the store of the router that is started.
	change func(id string, set *settings.Direct, s *testSource)
}

// startResumeFleet starts routers that know the entries of the servers. Where those are of several versions, it is
// in the middle of a release, and the store has a record of it.
func startResumeFleet(t testing.TB, routers int, entries ...roster.Server) *resumeFleet {
	f := newResumeFleet(t, routers)
	f.served = recordsOf(entries)
	for n := range routers {
		f.routers = append(f.routers, f.startRouter(fmt.Sprint("r", n), f.peers, entries))
	}
	return f
}

// recordsOf returns the records of services that have servers of several versions, as routers write them.
func recordsOf(entries []roster.Server) []versions.Served {
	h := versions.New()
	for _, e := range entries {
		h.Add(e.Service, e.Version)
	}
	return h.ToStore(time.Now(), func(string) int { return 0 })
}

// newResumeFleet returns a fleet of routers that are not started yet.
func newResumeFleet(t testing.TB, routers int) *resumeFleet {
	f := &resumeFleet{C: qt.New(t), lines: &lineBuffer{}}
	f.peers = map[string]mirror.Registration{}
	for n := range routers {
		f.peers[fmt.Sprint("r", n)] = mirror.Registration{Address: freeAddress(f.C), Life: versions.Life(n + 1)}
	}
	return f
}

func (f *resumeFleet) startRouter(id string, peers map[string]mirror.Registration, entries []roster.Server) *fixture {
	return startLogged(f.C.TB, testConfig(1), log.NewLogfmtLogger(f.lines), func(set *settings.Direct, s *testSource) {
		set.ID, set.Listen.Peers = id, peers[id].Address
		s.life = peers[id].Life
		s.now.Served = f.served
		s.now.Servers, s.now.Routers = slices.Clone(entries), maps.Clone(peers)
		if f.change != nil {
			f.change(id, set, s)
		}
	})
}

// again starts the router anew: what it knew is lost.
func (f *resumeFleet) again(n int) {
	old := f.routers[n]
	old.end()
	old.waitFor("the former router's sockets are open", func() bool { return isFree(f.peers[old.set.ID].Address) })
	old.source.mu.Lock()
	now := old.source.now
	old.source.mu.Unlock()
	f.served = append(f.served, now.Served...)
	f.routers[n] = f.startRouter(old.set.ID, f.peers, now.Servers)
}

// isFree reports whether nobody has the address, neither for datagrams nor for connections: a router that ended
// closes the two one after the other.
func isFree(address string) bool {
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return lis.Close() == nil
}

// waitStored waits until a router has written which versions of the service serve side by side.
func (f *resumeFleet) waitStored(service string) {
	f.Helper()
	f.routers[0].waitFor("no record of versions was written", func() bool {
		for _, r := range f.routers {
			r.source.mu.Lock()
			served := r.source.now.Served
			r.source.mu.Unlock()
			if slices.ContainsFunc(served, func(one versions.Served) bool { return one.Service == service }) {
				f.served = served
				return true
			}
		}
		return false
	})
}

// write lets all routers see changed entries, and waits until they do.
func (f *resumeFleet) write(entries ...roster.Server) {
	f.Helper()
	for _, r := range f.routers {
		entries := slices.Clone(entries)
		r.source.mu.Lock()
		for _, e := range entries {
			r.source.now.Servers = append(slices.DeleteFunc(slices.Clone(r.source.now.Servers), func(old roster.Server) bool { return old.ID == e.ID }), e)
		}
		r.source.mu.Unlock()
		revision := r.router.knownRevision() + 1
		for i := range entries {
			entries[i].Revision = revision
		}
		r.source.changes <- mirror.Delta{Servers: entries, Revision: revision}
	}
	for _, r := range f.routers {
		r.waitFor("the entries did not arrive", func() bool {
			for _, e := range entries {
				if got, known := r.router.server(e.ID); known == e.Draining || known && got.Version != e.Version {
					return false
				}
			}
			return true
		})
	}
}

// attempt is one attempt of a caller: what it got of the stream.
type attempt struct {
	id     string
	status int
	header http.Header
	// versions are those of the events, the oldest first; last is the id of the last event.
	versions []string
	last     int
	isWhole  bool
}

// try sends a request and reads up to the given number of events; then it breaks it off. It returns
// when the router has ended the request.
func (f *resumeFleet) try(n int, path string, events int, headers ...string) attempt {
	f.Helper()
	r := f.routers[n]
	before := r.router.inFlight.Load()
	got := f.send(n, path, events, headers...)
	r.waitFor("the request does not end", func() bool { return r.router.inFlight.Load() <= before })
	return got
}

// send sends the request of try.
func (f *resumeFleet) send(n int, path string, events int, headers ...string) attempt {
	f.Helper()
	f.nextID++
	got := attempt{id: fmt.Sprint("a", f.nextID)}
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.routers[n].set.Listen.Callers+path, strings.NewReader("body"))
	f.Assert(err, qt.IsNil)
	req.Host, req.Close = "h", true
	req.Header.Set(testID, got.id)
	req.Header.Set(testLeft, "2500")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return got
	}
	defer resp.Body.Close()
	got.status, got.header = resp.StatusCode, resp.Header
	if resp.StatusCode != http.StatusOK {
		return got
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if id, is := strings.CutPrefix(lines.Text(), "id: "); is {
			got.last, _ = strconv.Atoi(id)
		}
		if data, is := strings.CutPrefix(lines.Text(), "data: "); is {
			version, _, _ := strings.Cut(data, " ")
			got.versions = append(got.versions, version)
			if len(got.versions) == events {
				return got
			}
		}
	}
	got.isWhole = lines.Err() == nil && got.last == streamLength
	return got
}

// begin starts a stream at the router and breaks it off.
func (f *resumeFleet) begin(n int) attempt {
	f.Helper()
	got := f.try(n, pathStream, breakAt)
	f.Assert(got.versions, qt.HasLen, breakAt)
	return got
}

// resume takes the stream of the first attempt up at the router.
func (f *resumeFleet) resume(n int, first attempt, after int) attempt {
	f.Helper()
	return f.try(n, pathStream, 0, testLast, strconv.Itoa(after), testResumes, first.id)
}

// occupy opens a stream that stays open at the router, so that its next one goes to another
// server. It returns the version of the server.
func (f *resumeFleet) occupy(n int) string {
	f.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f.TB.Cleanup(cancel)
	f.nextID++
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.routers[n].set.Listen.Callers+pathOccupy, strings.NewReader("body"))
	f.Assert(err, qt.IsNil)
	req.Host = "h"
	req.Header.Set(testID, fmt.Sprint("o", f.nextID))
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	f.Assert(err, qt.IsNil)
	f.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	first := make([]byte, 64)
	size, _ := resp.Body.Read(first)
	_, data, _ := strings.Cut(string(first[:size]), "data: ")
	version, _, _ := strings.Cut(data, " ")
	return version
}

// goesOn checks that the attempt brings the rest of the stream, of the version of its first part.
func (f *resumeFleet) goesOn(first, got attempt, comment string) {
	f.Helper()
	f.isNotJoined(first, got, comment)
	f.Check(got.isWhole, qt.IsTrue, qt.Commentf("%s: got %d, events of %v", comment, got.status, got.versions))
}

// isNotJoined checks that no event of the attempt is of another version than the first part.
func (f *resumeFleet) isNotJoined(first, got attempt, comment string) {
	f.Helper()
	for _, v := range got.versions {
		if v != first.versions[0] {
			f.Errorf("%s: %s began the stream, and it went on at %s\n%s", comment, first.versions[0], v, f.lines.String())
			return
		}
	}
}

// resumeForGood takes the stream up until a refusal says that coming back does not help. A router that
// takes longer to answer another one's asking than that waits for may make it come back.
func (f *resumeFleet) resumeForGood(n int, first attempt, after int) attempt {
	f.Helper()
	for range 8 {
		got := f.resume(n, first, after)
		if got.status != http.StatusServiceUnavailable {
			return got
		}
		f.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		time.Sleep(resumeRetryAfter)
	}
	f.Error("the stream is refused for now again and again")
	return attempt{}
}

// isRefused checks that the attempt was refused, not run, and that its caller is asked to come
// back, or told that coming back does not help.
func (f *resumeFleet) isRefused(got attempt, mayComeBack bool, comment string) {
	f.Helper()
	f.Check(got.versions, qt.HasLen, 0, qt.Commentf("%s: went on at %v", comment, got.versions))
	want := http.StatusMisdirectedRequest
	if mayComeBack {
		want = http.StatusServiceUnavailable
	}
	f.Check(got.status, qt.Equals, want, qt.Commentf("%s", comment))
	f.Check(got.header.Get("Retry-After") != "", qt.Equals, mayComeBack, qt.Commentf("%s", comment))
}
