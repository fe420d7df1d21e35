package direct

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/partquarantine"
	"goldcrestport/coordination/turns"
	"goldcrestport/protocol/settings"
)

// crashPart is the part of a prompt that crashes each server that begins to answer on it, and
// sharedParts are parts of other requests, too, the first of them of all.
const crashPart = "badbad"

const sharedParts = "a1,b2,%s"

// partCrashes is the number of crashes under requests with one part after which connected routers have to
// know it, and partSends that of such requests that may still reach servers then.
const (
	partCrashes = 5
	partSends   = 3
)

// partKnownAt returns when servers had crashed under the part often enough, and the routers had time to
// receive the reports; zero before.
func (f *fleet) partKnownAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < partCrashes {
		return time.Time{}
	}
	return f.crashes[partCrashes-1].Add(reportDelay)
}

// Guards against requests of which no two are alike, and which share one part of their prompts that
// crashes each server: each was new to a router that remembers whole requests only. Sound requests with
// the same other parts go on.
func TestAPartThatCrashesServersIsRefused(t *testing.T) {
	f := startFleet(t, 3, 6, afterTheHead)
	var sound, begun atomic.Int64
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			got := f.routers[i%len(f.routers)].send("/stream/a", fmt.Sprint("sound-", i), harmlessBody, testParts, fmt.Sprintf(sharedParts, fmt.Sprintf("%x,cc", i)))
			if known := f.partKnownAt(); !known.IsZero() && time.Now().After(known.Add(reportDelay)) {
				sound.Add(1)
				if got.status == http.StatusOK {
					begun.Add(1)
				}
			}
		}
	})
	for i := 0; f.partKnownAt().IsZero() || time.Now().Before(f.partKnownAt().Add(2*reportDelay)); i++ {
		f.routers[i%len(f.routers)].send("/stream/a", fmt.Sprint("part-", i), fmt.Sprint("body-", i), testParts, fmt.Sprintf(sharedParts, crashPart+",dd"))
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	late := f.arrivalsAfter(f.partKnownAt())
	qt.Check(t, late <= partSends, qt.IsTrue, qt.Commentf("%d sends beyond the fifth crash, %d servers crashed", late, len(f.crashes)))
	qt.Check(t, begun.Load()*2 >= sound.Load(), qt.IsTrue, qt.Commentf("%d of %d sound requests with the same parts began", begun.Load(), sound.Load()))
}

// Guards against refused parts that end with the routers: one router enters the set in the store, a
// router that begins alone refuses it before it has seen a crash, and an operator's release takes it out of the
// store, also where it could not be written for a while.
func TestARefusedPartIsInTheStore(t *testing.T) {
	f := startFleet(t, 3, 6, afterTheHead)
	for _, one := range f.routers {
		one.source.setDown(true)
	}
	kept := func() (all []partquarantine.Entry) {
		for _, one := range f.routers {
			all = append(all, one.source.keptParts()...)
		}
		return all
	}
	refused := func(s *partquarantine.State) int { return s.RefusedCount() }
	for i := 0; f.routers[0].router.inPartQuarantine(refused) == 0 && i < 300; i++ {
		f.routers[i%len(f.routers)].send("/stream/a", fmt.Sprint("part-", i), fmt.Sprint("body-", i), testParts, fmt.Sprintf(sharedParts, crashPart+",dd"))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(refusedRetryPause)
	qt.Assert(t, kept(), qt.HasLen, 0)
	for _, one := range f.routers {
		one.source.setDown(false)
	}
	f.routers[0].waitFor("no router entered the set in the store", func() bool { return len(kept()) == 1 })
	time.Sleep(2 * turns.Step)
	qt.Assert(t, kept(), qt.HasLen, 1)

	alone := startWith(t, testConfig(1), func(_ *settings.Direct, s *testSource) { s.now.RefusedParts = kept() })
	alone.waitFor("it was not read", func() bool { return alone.router.inPartQuarantine(refused) == 1 })
	got := alone.send("/stream/a", "y", "another body", testParts, fmt.Sprintf(sharedParts, crashPart+",dd"))
	alone.Check(got.status, qt.Equals, http.StatusBadRequest)

	for _, part := range kept()[0].Parts {
		freed := httptest.NewRecorder()
		f.routers[0].router.metricsHandler().ServeHTTP(freed, httptest.NewRequest(http.MethodDelete, "/quarantine/"+partText(part), nil))
		qt.Check(t, freed.Code, qt.Equals, http.StatusOK)
	}
	f.routers[0].waitFor("the set is still in the store", func() bool { return len(kept()) == 0 })
}
