package router

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestport/coordination/dispatch"
	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/wire"
)

// applyControl updates a view of registrations as a sidecar does for a message:
// interests first, then empties, which end a registration.
func applyControl(view map[string]uint32, pulls map[uint64]string, m *wire.ControlUp) {
	for _, i := range m.Interests {
		view[i.Team] = i.Count
	}
	for _, e := range m.Empties {
		view[pulls[e.Pull]] = 0
	}
}

// Guards against merging control messages in a way that changes their meaning:
// a sidecar's view of the registrations must be the same after the merged
// messages as after the separate ones.
func TestMergedMessagesKeepTheirMeaning(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := []string{"a", "b"}
		pulls := map[uint64]string{1: "a", 2: "b"}
		queued := make(chan *wire.ControlUp, controlQueueSize)
		want, got := map[string]uint32{}, map[string]uint32{}
		n := rapid.IntRange(1, 20).Draw(t, "messages")
		for i := range n {
			m := &wire.ControlUp{Empties: []*wire.PullEmpty{{Pull: uint64(rapid.IntRange(1, 2).Draw(t, "pull"))}}}
			if rapid.Bool().Draw(t, "interest") {
				m = &wire.ControlUp{Interests: []*wire.Interest{{Team: rapid.SampledFrom(teams).Draw(t, "team"), Count: uint32(i + 1)}}}
			}
			applyControl(want, pulls, m)
			queued <- m
		}
		sent := 0
		for next := <-queued; next != nil; sent++ {
			var merged *wire.ControlUp
			merged, next = mergeQueued(next, queued)
			applyControl(got, pulls, merged)
		}
		for _, team := range teams {
			if got[team] != want[team] {
				t.Fatalf("%s: %d, want %d", team, got[team], want[team])
			}
		}
		if sent > n {
			t.Fatalf("%d messages became %d", n, sent)
		}
	})
}

func TestInterestsAreMerged(t *testing.T) {
	queued := make(chan *wire.ControlUp, controlQueueSize)
	for range 10 {
		queued <- &wire.ControlUp{Interests: []*wire.Interest{{Team: "a"}}}
	}
	merged, rest := mergeQueued(<-queued, queued)
	qt.Assert(t, merged.Interests, qt.HasLen, 10)
	qt.Assert(t, rest, qt.IsNil)
}

func TestResultOfAnAttempt(t *testing.T) {
	ok, failed := dispatch.Succeeded{ID: "1", Sidecar: "s"}, dispatch.Failed{ID: "1", Sidecar: "s"}
	for name, test := range map[string]struct {
		status int
		o      outcome.Outcome
		want   dispatch.Event
	}{
		"answer":        {200, outcome.Outcome{Kind: outcome.Completed}, ok},
		"client error":  {422, outcome.Outcome{Kind: outcome.Completed}, ok},
		"server error":  {500, outcome.Outcome{Kind: outcome.Completed}, failed},
		"truncated":     {200, outcome.Outcome{Kind: outcome.Failed, Reason: outcome.ReasonBackend}, failed},
		"no answer":     {0, outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.ReasonBackend}, failed},
		"link lost":     {0, outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.ReasonLinkLost}, failed},
		"caller gone":   {200, outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.ReasonCancelled}, nil},
		"late":          {0, outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.ReasonDeadline}, nil},
		"sidecar stops": {0, outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.ReasonLeaving}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			c := &call{id: "1", relay: &relay{status: test.status}}
			d := decision{send: &dispatch.Send{ID: "1", Sidecar: "s"}}
			qt.Assert(t, c.backendResult(d, test.o), qt.Equals, test.want)
		})
	}
	abandoned := &call{decisions: make(chan decision, decisionQueueSize)}
	qt.Assert(t, abandoned.unstartedPull(), qt.Equals, uint64(0))
	abandoned.decisions <- decision{send: &dispatch.Send{Pull: 9}}
	qt.Assert(t, abandoned.unstartedPull(), qt.Equals, uint64(9))
	for declined, want := range map[bool]dispatch.Event{
		true:  dispatch.Declined{ID: "1", Sidecar: "s"},
		false: dispatch.Failed{ID: "1", Sidecar: "s", Retry: true},
	} {
		c := &call{id: "1", relay: &relay{declined: declined}}
		qt.Assert(t, c.redispatchEvent(decision{send: &dispatch.Send{Sidecar: "s"}}), qt.Equals, want)
	}
}
