package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/standin/backend"
)

// Figures of rows in which servers reject most requests for the whole time and requests are few, so that
// routers want all the retries that they may send.
const (
	rejectedPause = 50 * time.Millisecond
	// soundEngines is the number of engines that reject nothing.
	soundEngines = 2
	// killGap is the time between two kills: shorter than the window of the retry budget.
	killGap = 2500 * time.Millisecond
	// entriesLapse is after the entries of routers that are cut off from the store have lapsed.
	entriesLapse = 11 * time.Second
)

// calmSpan is long enough for some retries of each router.
const calmSpan = 15 * time.Second

// budgetRow is trouble beside servers that reject most requests.
type budgetRow struct {
	routers int
	span    time.Duration
	trouble func(ctx context.Context, w *World)
}

// playBudgetRow plays the row: in no window of the users do more further arrivals of requests reach servers
// than ratio and allowance let.
func playBudgetRow(t *testing.T, row budgetRow) {
	t.Parallel()
	c := qt.New(t)
	w := runBudgetRow(c, c.TempDir(), row)
	worst := mostRepeats(w.Record, engineService)
	c.Logf("%d requests, %d arrivals; at worst %d further arrivals of %.0f allowed", len(w.Record.Calls), len(w.Record.Arrivals), worst.repeats, worst.allowed)
	c.Check(worst.repeats > 0, qt.IsTrue)
	c.Check(tooManyRepeats(w.Record), qt.HasLen, 0)
}

// runBudgetRow plays the row with logs in the directory.
func runBudgetRow(c *qt.C, dir string, row budgetRow) *World {
	fleets <- struct{}{}
	c.Cleanup(func() { <-fleets })
	w := startFleet(c, dir, Size{Routers: row.routers, Engines: 9, Plain: 1, Other: 1, Spread: true})
	w.rejectMost()
	ctx, cancel := context.WithTimeout(context.Background(), row.span)
	defer cancel()
	w.balancer.watch(ctx, w.routers)
	var working sync.WaitGroup
	working.Go(func() {
		// No two prompts share a part, so that requests go to all engines.
		w.sendEach(ctx, 1, rejectedPause, func(n int) string { return fmt.Sprintf("%x:100", 1<<24+n) })
	})
	row.trouble(ctx, w)
	working.Wait()
	return w
}

// rejectMost lets all engines but a few reject what they get.
func (w *World) rejectMost() {
	w.mu.Lock()
	defer w.mu.Unlock()
	sound := 0
	for n := 1; n <= w.nextID; n++ {
		s := w.servers[w.serverID(n)]
		if s == nil || s.Service != engineService {
			continue
		}
		if sound < soundEngines {
			sound++
			continue
		}
		s.backend.SetFault(backend.Sheds)
	}
}

// killEvery kills the routers together, again and again, until ctx ends; each begins again at once.
func killEvery(ctx context.Context, routers []*router) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(killGap):
		}
		for _, r := range routers {
			r.Kill()
		}
		for _, r := range routers {
			_ = r.Start()
		}
	}
}

// Guards against a retry budget that each life of a router has anew, with real programs: all are killed at
// once, several times in a window.
func TestRejectedRequestsStayWithinTheBudgetWhileAllRoutersAreKilled(t *testing.T) {
	playBudgetRow(t, budgetRow{routers: 6, span: 20 * time.Second, trouble: func(ctx context.Context, w *World) {
		killEvery(ctx, w.routers)
	}})
}

// Guards against routers that take the part of others for their own: half are cut off from the store until
// their entries lapse, and the others are killed at once, several times in a window.
func TestRejectedRequestsStayWithinTheBudgetBesideRoutersThatAreCutOff(t *testing.T) {
	playBudgetRow(t, budgetRow{routers: 6, span: entriesLapse + 15*time.Second, trouble: func(ctx context.Context, w *World) {
		half := len(w.routers) / 2
		for _, r := range w.routers[:half] {
			r.store.Hold()
		}
		time.Sleep(entriesLapse)
		killEvery(ctx, w.routers[half:])
	}})
}

// Guards against retries that the logs of a fleet do not show: the granted ones, summed over all routers, are the
// arrivals beyond the first of each request.
func TestGrantedRetriesInLogsAreTheFurtherArrivals(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	dir := c.TempDir()
	w := runBudgetRow(c, dir, budgetRow{routers: 6, span: calmSpan, trouble: func(context.Context, *World) {}})
	var stopped sync.WaitGroup
	for _, r := range w.routers {
		stopped.Go(func() { c.Check(r.Stop(grace), qt.IsTrue) })
	}
	stopped.Wait()
	granted := 0
	for _, r := range w.routers {
		data, err := os.ReadFile(filepath.Join(dir, r.Name+".log"))
		c.Assert(err, qt.IsNil)
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, "event=retry ") && strings.Contains(line, "service="+engineService) && strings.Contains(line, "verdict=granted") {
				granted++
			}
		}
	}
	c.Check(granted > 0, qt.IsTrue)
	c.Check(granted, qt.Equals, len(w.Record.repeats()[engineService]))
}
