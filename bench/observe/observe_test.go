package observe

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/standin/runs"
)

// record answers as an engine with the given runs does.
type record struct {
	runs  []runs.Run
	stats runs.Stats
}

func (r *record) Get(_, path string, into any) error {
	var answer any = r.stats
	if path != "/admin/stats" {
		from := 0
		if err := json.Unmarshal([]byte(path[len("/admin/runs?from="):]), &from); err != nil {
			return err
		}
		answer = map[string]any{"runs": r.runs[from:]}
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

func TestRunsCountsEachOnce(t *testing.T) {
	c := qt.New(t)
	run := func(n int64, team, state string, cost int64) runs.Run {
		return runs.Run{Number: n, RequestID: team, Team: team, State: state, CostTokens: cost, PromptTokens: 100}
	}
	r := &record{runs: []runs.Run{run(0, "a", runs.Running, 110), run(1, "b", runs.Done, 120)}}
	f := NewRuns(r, 0.1, "x")
	s, err := f.Poll(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(s.Cost, qt.DeepEquals, map[string]float64{"a": 20, "b": 30})
	c.Assert(s.Running, qt.DeepEquals, map[string]int{"a": 1})
	c.Assert(f.engines[0].next, qt.Equals, int64(0))

	r.runs = []runs.Run{run(0, "a", runs.Done, 150), r.runs[1], run(2, "b", runs.Cancelled, 105)}
	s, err = f.Poll(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(s.Cost, qt.DeepEquals, map[string]float64{"a": 60, "b": 45})
	c.Assert(s.Ended, qt.Equals, 3)
	c.Assert(s.EndedCost, qt.Equals, 105.0)
	c.Assert(f.engines[0].next, qt.Equals, int64(3))

	again, err := f.Poll(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(again.Cost, qt.DeepEquals, s.Cost)
	_, ok := f.Started("a")
	c.Assert(ok, qt.IsTrue)
}

func TestSlots(t *testing.T) {
	c := qt.New(t)
	r := &record{stats: runs.Stats{Running: 2, BusySlotMS: 1500}}
	s, err := SampleSlots(context.Background(), r, []string{"x", "y"}, func() int { return 5 })
	c.Assert(err, qt.IsNil)
	c.Assert(s.Busy, qt.Equals, 3*time.Second)
	c.Assert(s.Waiting, qt.IsTrue)

	t0 := time.Unix(100, 0)
	at := func(ms int, busy time.Duration, waiting bool) SlotSample {
		return SlotSample{At: t0.Add(time.Duration(ms) * time.Millisecond), Busy: busy, Waiting: waiting}
	}
	samples := []SlotSample{
		at(-10, 0, true), at(0, time.Second, true), at(1000, 4*time.Second, true),
		at(2000, 5*time.Second, false), at(3000, 9*time.Second, true),
	}
	sum := SumSlots(samples, 4, t0, t0.Add(time.Minute))
	c.Assert(sum, qt.Equals, Slots{
		Total: 12 * time.Second, Busy: 8 * time.Second, IdleWhileWaiting: time.Second, Samples: 4,
	})
}

func TestRateAcrossRestart(t *testing.T) {
	c := qt.New(t)
	t0 := time.Unix(100, 0)
	before := Use{At: t0, CPU: time.Second, Metrics: Metrics{"a": 100}}
	after := Use{At: t0.Add(10 * time.Second), CPU: 3 * time.Second, Metrics: Metrics{"a": 300}}
	rate, ok := Rate(before, after, "a")
	c.Assert(ok, qt.IsTrue)
	c.Assert(rate, qt.Equals, 20.0)
	c.Assert(CPUFraction(before, after), qt.Equals, 0.2)
	after.Metrics["a"], after.CPU = 50, 500*time.Millisecond
	rate, _ = Rate(before, after, "a")
	c.Assert(rate, qt.Equals, 5.0)
	c.Assert(CPUFraction(before, after), qt.Equals, 0.05)
	_, ok = Rate(before, after, "a", "b")
	c.Assert(ok, qt.IsFalse)
}
