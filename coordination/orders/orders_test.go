package orders

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func item(name, version string) Item { return Item{Name: name, Version: version} }

// simulation is a model of the engine and the platform.
type simulation struct {
	s       *State
	now     time.Time
	have    Have
	granted map[Permit]int
	paused  bool
	running int
	// newest is the revision that a validation reports.
	newest uint64
	// delayed holds the unanswered orders that have not taken effect yet.
	delayed []Order
	// choose returns a number below n; it decides which faults occur.
	choose    func(n int) int
	orders    []Order
	events    []Event
	violation string
}

func newSimulation(choose func(int) int) *simulation {
	return &simulation{s: New(DefaultConfig()), now: start, granted: map[Permit]int{}, choose: choose}
}

// step applies the event and then, in sequence, the events that follow from it.
func (w *simulation) step(ev Event) {
	w.events = append(w.events, ev)
	if len(w.events) > 1 {
		return
	}
	for len(w.events) > 0 {
		for _, a := range slices.Clone(w.s.Step(w.now, w.events[0])) {
			w.perform(a)
		}
		w.events = w.events[1:]
	}
}

func (w *simulation) perform(a Action) {
	switch a := a.(type) {
	case Observe:
		if w.choose(8) == 1 {
			w.step(ObserveFailed(a))
			return
		}
		w.step(Observed{ID: a.ID, Have: Have{Fence: w.have.Fence, Items: slices.Clone(w.have.Items), Role: w.have.Role}})
	case Acquire:
		if w.choose(4) == 1 {
			w.step(Denied(a))
			return
		}
		w.granted[a.Permit]++
		w.step(Granted(a))
	case Release:
		w.granted[a.Permit]--
	case Pause:
		w.paused = a.On
	case Validate:
		w.step(Validated{OK: w.choose(8) != 1, Revision: w.newest})
	case Send:
		w.send(a.Order)
	}
}

func (w *simulation) send(o Order) {
	switch {
	case len(w.delayed) > 0 && w.now.Sub(w.s.sentAt) < w.s.cfg.WaitOut:
		w.violation = "an order was sent while an unanswered one could still take effect"
	case o.Fence != w.newest:
		w.violation = "an order was sent for an older configuration"
	case w.granted[permitFor(o.Verb)] != 1:
		w.violation = "an order was sent without its permit"
	case o.Verb == SetRole && (!w.paused || w.running > 0):
		w.violation = "the role was changed while requests were running"
	}
	w.orders = append(w.orders, o)
	if w.choose(5) == 1 {
		w.delayed = append(w.delayed, o)
		w.step(Unanswered{ID: o.ID})
		return
	}
	w.apply(o)
	w.step(Answered{ID: o.ID})
}

func (w *simulation) apply(o Order) {
	w.have.Fence = max(w.have.Fence, o.Fence)
	switch o.Verb {
	case Load:
		w.have.Items = append(w.have.Items, o.Item)
	case Unload:
		w.have.Items = slices.DeleteFunc(w.have.Items, func(i Item) bool { return i == o.Item })
	case SetRole:
		w.have.Role = o.Role
	}
}

func (w *simulation) advanceTime(d time.Duration) {
	w.now = w.now.Add(d)
	for _, o := range w.delayed {
		w.apply(o)
	}
	w.delayed = nil
	w.step(Ticked{})
}

func noFaults(int) int { return 0 }

func TestLoadsBeforeItUnloads(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(noFaults)
	w.have = Have{Items: []Item{item("m", "1")}, Role: "mixed"}
	w.newest = 5
	w.step(WantChanged{Want{Revision: 5, Items: []Item{item("m", "2"), {Adapter: true, Name: "a", Version: "1"}}, Role: "decode"}})
	for range 20 {
		w.advanceTime(time.Second)
	}
	c.Assert(w.violation, qt.Equals, "")
	var verbs []Verb
	for _, o := range w.orders {
		verbs = append(verbs, o.Verb)
		c.Assert(o.Fence, qt.Equals, uint64(5))
	}
	c.Assert(verbs, qt.DeepEquals, []Verb{Load, Load, SetRole, Unload})
	c.Assert(w.paused, qt.IsFalse)
	c.Assert(w.granted[PermitLoad]+w.granted[PermitWave], qt.Equals, 0)
	c.Assert(w.s.Progress().Remaining, qt.Equals, 0)
}

func TestSendsNoOrdersToUnmanagedEngine(t *testing.T) {
	w := newSimulation(noFaults)
	w.have = Have{Items: []Item{item("m", "1")}}
	w.step(WantChanged{Want{Revision: 1}})
	w.advanceTime(time.Hour)
	qt.Assert(t, w.orders, qt.HasLen, 0)
}

// An observation requested before an order, but answered after it, shows the
// engine's state before the order. Using it would send the same order twice.
func TestOutdatedObservationDoesNotRepeatOrder(t *testing.T) {
	c := qt.New(t)
	s := New(DefaultConfig())
	want := Want{Revision: 1, Items: []Item{item("m", "1")}}
	s.Step(start, WantChanged{want})
	s.Step(start, Observed{ID: s.observeID})
	s.Step(start, Granted{PermitLoad})
	now := start.Add(s.cfg.ObserveEvery)
	observes := s.Step(now, Ticked{})
	c.Assert(observes, qt.HasLen, 1)
	late, ok := observes[0].(Observe)
	c.Assert(ok, qt.IsTrue)
	sent := s.Step(now, Validated{OK: true, Revision: 1})
	s.Step(now, Answered{ID: sent[0].(Send).Order.ID})
	c.Assert(s.Step(now, Observed{ID: late.ID}), qt.HasLen, 0, qt.Commentf("the observation was requested before the order"))
}

func TestSendsNoOrderWhenEngineSawNewerFence(t *testing.T) {
	w := newSimulation(noFaults)
	w.have, w.newest = Have{Fence: 9}, 8
	w.step(WantChanged{Want{Revision: 8, Items: []Item{item("m", "1")}}})
	w.advanceTime(time.Hour)
	qt.Assert(t, w.orders, qt.HasLen, 0)
	qt.Assert(t, w.s.Progress().Behind, qt.IsTrue)
}

func TestUnansweredOrderBlocksOthersUntilWaitOut(t *testing.T) {
	c := qt.New(t)
	s := New(DefaultConfig())
	s.Step(start, WantChanged{Want{Revision: 1, Items: []Item{item("m", "1")}}})
	s.Step(start, Observed{ID: s.observeID})
	s.Step(start, Granted{PermitLoad})
	got := s.Step(start, Validated{OK: true, Revision: 1})
	c.Assert(got, qt.HasLen, 1)
	s.Step(start, Unanswered{ID: got[0].(Send).Order.ID})
	now := start
	for now.Before(start.Add(s.cfg.WaitOut)) {
		now = now.Add(10 * time.Second)
		for _, a := range s.Step(now, Ticked{}) {
			if _, look := a.(Observe); !look {
				t.Fatalf("%T after %s", a, now.Sub(start))
			}
		}
		s.Step(now, Observed{ID: s.observeID})
	}
	c.Assert(s.Progress().Sent, qt.IsNil)
}

// With any sequence of faults, no order overtakes another, none is sent for an
// old configuration or without its permit. Once the faults stop, the engine
// reaches the desired state and every permit is released.
func TestReconciles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failing := true
		w := newSimulation(func(n int) int {
			if !failing {
				return 0
			}
			return rapid.IntRange(0, n-1).Draw(t, "choice")
		})
		versions := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"1", "2", "3", "4"}), 1, 3, rapid.ID)
		var want Want
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			want = Want{Revision: want.Revision + 1, Role: rapid.SampledFrom([]string{"", "p", "d"}).Draw(t, "role")}
			for _, v := range versions.Draw(t, "versions") {
				want.Items = append(want.Items, item("m", v))
			}
			w.newest = want.Revision
			if rapid.Bool().Draw(t, "configuration delayed") {
				w.advanceTime(time.Second)
			}
			w.step(WantChanged{want})
			for range rapid.IntRange(0, 12).Draw(t, "steps") {
				w.running = rapid.IntRange(0, 1).Draw(t, "running")
				w.step(Running{w.running})
				w.advanceTime(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			}
		}
		failing, w.running = false, 0
		w.step(Running{})
		for range 60 {
			w.advanceTime(10 * time.Second)
		}
		for _, i := range want.Items {
			if !slices.Contains(w.have.Items, i) {
				w.violation = "a wanted item is missing"
			}
		}
		if len(w.have.Items) != len(want.Items) || (want.Role != "" && w.have.Role != want.Role) {
			w.violation = "the engine has an unwanted item or role"
		}
		if w.granted[PermitLoad] != 0 || w.granted[PermitWave] != 0 || w.paused {
			w.violation = fmt.Sprintf("a permit was not released or admission not resumed: %v %v %+v", w.granted, w.paused, w.s.Progress())
		}
		if w.violation != "" {
			t.Fatalf("%s: want %+v have %+v orders %+v", w.violation, want, w.have, w.orders)
		}
	})
}
