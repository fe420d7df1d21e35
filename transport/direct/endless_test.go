package direct

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"goldcrestport/protocol/settings"
)

const (
	// endlessTime is how long the callers of these tests wait, and soon by when they have the final
	// answer where the bytes are provably no answer.
	endlessTime = 3000 * time.Millisecond
	soon        = 2300 * time.Millisecond
	// endlessHeap is the memory that a router of 144 MB may use for the endless answers of these tests, which
	// also holds that of their servers and callers.
	endlessHeap = 80 << 20
	// connectPause is the time between two callers: a router that many reach at once closes connections.
	connectPause = 2 * time.Millisecond
)

// startEndless runs a router with one server of many slots.
func startEndless(t *testing.T, run func(io.Writer, *http.Request) bool) *fixture {
	return startWith(t, testConfig(1), func(_ *settings.Direct, source *testSource) {
		for i := range source.now.Servers {
			source.now.Servers[i].Slots = 1000
		}
	}, newBackend(t, "i-1", run))
}

// Guards against servers that send without end what is no answer, in a head or a body, at full speed
// or slowly: many at a time end within a bound of time and memory, each caller gets its final answer, no
// broken answer looks whole, and other requests are served meanwhile.
func TestBytesWithoutEnd(t *testing.T) {
	var stop atomic.Bool
	f := startEndless(t, endlessServer(&stop))
	heap := watchHeap(endlessHeap, &stop)
	var mu sync.Mutex
	views := make(map[string]endlessView)
	var all sync.WaitGroup
	for name, kind := range endlessKinds() {
		for _, pace := range []string{atFullSpeed, slowly} {
			for _, reads := range []string{readsSlowly, readsAtOnce} {
				path := fmt.Sprintf("/%s/%s/%s/%s", kind.route, name, pace, reads)
				all.Go(func() {
					view := f.askEndless(path, strings.ReplaceAll(path, "/", "-"), endlessTime, reads == readsSlowly)
					mu.Lock()
					defer mu.Unlock()
					views[path] = view
				})
				time.Sleep(connectPause)
			}
		}
	}
	f.Check(f.askEndless("/once/plain", "plain", endlessTime, false).looksWhole(), qt.IsTrue)
	all.Wait()
	grown := heap()
	t.Logf("the heap grew by %d KiB", grown>>10)
	f.Assert(stop.Load(), qt.IsFalse, qt.Commentf("the heap grew by %d MiB", grown>>20))
	for path, view := range views {
		parts := strings.Split(path, "/")
		checkFate(f, path, endlessKinds()[parts[2]].fateOf(parts[3], parts[4]), view)
	}
}

// checkFate checks what the caller got.
func checkFate(f *fixture, path string, want fate, got endlessView) {
	comment := qt.Commentf("%s: %d, %d bytes, %v after %v", path, got.status, got.bytes, got.broken, got.took)
	switch want {
	case getsLost:
		f.Check(got.status, qt.Equals, http.StatusBadGateway, comment)
		f.Check(got.took < soon, qt.IsTrue, comment)
	case isCut:
		f.Check(got.looksWhole(), qt.IsFalse, comment)
		f.Check(got.took < soon, qt.IsTrue, comment)
	case runsOut:
		f.Check(got.broken != nil || got.status == http.StatusGatewayTimeout, qt.IsTrue, comment)
		f.Check(got.took > endlessTime-200*time.Millisecond && got.took < endlessTime+time.Second, qt.IsTrue, comment)
	case isWhole:
		f.Check(got.looksWhole(), qt.IsTrue, comment)
		f.Check(got.body, qt.Equals, "hello", comment)
	}
}

// A server that goes on to send what is no answer is ejected like one that fails otherwise: its callers get
// the other server's answers, and it gets few requests until it answers again.
func TestAServerThatSendsWithoutEndIsEjected(t *testing.T) {
	for _, name := range []string{"header-line", "header-lines", "chunk-extension", "length-beyond", "trailer-lines"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range rounds {
				if ejectsEndless(t, name) {
					return
				}
			}
			t.Fatal("this machine is too busy: the router found itself late in each round")
		})
	}
}

// rounds is how often a test may start again whose router found itself late: it ejects no server then.
const rounds = 10

// ejectsEndless plays one round, and reports whether its router was never late.
func ejectsEndless(t *testing.T, name string) bool {
	var stop, healed atomic.Bool
	defer stop.Store(true)
	endless := endlessServer(&stop)
	faulty := newBackend(t, "i-1", func(w io.Writer, req *http.Request) bool {
		if healed.Load() {
			return ok(w, req)
		}
		req.URL.Path = "/safe/" + name + "/" + atFullSpeed
		return endless(w, req)
	})
	var lines lineBuffer
	f := startLogged(t, testConfig(1), log.NewLogfmtLogger(&lines), func(*settings.Direct, *testSource) {}, faulty, newBackend(t, "i-2", ok))
	defer f.end()
	wasLate := func() bool { return strings.Contains(lines.String(), "impaired=true") }
	const requests = 60
	for i := range requests {
		got := f.askEndless("/safe/", numbered("r", i), endlessTime, false)
		if wasLate() {
			return false
		}
		f.Assert(got.looksWhole(), qt.IsTrue, qt.Commentf("request %d: %d %v %s, %d reached the faulty server", i, got.status, got.broken, got.body, len(faulty.runs())))
		f.Assert(got.body, qt.Equals, "hello")
	}
	failures := len(faulty.runs())
	f.Check(failures > 0 && failures <= requests/4, qt.IsTrue, qt.Commentf("%d requests reached the faulty server", failures))
	f.Check(strings.Contains(lines.String(), "event=ejection server=i-1 ejected=true"), qt.IsTrue)
	healed.Store(true)
	f.waitFor("the server's return", func() bool {
		f.askEndless("/safe/", "later", endlessTime, false)
		return len(faulty.runs()) > failures+requests/4
	})
	return true
}

// Guards what is legitimate against the bounds on bytes without end: a long header, interim
// responses, long answers in each framing, a long event and a stream of many events arrive whole.
func TestLongAnswersArriveWhole(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("0123456789abcdef", 1<<19)
	var fields strings.Builder
	for i := range 100 {
		fmt.Fprintf(&fields, "X-Field-%d: %s\r\n", i, strings.Repeat("v", 150))
	}
	event := "id: 1\ndata: " + strings.Repeat("x", 1<<20) + "\n\n"
	stream := event + strings.Repeat(": a comment\n\n", 1000) + eventsText(2, 20_000)
	bodies := map[string]string{
		"head":     headOf(fields.String() + "Content-Length: 5"),
		"interim":  strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 30) + headOf("Content-Length: 5"),
		"length":   headOf(fmt.Sprintf("Content-Length: %d", len(long))),
		"chunks":   headOf("Transfer-Encoding: chunked"),
		"unframed": headOf(),
		"stream":   headOf("Content-Type: text/event-stream", "Transfer-Encoding: chunked"),
	}
	texts := map[string]string{"head": "hello", "interim": "hello", "length": long, "chunks": long, "unframed": long, "stream": stream}
	f := start(t, testConfig(1), newBackend(t, "i-1", func(w io.Writer, req *http.Request) bool {
		name := strings.Split(req.URL.Path, "/")[2]
		text := texts[name]
		_, _ = io.WriteString(w, bodies[name])
		if !strings.Contains(bodies[name], "chunked") {
			_, _ = io.WriteString(w, text)
			return name != "unframed"
		}
		for part := range slices.Chunk([]byte(text), 10_000) {
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(part), part)
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}))
	for name, want := range texts {
		path := "/once/" + name
		if name == "stream" {
			path = "/stream/" + name
		}
		got := f.once(http11, path, name)
		f.Check(got.looksWhole(), qt.IsTrue, qt.Commentf("%s: %d %v", name, got.status, got.broken))
		f.Check(got.body == want, qt.IsTrue, qt.Commentf("%s: %d bytes for %d", name, len(got.body), len(want)))
	}
}
