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

// world is an engine and the platform as far as the orders see them.
type world struct {
	s       *State
	now     time.Time
	have    Have
	held    map[Permit]int
	paused  bool
	running int
	// newest is the revision that a validation tells.
	newest uint64
	// late holds orders without an answer that have not taken effect yet.
	late []Order
	// choose returns a number below n, for what may go either way.
	choose func(n int) int
	orders []Order
	events []Event
	bad    string
}

func newWorld(choose func(int) int) *world {
	return &world{s: New(DefaultConfig()), now: start, held: map[Permit]int{}, choose: choose}
}

// step feeds the event and, one after the other, those that it leads to.
func (w *world) step(ev Event) {
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

func (w *world) perform(a Action) {
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
		w.held[a.Permit]++
		w.step(Granted(a))
	case Release:
		w.held[a.Permit]--
	case Pause:
		w.paused = a.On
	case Validate:
		w.step(Validated{OK: w.choose(8) != 1, Revision: w.newest})
	case Send:
		w.send(a.Order)
	}
}

func (w *world) send(o Order) {
	switch {
	case len(w.late) > 0 && w.now.Sub(w.s.sentAt) < w.s.cfg.WaitOut:
		w.bad = "an order was sent while another could take effect"
	case o.Fence != w.newest:
		w.bad = "an order of an older configuration"
	case w.held[permitFor(o.Verb)] != 1:
		w.bad = "an order without its permit"
	case o.Verb == SetRole && (!w.paused || w.running > 0):
		w.bad = "a change of role while requests run"
	}
	w.orders = append(w.orders, o)
	if w.choose(5) == 1 {
		w.late = append(w.late, o)
		w.step(Unanswered{ID: o.ID})
		return
	}
	w.apply(o)
	w.step(Answered{ID: o.ID})
}

func (w *world) apply(o Order) {
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

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, o := range w.late {
		w.apply(o)
	}
	w.late = nil
	w.step(Ticked{})
}

func never(int) int { return 0 }

func TestLoadsBeforeItUnloads(t *testing.T) {
	c := qt.New(t)
	w := newWorld(never)
	w.have = Have{Items: []Item{item("m", "1")}, Role: "mixed"}
	w.newest = 5
	w.step(Wanted{Want{Revision: 5, Items: []Item{item("m", "2"), {Adapter: true, Name: "a", Version: "1"}}, Role: "decode"}})
	for range 20 {
		w.pass(time.Second)
	}
	c.Assert(w.bad, qt.Equals, "")
	var verbs []Verb
	for _, o := range w.orders {
		verbs = append(verbs, o.Verb)
		c.Assert(o.Fence, qt.Equals, uint64(5))
	}
	c.Assert(verbs, qt.DeepEquals, []Verb{Load, Load, SetRole, Unload})
	c.Assert(w.paused, qt.IsFalse)
	c.Assert(w.held[PermitLoad]+w.held[PermitWave], qt.Equals, 0)
	c.Assert(w.s.Progress().Left, qt.Equals, 0)
}

func TestLeavesAnUnmanagedEngineAlone(t *testing.T) {
	w := newWorld(never)
	w.have = Have{Items: []Item{item("m", "1")}}
	w.step(Wanted{Want{Revision: 1}})
	w.pass(time.Hour)
	qt.Assert(t, w.orders, qt.HasLen, 0)
}

// What an engine had before an order is no word on what it has after it, even
// if that answer comes late.
func TestALateObservationGivesNoOrderTwice(t *testing.T) {
	c := qt.New(t)
	s := New(DefaultConfig())
	want := Want{Revision: 1, Items: []Item{item("m", "1")}}
	s.Step(start, Wanted{want})
	s.Step(start, Observed{ID: s.lookID})
	s.Step(start, Granted{PermitLoad})
	now := start.Add(s.cfg.ObserveEvery)
	looks := s.Step(now, Ticked{})
	c.Assert(looks, qt.HasLen, 1)
	late, ok := looks[0].(Observe)
	c.Assert(ok, qt.IsTrue)
	sent := s.Step(now, Validated{OK: true, Revision: 1})
	s.Step(now, Answered{ID: sent[0].(Send).Order.ID})
	c.Assert(s.Step(now, Observed{ID: late.ID}), qt.HasLen, 0, qt.Commentf("the engine had nothing when it was asked"))
}

func TestGivesNoOrderWhenTheEngineSawANewerFence(t *testing.T) {
	w := newWorld(never)
	w.have, w.newest = Have{Fence: 9}, 8
	w.step(Wanted{Want{Revision: 8, Items: []Item{item("m", "1")}}})
	w.pass(time.Hour)
	qt.Assert(t, w.orders, qt.HasLen, 0)
	qt.Assert(t, w.s.Progress().Behind, qt.IsTrue)
}

func TestWaitsOutAnOrderWithoutAnswer(t *testing.T) {
	c := qt.New(t)
	s := New(DefaultConfig())
	s.Step(start, Wanted{Want{Revision: 1, Items: []Item{item("m", "1")}}})
	s.Step(start, Observed{ID: s.lookID})
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
		s.Step(now, Observed{ID: s.lookID})
	}
	c.Assert(s.Progress().Sent, qt.IsNil)
}

// Whatever fails in between: no order overtakes another, none is of an old
// configuration or without its permit, and in the end the engine has what is
// wanted and every permit is back.
func TestReconciles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failing := true
		w := newWorld(func(n int) int {
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
			if rapid.Bool().Draw(t, "heard late") {
				w.pass(time.Second)
			}
			w.step(Wanted{want})
			for range rapid.IntRange(0, 12).Draw(t, "steps") {
				w.running = rapid.IntRange(0, 1).Draw(t, "running")
				w.step(Running{w.running})
				w.pass(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			}
		}
		failing, w.running = false, 0
		w.step(Running{})
		for range 60 {
			w.pass(10 * time.Second)
		}
		for _, i := range want.Items {
			if !slices.Contains(w.have.Items, i) {
				w.bad = "something wanted is missing"
			}
		}
		if len(w.have.Items) != len(want.Items) || (want.Role != "" && w.have.Role != want.Role) {
			w.bad = "the engine has something else"
		}
		if w.held[PermitLoad] != 0 || w.held[PermitWave] != 0 || w.paused {
			w.bad = fmt.Sprintf("something was not given back: %v %v %+v", w.held, w.paused, w.s.Progress())
		}
		if w.bad != "" {
			t.Fatalf("%s: want %+v have %+v orders %+v", w.bad, want, w.have, w.orders)
		}
	})
}
