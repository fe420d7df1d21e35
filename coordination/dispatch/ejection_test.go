package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/dispatch"
)

// fail reports n failed attempts at the sidecar.
func (f *fixture) fail(i, n int) {
	for range n {
		f.step(dispatch.Failed{ID: "", Sidecar: sidecar(i)})
	}
}

func TestEjectedSidecarGetsOneProbeAtATime(t *testing.T) {
	c := qt.New(t)
	f := newFixture(nil)
	f.sidecars(4, 4, 0)
	f.fail(0, 5)
	c.Assert(f.Stats().Ejected, qt.Equals, 1)
	f.fill("a", 20)
	pull := dispatch.Pulled{Sidecar: sidecar(0), Pull: 1, Team: "a"}
	c.Assert(only[dispatch.Empty](f.step(pull)), qt.HasLen, 1)
	counts := applyRegistrations(map[string]int{}, f.after(1100*time.Millisecond))
	c.Assert(counts[sidecar(0)] > 0, qt.IsTrue, qt.Commentf("the sidecar whose probe is due has no registration to pull from"))
	for probe := range 3 {
		sent := only[dispatch.Send](f.step(pull))
		c.Assert(sent, qt.HasLen, 1, qt.Commentf("probe %d", probe))
		c.Assert(only[dispatch.Empty](f.step(pull)), qt.HasLen, 1, qt.Commentf("a second probe"))
		f.step(dispatch.Succeeded{ID: sent[0].ID, Sidecar: sidecar(0)})
		f.step(dispatch.Ended{ID: sent[0].ID})
	}
	c.Assert(f.Stats().Ejected, qt.Equals, 0)
	c.Assert(only[dispatch.Send](f.step(pull)), qt.HasLen, 1)
	c.Assert(only[dispatch.Send](f.step(pull)), qt.HasLen, 1)
}

func TestFailedProbeDoublesThePause(t *testing.T) {
	c := qt.New(t)
	f := newFixture(nil)
	f.sidecars(4, 4, 0)
	f.fail(0, 5)
	f.fill("a", 20)
	pull := dispatch.Pulled{Sidecar: sidecar(0), Pull: 1, Team: "a"}
	for _, pause := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		f.after(pause - 40*time.Millisecond)
		c.Assert(only[dispatch.Send](f.step(pull)), qt.HasLen, 0, qt.Commentf("%v", pause))
		f.after(60 * time.Millisecond)
		sent := only[dispatch.Send](f.step(pull))
		c.Assert(sent, qt.HasLen, 1, qt.Commentf("%v", pause))
		f.step(dispatch.Failed{ID: sent[0].ID, Sidecar: sidecar(0)})
		f.step(dispatch.Ended{ID: sent[0].ID})
	}
}

func TestEjectsOutliers(t *testing.T) {
	for name, test := range map[string]struct {
		pool  int
		fails []int
		want  int
	}{
		"one of one":           {1, []int{20}, 0},
		"one of two":           {2, []int{20, 0}, 1},
		"two of two":           {2, []int{20, 20}, 1},
		"too few failures":     {3, []int{4, 0, 0}, 0},
		"half at most":         {6, []int{20, 20, 20, 20, 20, 20}, 3},
		"outlier among others": {4, []int{5, 1, 1, 0}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(nil)
			f.sidecars(test.pool, 4, 0)
			for i, n := range test.fails {
				for range 10 { // earlier successes
					f.step(dispatch.Succeeded{Sidecar: sidecar(i)})
				}
				f.fail(i, n)
			}
			qt.Assert(t, f.Stats().Ejected, qt.Equals, test.want)
		})
	}
}

func TestNoEjectionWhenAllFailAlike(t *testing.T) {
	f := newFixture(nil)
	f.sidecars(4, 4, 0)
	for range 20 {
		for i := range 4 {
			f.fail(i, 1)
		}
	}
	qt.Assert(t, f.Stats().Ejected, qt.Equals, 0)
}

func TestWorkMovesFromUnavailableSidecar(t *testing.T) {
	for name, disable := range map[string]func(f *fixture, id string) []dispatch.Action{
		"ejected": func(f *fixture, id string) []dispatch.Action {
			for range 4 {
				f.step(dispatch.Failed{Sidecar: id})
			}
			return f.step(dispatch.Failed{Sidecar: id})
		},
		"draining": func(f *fixture, id string) []dispatch.Action {
			return f.step(dispatch.LoadReported{Sidecar: id, Slots: 4, Draining: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(func(cfg *dispatch.Config) { cfg.Registration.Subset = 1 })
			f.sidecars(3, 4, 0)
			first := only[dispatch.Register](f.arrive("a", "0"))
			c.Assert(first, qt.HasLen, 1)
			moved := only[dispatch.Register](disable(f, first[0].Sidecar))
			c.Assert(moved, qt.HasLen, 2)
			c.Assert(moved[0], qt.Equals, dispatch.Register{Sidecar: first[0].Sidecar, Team: "a"})
			c.Assert(moved[1].Count, qt.Equals, 1)
		})
	}
}

func TestOffersAvoidFailingSidecars(t *testing.T) {
	c := qt.New(t)
	f := newFixture(nil)
	f.sidecars(2, 100, 100)
	f.fail(0, 5)
	f.step(dispatch.LoadReported{Sidecar: sidecar(1), Slots: 100, Free: 100})
	for i := range 50 {
		c.Assert(only[dispatch.Send](f.arrive("a", fmt.Sprint(i)))[0].Sidecar, qt.Equals, sidecar(1))
	}
}

func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	f := newFixture(func(cfg *dispatch.Config) {
		cfg.Retry.Burst, cfg.Retry.PerSecond = 3, 0
		cfg.MaxEjected = 0
	})
	f.sidecars(2, 1, 0)
	try := func(id string) []dispatch.Action {
		f.arrive("a", id)
		f.step(dispatch.Pulled{Sidecar: sidecar(0), Pull: 1, Team: "a"})
		return f.step(dispatch.Failed{ID: id, Sidecar: sidecar(0), Retry: true})
	}
	for i := range 3 {
		id := fmt.Sprint(i)
		c.Assert(only[dispatch.Refuse](try(id)), qt.HasLen, 0)
		again := only[dispatch.Send](f.step(dispatch.Pulled{Sidecar: sidecar(1), Pull: 2, Team: "a"}))
		c.Assert(again[0].ID, qt.Equals, id)
	}
	denied := only[dispatch.Refuse](try("3"))
	c.Assert(denied, qt.HasLen, 1)
	c.Assert(denied[0].Reason, qt.Equals, dispatch.RetryDenied)
	for range 10 {
		f.step(dispatch.Succeeded{Sidecar: sidecar(1)})
	}
	c.Assert(only[dispatch.Refuse](try("4")), qt.HasLen, 0, qt.Commentf("ten successes earn a retry"))
}

func TestRetryAvoidsFailedSidecar(t *testing.T) {
	c := qt.New(t)
	f := newFixture(nil)
	f.sidecars(2, 1, 0)
	f.arrive("a", "0")
	f.step(dispatch.Pulled{Sidecar: sidecar(0), Pull: 1, Team: "a"})
	f.step(dispatch.Failed{ID: "0", Sidecar: sidecar(0), Retry: true})
	c.Assert(only[dispatch.Send](f.step(dispatch.Pulled{Sidecar: sidecar(0), Pull: 2, Team: "a"})), qt.HasLen, 0)
	f.step(dispatch.SidecarDown{Sidecar: sidecar(1)})
	c.Assert(only[dispatch.Send](f.step(dispatch.Pulled{Sidecar: sidecar(0), Pull: 3, Team: "a"})), qt.HasLen, 1)
}

// A sidecar must not stay idle for good while the only queued request is one that
// failed there: after a second the request may be sent there again.
func TestRetryReturnsToFailedSidecarAfterDelay(t *testing.T) {
	c := qt.New(t)
	f := newFixture(nil)
	f.sidecars(2, 1, 0)
	f.arrive("a", "0")
	f.step(dispatch.Pulled{Sidecar: sidecar(0), Pull: 1, Team: "a"})
	f.step(dispatch.Failed{ID: "0", Sidecar: sidecar(0), Retry: true})
	f.step(dispatch.Pulled{Sidecar: sidecar(0), Pull: 2, Team: "a"})
	f.after(1100 * time.Millisecond)
	registrations := only[dispatch.Register](f.load(0, 1, 1))
	c.Assert(registrations, qt.HasLen, 1)
	c.Assert(only[dispatch.Send](f.step(dispatch.Pulled{Sidecar: sidecar(0), Pull: 3, Team: "a"})), qt.HasLen, 1)
}
