package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/dispatch"
)

// applyRegistrations applies Register actions to the registered counts, which
// are by sidecar.
func applyRegistrations(counts map[string]int, actions []dispatch.Action) map[string]int {
	for _, r := range only[dispatch.Register](actions) {
		if r.Count == 0 {
			delete(counts, r.Sidecar)
			continue
		}
		counts[r.Sidecar] = r.Count
	}
	return counts
}

func TestSubsetWidensWithWait(t *testing.T) {
	c := qt.New(t)
	f := newFixture(func(cfg *dispatch.Config) { cfg.Registration.PerSecond = 5000 })
	f.sidecars(60, 8, 0)
	for i := range 20 { // enough teams that none has a fair share above 8 sidecars
		f.arrive(sidecar(i), sidecar(i))
	}
	counts := applyRegistrations(map[string]int{}, f.arrive("a", "0"))
	c.Assert(counts, qt.HasLen, 8)
	widen := func(d time.Duration) int {
		for _, r := range only[dispatch.Register](f.after(d)) {
			if r.Team == "a" {
				applyRegistrations(counts, []dispatch.Action{r})
			}
		}
		return len(counts)
	}
	c.Assert(widen(180*time.Millisecond), qt.Equals, 16)
	c.Assert(widen(400*time.Millisecond), qt.Equals, 60)
	f.step(dispatch.Cancelled{ID: "0"})
	c.Assert(widen(time.Second), qt.Equals, 0)
}

func TestSubsetCoversMultipleOfFairShare(t *testing.T) {
	c := qt.New(t)
	f := newFixture(func(cfg *dispatch.Config) {
		cfg.Registration.Subset, cfg.Registration.WidenEvery = 1, 100*time.Millisecond
	})
	f.sidecars(40, 8, 0)
	f.step(dispatch.SharesSet{Shares: map[string]float64{"a": 3, "b": 1}})
	a := applyRegistrations(map[string]int{}, f.arrive("a", "a-0"))
	applyRegistrations(a, f.arrive("a", "a-1"))
	b := applyRegistrations(map[string]int{}, f.arrive("b", "b-0"))
	c.Assert(len(a)+len(b), qt.Equals, 2)
	for _, act := range only[dispatch.Register](f.after(200 * time.Millisecond)) {
		map[string]map[string]int{"a": a, "b": b}[act.Team][act.Sidecar] = act.Count
	}
	// Twice the fair share: 2 x 3/4 of 40 is the whole pool, 2 x 1/4 is half.
	c.Assert(a, qt.HasLen, 40)
	c.Assert(b, qt.HasLen, 20)
}

func TestSidecarWithFreeSlotsIsRegisteredOutsideSubset(t *testing.T) {
	c := qt.New(t)
	f := newFixture(nil)
	f.sidecars(40, 1, 0)
	counts := applyRegistrations(map[string]int{}, f.arrive("a", "0"))
	for i := range 40 {
		if counts[sidecar(i)] == 0 {
			got := only[dispatch.Register](f.load(i, 1, 1))
			c.Assert(got, qt.HasLen, 1)
			c.Assert(got[0].Sidecar, qt.Equals, sidecar(i))
			return
		}
	}
	t.Fatal("the first subset contains the whole pool")
}

// The number of registrations must not grow with the number of requests: a queue
// that stays non-empty is registered again only when its length has changed by a
// factor.
func TestSteadyBacklogSendsNoRegistrations(t *testing.T) {
	c := qt.New(t)
	f := newFixture(nil)
	f.sidecars(8, 8, 0)
	f.fill("a", 20)
	f.after(time.Second)
	before := f.Stats().Registrations
	for i := range 2000 {
		f.arrive("a", sidecar(1000+i))
		f.step(dispatch.Pulled{Sidecar: sidecar(i % 8), Pull: 1, Team: "a"})
	}
	c.Assert(f.Stats().Registrations, qt.Equals, before)
}

func TestDeferrableMessagesAreRateLimited(t *testing.T) {
	c := qt.New(t)
	f := newFixture(func(cfg *dispatch.Config) { cfg.Registration.PerSecond = 10 })
	f.sidecars(200, 8, 0)
	for i := range 20 {
		f.arrive(sidecar(i), sidecar(i))
	}
	before := f.Stats().Registrations
	f.after(2 * time.Second)
	sent := f.Stats().Registrations - before
	c.Assert(sent <= 30, qt.IsTrue, qt.Commentf("%d", sent))
}

func TestEmptyPullEndsRegistration(t *testing.T) {
	c := qt.New(t)
	f := newFixture(nil)
	f.sidecars(1, 1, 0)
	f.arrive("a", "0")
	f.step(dispatch.Pulled{Sidecar: sidecar(0), Pull: 1, Team: "a"})
	got := f.step(dispatch.Pulled{Sidecar: sidecar(0), Pull: 2, Team: "a"})
	c.Assert(got, qt.DeepEquals, []dispatch.Action{dispatch.Empty{Sidecar: sidecar(0), Pull: 2}})
	c.Assert(only[dispatch.Register](f.arrive("a", "1")), qt.HasLen, 1)
}
