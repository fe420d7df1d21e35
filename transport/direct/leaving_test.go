package direct

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/settings"
)

// slowFor lets a server take so long for each request that is no stream; streams run for longer than any shutdown here.
func slowFor(d time.Duration) func(w io.Writer, req *http.Request) bool {
	return func(w io.Writer, req *http.Request) bool {
		if req.URL.Path == "/stream/" {
			return events(w, req, 1000, 20*time.Millisecond, false)
		}
		time.Sleep(d)
		return ok(w, req)
	}
}

// Guards against requests that come late in a planned stop, are sent on, and are cut at its bound with no answer or an
// unknown outcome: short ones that would not end in time, of a kind that is known and of one that is not.
func TestWhatComesLateInAPlannedStopIsServedOrRefused(t *testing.T) {
	const bound, takes = 3400 * time.Millisecond, 700 * time.Millisecond
	for _, isKnown := range []bool{true, false} {
		t.Run(fmt.Sprintf("known=%v", isKnown), func(t *testing.T) {
			b := newBackend(t, "i-1", slowFor(takes))
			f := startWith(t, testConfig(1), func(set *settings.Direct, _ *testSource) {
				set.Stop = settings.Stop{Linger: settings.Duration(100 * time.Millisecond), Bound: settings.Duration(bound)}
			}, b)
			if isKnown {
				f.Check(f.call("/once/", "first").status, qt.Equals, http.StatusOK)
				f.Check(f.call("/safe/", "first").status, qt.Equals, http.StatusOK)
			}
			go func() { f.call("/stream/", "stream") }()
			for f.router.load.openStreams() == 0 {
				time.Sleep(time.Millisecond)
			}
			close(f.stop)
			f.sendDuring(bound, b, isKnown)
		})
	}
}

// sendDuring sends requests until the port is closed, and checks that each is served, or refused and never run.
func (f *fixture) sendDuring(atMost time.Duration, b *backendServer, someAreServed bool) {
	f.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes, notRun := map[string]int{}, []string{}
	for end, n := time.Now().Add(atMost), 0; time.Now().Before(end); n++ {
		for _, path := range []string{"/once/", "/safe/"} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := fmt.Sprint("late", n, path)
				got := f.call(path, id, testLeft, "3000")
				mu.Lock()
				defer mu.Unlock()
				switch {
				case got.err != nil:
					// The port is closed, or was while the request was on its way.
					outcomes["closed"]++
					notRun = append(notRun, id)
				case got.status == http.StatusServiceUnavailable:
					outcomes["refused"]++
					notRun = append(notRun, id)
					f.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
				default:
					outcomes[http.StatusText(got.status)]++
				}
			}()
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	ran := map[string]bool{}
	for _, id := range b.runs() {
		ran[id] = true
	}
	for _, id := range notRun {
		f.Check(ran[id], qt.IsFalse, qt.Commentf("%s got no answer or a refusal, and ran", id))
	}
	f.Check(outcomes["refused"] > 0, qt.IsTrue, qt.Commentf("%v", outcomes))
	f.Check(outcomes["OK"] > 0 || !someAreServed, qt.IsTrue, qt.Commentf("%v", outcomes))
	f.Check(outcomes[http.StatusText(http.StatusBadGateway)], qt.Equals, 0, qt.Commentf("%v", outcomes))
	f.Check(outcomes[http.StatusText(http.StatusGatewayTimeout)], qt.Equals, 0, qt.Commentf("%v", outcomes))
}
