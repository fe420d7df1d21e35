package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/dispatch"
)

const service = "counsel-llm"

var epoch = time.Unix(1_000_000, 0)

// fixture drives a State with a manual clock.
type fixture struct {
	*dispatch.State
	now time.Time
}

func newFixture(change func(*dispatch.Config)) *fixture {
	cfg := dispatch.DefaultConfig()
	if change != nil {
		change(&cfg)
	}
	return &fixture{State: dispatch.New(cfg), now: epoch}
}

func (f *fixture) step(ev dispatch.Event) []dispatch.Action {
	return append([]dispatch.Action(nil), f.Step(f.now, ev)...)
}

// after advances the clock with a tick every 20ms and returns the actions.
func (f *fixture) after(d time.Duration) []dispatch.Action {
	var out []dispatch.Action
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(20 * time.Millisecond)
		out = append(out, f.step(dispatch.Ticked{})...)
	}
	return out
}

// sidecars connects n sidecars with the given total and free slots.
func (f *fixture) sidecars(n, slots, free int) {
	for i := range n {
		f.step(dispatch.SidecarUp{Sidecar: sidecar(i), Service: service})
		f.load(i, slots, free)
	}
}

func (f *fixture) load(i, slots, free int) []dispatch.Action {
	return f.step(dispatch.LoadReported{Sidecar: sidecar(i), Slots: slots, Free: free})
}

func (f *fixture) arrive(team, id string) []dispatch.Action {
	return f.step(dispatch.Arrived{Request: request(team, id)})
}

// fill adds n requests of the team.
func (f *fixture) fill(team string, n int) {
	for i := range n {
		f.arrive(team, fmt.Sprintf("%s-%d", team, i))
	}
}

func sidecar(i int) string { return fmt.Sprintf("sidecar-%03d", i) }

func request(team, id string) dispatch.Request {
	return dispatch.Request{ID: id, Service: service, Team: team, Bytes: 10, Estimate: 1, Idempotent: true}
}

// only returns the actions of one type.
func only[T dispatch.Action](actions []dispatch.Action) []T {
	var out []T
	for _, a := range actions {
		if a, ok := a.(T); ok {
			out = append(out, a)
		}
	}
	return out
}

func TestConfigValidate(t *testing.T) {
	c := qt.New(t)
	c.Assert(dispatch.DefaultConfig().Validate(), qt.IsNil)
	bad := dispatch.DefaultConfig()
	bad.Policy, bad.Queues.Total, bad.Registration.Subset = "other", 1, 0
	c.Assert(bad.Validate(), qt.ErrorMatches, "Policy must be.*")
}

func TestDeclinedRequestKeepsArrivalOrder(t *testing.T) {
	c := qt.New(t)
	f := newFixture(nil)
	f.sidecars(1, 2, 2)
	c.Assert(f.arrive("a", "old"), qt.DeepEquals, []dispatch.Action{dispatch.Send{ID: "old", Sidecar: sidecar(0)}})
	f.load(0, 2, 0)
	f.fill("a", 3)
	f.now = f.now.Add(time.Second)
	f.step(dispatch.Declined{ID: "old", Sidecar: sidecar(0)})
	c.Assert(f.Waiting(), qt.Equals, 4)
	for range 3 { // the number of declines is not limited
		sent := f.step(dispatch.Pulled{Sidecar: sidecar(0), Pull: 1, Team: "a"})
		c.Assert(sent, qt.DeepEquals, []dispatch.Action{dispatch.Send{ID: "old", Sidecar: sidecar(0), Pull: 1}})
		f.step(dispatch.Declined{ID: "old", Sidecar: sidecar(0)})
	}
}

func TestOffersOnlyToSidecarsWithFreeSlots(t *testing.T) {
	c := qt.New(t)
	f := newFixture(nil)
	f.sidecars(2, 1, 1)
	first, second := only[dispatch.Send](f.arrive("a", "1")), only[dispatch.Send](f.arrive("a", "2"))
	c.Assert(first, qt.HasLen, 1)
	c.Assert(second, qt.HasLen, 1)
	c.Assert(first[0].Sidecar, qt.Not(qt.Equals), second[0].Sidecar)
	c.Assert(only[dispatch.Send](f.arrive("a", "3")), qt.HasLen, 0)
	f.step(dispatch.Pulled{Sidecar: sidecar(0), Pull: 1, Team: "a"})
	f.step(dispatch.Ended{ID: "1"})
	c.Assert(only[dispatch.Send](f.arrive("a", "4")), qt.HasLen, 1, qt.Commentf("an ended attempt frees its slot"))
}

func TestFullQueueOfOneTeamDoesNotBlockOthers(t *testing.T) {
	c := qt.New(t)
	f := newFixture(func(cfg *dispatch.Config) { cfg.Queues.PerTeam, cfg.Queues.Total = 10, 25 })
	f.sidecars(1, 1, 0)
	f.fill("flood", 10)
	refused := only[dispatch.Refuse](f.arrive("flood", "over"))
	c.Assert(refused, qt.HasLen, 1)
	c.Assert(refused[0].Reason, qt.Equals, dispatch.QueueFull)
	f.fill("second", 10)
	f.fill("third", 5)
	// The router is full; the newest request of the largest queue is evicted.
	actions := f.arrive("light", "light-0")
	c.Assert(only[dispatch.Refuse](actions), qt.HasLen, 1)
	c.Assert(only[dispatch.Refuse](actions)[0].ID, qt.Equals, "flood-9")
	c.Assert(f.WaitingByTeam()[service], qt.DeepEquals, map[string]int{"flood": 9, "second": 10, "third": 5, "light": 1})
	c.Assert(only[dispatch.Refuse](f.arrive("flood", "again"))[0].ID, qt.Equals, "again")
}

func TestDeclinedRequestEvictsNewest(t *testing.T) {
	c := qt.New(t)
	f := newFixture(func(cfg *dispatch.Config) { cfg.Queues.PerTeam = 2 })
	f.sidecars(1, 1, 1)
	f.arrive("a", "old")
	f.load(0, 1, 0)
	f.now = f.now.Add(time.Millisecond)
	f.fill("a", 2)
	got := only[dispatch.Refuse](f.step(dispatch.Declined{ID: "old", Sidecar: sidecar(0)}))
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].ID, qt.Equals, "a-1")
	c.Assert(f.Waiting(), qt.Equals, 2)
}

// drain lets the first sidecar pull n requests of the team, one per interval.
func (f *fixture) drain(team string, n int, every time.Duration) {
	for range n {
		f.after(every)
		f.step(dispatch.Pulled{Sidecar: sidecar(0), Pull: 1, Team: team})
	}
}

func TestRefusesWhenEstimatedWaitExceedsDeadline(t *testing.T) {
	for name, test := range map[string]struct {
		waiting  int
		deadline time.Duration
		reason   dispatch.RefuseReason
	}{
		"far deadline":  {20, time.Minute, 0},
		"near deadline": {20, 5 * time.Second, dispatch.WaitTooLong},
		"short queue":   {2, 5 * time.Second, 0},
		"passed":        {2, 0, dispatch.DeadlinePassed},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(nil)
			f.sidecars(1, 1, 0)
			f.fill("a", test.waiting+10)
			f.drain("a", 10, 500*time.Millisecond) // two per second
			r := request("a", "late")
			r.Deadline = f.now.Add(test.deadline)
			got := only[dispatch.Refuse](f.step(dispatch.Arrived{Request: r}))
			if test.reason == 0 {
				c.Assert(got, qt.HasLen, 0)
				return
			}
			c.Assert(got, qt.HasLen, 1)
			c.Assert(got[0].Reason, qt.Equals, test.reason)
		})
	}
}

func TestRetryAfterFollowsDrainRate(t *testing.T) {
	c := qt.New(t)
	hints := map[time.Duration]time.Duration{}
	for _, every := range []time.Duration{100 * time.Millisecond, time.Second, 20 * time.Second} {
		f := newFixture(func(cfg *dispatch.Config) { cfg.Queues.PerTeam = 20 })
		f.sidecars(1, 1, 0)
		f.fill("a", 20)
		f.drain("a", 10, every)
		for i := range 10 {
			f.arrive("a", fmt.Sprint("more-", i))
		}
		refused := only[dispatch.Refuse](f.arrive("a", "over"))
		c.Assert(refused, qt.HasLen, 1)
		hints[every] = refused[0].RetryAfter
	}
	c.Assert(hints[100*time.Millisecond] < 2*time.Second, qt.IsTrue, qt.Commentf("%v", hints))
	c.Assert(hints[time.Second] > 8*time.Second, qt.IsTrue, qt.Commentf("%v", hints))
	c.Assert(hints[time.Second] < 16*time.Second, qt.IsTrue, qt.Commentf("%v", hints))
	c.Assert(hints[20*time.Second], qt.Equals, time.Minute)
}

func TestExpiredRequestsAreRefused(t *testing.T) {
	c := qt.New(t)
	f := newFixture(nil)
	f.sidecars(1, 1, 0)
	for i := range 5 {
		r := request("a", fmt.Sprint(i))
		r.Deadline = f.now.Add(time.Duration(5-i) * time.Second)
		f.step(dispatch.Arrived{Request: r})
	}
	f.now = f.now.Add(2 * time.Second)
	got := only[dispatch.Refuse](f.step(dispatch.Ticked{}))
	c.Assert(got, qt.HasLen, 2)
	c.Assert([]string{got[0].ID, got[1].ID}, qt.DeepEquals, []string{"4", "3"})
	// No expired request is sent, even without a tick before the pull.
	f.now = f.now.Add(2 * time.Second)
	sent := only[dispatch.Send](f.step(dispatch.Pulled{Sidecar: sidecar(0), Pull: 1, Team: "a"}))
	c.Assert(sent, qt.DeepEquals, []dispatch.Send{{ID: "0", Sidecar: sidecar(0), Pull: 1}})
}

func TestRefusesAfterGraceWithoutSidecar(t *testing.T) {
	c := qt.New(t)
	f := newFixture(nil)
	c.Assert(only[dispatch.Refuse](f.arrive("a", "early")), qt.HasLen, 0)
	f.sidecars(1, 1, 0)
	c.Assert(only[dispatch.Refuse](f.after(5*time.Second)), qt.HasLen, 0)
	f.step(dispatch.SidecarDown{Sidecar: sidecar(0)})
	refused := only[dispatch.Refuse](f.after(3 * time.Second))
	c.Assert(refused, qt.HasLen, 1)
	c.Assert(refused[0].Reason, qt.Equals, dispatch.NoSidecar)
	c.Assert(only[dispatch.Refuse](f.arrive("a", "later")), qt.HasLen, 1)
}

func TestCancelledRequestFreesQueueSpace(t *testing.T) {
	c := qt.New(t)
	f := newFixture(func(cfg *dispatch.Config) { cfg.Queues.PerTeam = 1 })
	f.sidecars(1, 1, 0)
	f.arrive("a", "1")
	f.step(dispatch.Cancelled{ID: "1"})
	c.Assert(only[dispatch.Refuse](f.arrive("a", "2")), qt.HasLen, 0)
	sent := only[dispatch.Send](f.step(dispatch.Pulled{Sidecar: sidecar(0), Pull: 1, Team: "a"}))
	c.Assert(sent[0].ID, qt.Equals, "2")
}

func TestPullOfCancelledRequestGetsNextRequest(t *testing.T) {
	c := qt.New(t)
	f := newFixture(nil)
	f.sidecars(1, 1, 0)
	f.fill("a", 2)
	f.step(dispatch.Pulled{Sidecar: sidecar(0), Pull: 7, Team: "a"})
	c.Assert(f.step(dispatch.Cancelled{ID: "a-0", Pull: 7}), qt.DeepEquals,
		[]dispatch.Action{dispatch.Send{ID: "a-1", Sidecar: sidecar(0), Pull: 7}})
	c.Assert(f.step(dispatch.Cancelled{ID: "a-1", Pull: 7}), qt.DeepEquals,
		[]dispatch.Action{dispatch.Empty{Sidecar: sidecar(0), Pull: 7}})
}

func TestReorderByPrefixIsBounded(t *testing.T) {
	for name, test := range map[string]struct {
		prefixes []uint64
		gap      time.Duration
		want     string
	}{
		"no hint":         {nil, 0, "0"},
		"second":          {[]uint64{1}, 0, "1"},
		"front has it":    {[]uint64{1, 9}, 0, "0"},
		"beyond depth":    {[]uint64{4}, 0, "0"},
		"much younger":    {[]uint64{1}, 3 * time.Second, "0"},
		"unknown prefix":  {[]uint64{77}, 0, "0"},
		"first of two":    {[]uint64{2, 3}, 0, "2"},
		"no prefix known": {[]uint64{0}, 0, "0"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(nil)
			f.sidecars(1, 1, 0)
			for i := range 6 {
				r := request("a", fmt.Sprint(i))
				if r.Prefix = uint64(i); i == 0 {
					r.Prefix = 9
				}
				f.step(dispatch.Arrived{Request: r})
				f.now = f.now.Add(test.gap)
			}
			pull := dispatch.Pulled{Sidecar: sidecar(0), Pull: 1, Team: "a", Prefixes: test.prefixes}
			qt.Assert(t, only[dispatch.Send](f.step(pull))[0].ID, qt.Equals, test.want)
		})
	}
}

func TestOvertakingIsBounded(t *testing.T) {
	f := newFixture(nil)
	f.sidecars(1, 1, 0)
	f.arrive("a", "plain")
	for i := range 40 {
		r := request("a", fmt.Sprint(i))
		r.Prefix = 5
		f.step(dispatch.Arrived{Request: r})
	}
	pull := dispatch.Pulled{Sidecar: sidecar(0), Pull: 1, Team: "a", Prefixes: []uint64{5}}
	for n := 0; ; n++ {
		if only[dispatch.Send](f.step(pull))[0].ID == "plain" {
			qt.Assert(t, n, qt.Equals, dispatch.DefaultConfig().Reorder.MaxOvertaken)
			return
		}
	}
}

func TestOffersPreferSidecarWithCachedPrefix(t *testing.T) {
	c := qt.New(t)
	f := newFixture(nil)
	f.sidecars(8, 4, 4)
	offer := func(id string, prefix uint64) string {
		r := request("a", id)
		r.Prefix = prefix
		return only[dispatch.Send](f.step(dispatch.Arrived{Request: r}))[0].Sidecar
	}
	first := offer("0", 5)
	c.Assert(offer("1", 5), qt.Equals, first)
	c.Assert(offer("2", 5), qt.Equals, first)
	f.step(dispatch.LoadReported{Sidecar: first, Slots: 4}) // all slots are in use by other routers
	moved := offer("3", 5)
	c.Assert(moved, qt.Not(qt.Equals), first)
	c.Assert(offer("4", 5), qt.Equals, moved)
	f.step(dispatch.SidecarDown{Sidecar: moved})
	c.Assert(offer("gone", 5), qt.Not(qt.Equals), moved)
}
