package confirm_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/confirm"
	"goldcrestport/state/config"
)

func revision(n uint64, digest string) *config.Document {
	return &config.Document{Revision: n, PlanDigest: digest}
}

// run applies the events and returns the last action.
func run(p confirm.Proposal, events ...confirm.Event) confirm.Action {
	s := confirm.New(p)
	action := s.Step(confirm.Started{})
	for _, ev := range events {
		action = s.Step(ev)
	}
	return action
}

func kindOf(a confirm.Action) confirm.Kind {
	if done, ok := a.(confirm.Done); ok {
		return done.Kind
	}
	return 0
}

func TestResults(t *testing.T) {
	propose := confirm.Proposal{Base: 4, Digest: "mine", Next: &config.Document{}, Attempts: 5}
	lookUp := confirm.Proposal{Base: 4, Digest: "mine", Attempts: 5}
	at := func(n uint64, digest string) confirm.Event {
		return confirm.HeadRead{Head: revision(n, digest), Version: n}
	}
	entry := func(n uint64, digest string) confirm.Event { return confirm.EntryRead{Entry: revision(n, digest)} }
	tests := []struct {
		name   string
		p      confirm.Proposal
		events []confirm.Event
		kind   confirm.Kind
	}{
		{"accepted", propose, []confirm.Event{at(4, "x"), confirm.EntryRead{}, confirm.EntryWritten{}, confirm.HeadWritten{}}, confirm.Accepted},
		{"entry already written", propose, []confirm.Event{at(4, "x"), entry(4, "x"), confirm.HeadWritten{}}, confirm.Accepted},
		{"already accepted", propose, []confirm.Event{at(5, "mine")}, confirm.Accepted},
		{"already accepted, then followed", propose, []confirm.Event{at(9, "y"), entry(5, "mine")}, confirm.Accepted},
		{"another followed", propose, []confirm.Event{at(5, "theirs")}, confirm.Stale},
		{"another followed long ago", propose, []confirm.Event{at(9, "y"), entry(5, "theirs")}, confirm.Stale},
		{"base not reached", propose, []confirm.Event{at(3, "x")}, confirm.Stale},
		{"no base at all", propose, []confirm.Event{confirm.HeadRead{}}, confirm.Stale},
		{"entry overwritten", propose, []confirm.Event{at(20000, "y"), entry(10005, "z")}, confirm.HistoryOverwritten},
		{"lost answer, took effect", propose, []confirm.Event{at(4, "x"), entry(4, "x"), confirm.HeadInDoubt{}, at(5, "mine")}, confirm.Accepted},
		{"lost answer, another won", propose, []confirm.Event{at(4, "x"), entry(4, "x"), confirm.HeadInDoubt{}, at(5, "theirs")}, confirm.Stale},
		{"lost answer, then no time", propose, []confirm.Event{at(4, "x"), entry(4, "x"), confirm.HeadInDoubt{}, confirm.Expired{}}, confirm.OutcomeUnknown},
		{"lost answer, then refused, then no time", propose, []confirm.Event{at(4, "x"), entry(4, "x"), confirm.HeadInDoubt{}, at(4, "x"), entry(4, "x"), confirm.HeadRefused{}, confirm.Expired{}}, confirm.OutcomeUnknown},
		{"refused, then no time", propose, []confirm.Event{at(4, "x"), entry(4, "x"), confirm.HeadRefused{}, confirm.Expired{}}, confirm.Unavailable},
		{"no answers", propose, []confirm.Event{confirm.ReadFailed{}, confirm.ReadFailed{}, confirm.ReadFailed{}, confirm.ReadFailed{}, confirm.ReadFailed{}, confirm.ReadFailed{}}, confirm.Unavailable},
		{"too large", propose, []confirm.Event{at(4, "x"), entry(4, "x"), confirm.HeadTooLarge{}}, confirm.TooLarge},
		{"look up: open", lookUp, []confirm.Event{at(4, "x")}, confirm.Open},
		{"look up: accepted", lookUp, []confirm.Event{at(5, "mine")}, confirm.Accepted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, kindOf(run(test.p, test.events...)), qt.Equals, test.kind)
		})
	}
}

func TestHeadIsWrittenOnlyAfterItsEntry(t *testing.T) {
	c := qt.New(t)
	p := confirm.Proposal{Base: 4, Digest: "mine", Next: &config.Document{Drain: []string{"b"}}, Attempts: 5}
	head := revision(4, "x")
	head.Drain = []string{"a"}
	read := confirm.HeadRead{Head: head, Version: 77}
	c.Assert(run(p, read), qt.Equals, confirm.Action(confirm.ReadEntry{Revision: 4}))
	stale := confirm.EntryRead{Entry: revision(1, "old"), Version: 3}
	write, ok := run(p, read, stale).(confirm.WriteEntry)
	c.Assert(ok, qt.IsTrue)
	c.Assert(write.Version, qt.Equals, uint64(3))
	c.Assert(write.Entry, qt.DeepEquals, revision(4, "x"))
	swap, ok := run(p, read, stale, confirm.EntryWritten{}).(confirm.WriteHead)
	c.Assert(ok, qt.IsTrue)
	c.Assert(swap.Version, qt.Equals, uint64(77))
	c.Assert(swap.Document.Revision, qt.Equals, uint64(5))
	c.Assert(swap.Document.Back.Apply(swap.Document).Drain, qt.DeepEquals, []string{"a"})
}
