package ledger

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1000, 0)

func newLedger(writer string) *Ledger {
	cfg := DefaultConfig()
	cfg.Writer, cfg.Incarnation = writer, "1"
	return New(cfg)
}

func others(l *Ledger, team string) float64 {
	cost, _ := l.Others(team)
	return cost
}

func TestOtherWritersAreExtrapolatedBetweenUpdates(t *testing.T) {
	c := qt.New(t)
	l := newLedger("self")
	c.Assert(l.Merge(t0, Counter{"b", "1", "team", 500}), qt.Equals, First)
	c.Assert(others(l, "team"), qt.Equals, 0.0, qt.Commentf("the first update is the baseline"))
	l.Add("team", 10)
	c.Assert(others(l, "team"), qt.Equals, 10.0)
	c.Assert(l.Merge(t0, Counter{"b", "1", "team", 504}), qt.Equals, Fresh)
	c.Assert(others(l, "team"), qt.Equals, 4.0, qt.Commentf("the update replaces the extrapolated cost"))
}

func TestStaleWriterIsNotExtrapolated(t *testing.T) {
	c := qt.New(t)
	l := newLedger("self")
	l.Merge(t0, Counter{"b", "1", "team", 0})
	l.Add("team", 10)
	l.Expire(t0.Add(31 * time.Second))
	c.Assert(others(l, "team"), qt.Equals, 0.0)
	c.Assert(l.Merge(t0.Add(time.Minute), Counter{"b", "1", "team", 70}), qt.Equals, Late)
	c.Assert(others(l, "team"), qt.Equals, 70.0)
}

func TestWriterWithoutUpdatesIsRemoved(t *testing.T) {
	c := qt.New(t)
	l := newLedger("self")
	l.Merge(t0, Counter{"b", "1", "team", 0})
	l.Merge(t0, Counter{"b", "1", "team", 5})
	l.Expire(t0.Add(299 * time.Second))
	c.Assert(l.Tellers("team"), qt.Equals, 1)
	l.Expire(t0.Add(301 * time.Second))
	c.Assert(l.Tellers("team"), qt.Equals, 0)
	c.Assert(others(l, "team"), qt.Equals, 5.0)
}

func TestNewIncarnationKeepsTheSum(t *testing.T) {
	c := qt.New(t)
	l := newLedger("self")
	l.Merge(t0, Counter{"b", "1", "team", 100})
	l.Merge(t0, Counter{"b", "1", "team", 130})
	l.Add("team", 5)
	c.Assert(others(l, "team"), qt.Equals, 35.0)
	c.Assert(l.Merge(t0, Counter{"b", "2", "team", 3}), qt.Equals, First)
	c.Assert(others(l, "team"), qt.Equals, 35.0)
	c.Assert(l.Merge(t0, Counter{"b", "1", "team", 999}), qt.Equals, Nothing)
	c.Assert(others(l, "team"), qt.Equals, 35.0)
}

func TestTableIsBounded(t *testing.T) {
	c := qt.New(t)
	cfg := DefaultConfig()
	cfg.Writer, cfg.MaxRemotes = "self", 3
	l := New(cfg)
	for i := range 20 {
		l.Merge(t0.Add(time.Duration(i)*time.Second), Counter{string(rune('a' + i)), "1", "team", 1})
	}
	c.Assert(l.remotes, qt.Equals, 3)
	c.Assert(len(l.All()), qt.Equals, 4)
}

func TestOwnAndInvalidCountersAreIgnored(t *testing.T) {
	c := qt.New(t)
	l := newLedger("self")
	c.Assert(l.Merge(t0, Counter{"self", "0", "team", 9}), qt.Equals, Nothing)
	c.Assert(l.Merge(t0, Counter{"b", "1", "team", -1}), qt.Equals, Nothing)
	c.Assert(l.Merge(t0, Counter{"b", "1", "", 1}), qt.Equals, Nothing)
}

// The updates of one incarnation may arrive repeatedly and in any order; the cost
// counted is the largest one minus the baseline.
func TestMergeIsAMaximum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger("self")
		l.Merge(t0, Counter{"b", "1", "team", 0})
		updates := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 40).Draw(t, "updates")
		largest := 0.0
		for _, served := range updates {
			l.Merge(t0, Counter{"b", "1", "team", served})
			largest = max(largest, served)
		}
		if got := others(l, "team"); got < largest-1e-6 || got > largest+1e-6 {
			t.Fatalf("counted %v, want %v", got, largest)
		}
	})
}

func TestConfigValidate(t *testing.T) {
	c := qt.New(t)
	c.Assert(DefaultConfig().Validate(), qt.IsNil)
	c.Assert(Config{}.Validate(), qt.IsNotNil)
}
