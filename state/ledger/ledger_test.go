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

func TestOthersArePresumedAlikeBetweenWords(t *testing.T) {
	c := qt.New(t)
	l := newLedger("self")
	c.Assert(l.Merge(t0, Counter{"b", "1", "team", 500}), qt.Equals, First)
	c.Assert(others(l, "team"), qt.Equals, 0.0, qt.Commentf("the first word is the base"))
	l.Add("team", 10)
	c.Assert(others(l, "team"), qt.Equals, 10.0)
	c.Assert(l.Merge(t0, Counter{"b", "1", "team", 504}), qt.Equals, Fresh)
	c.Assert(others(l, "team"), qt.Equals, 4.0, qt.Commentf("the word replaces the presumption"))
}

func TestStaleWriterIsNoLongerPresumed(t *testing.T) {
	c := qt.New(t)
	l := newLedger("self")
	l.Merge(t0, Counter{"b", "1", "team", 0})
	l.Add("team", 10)
	l.Expire(t0.Add(31 * time.Second))
	c.Assert(others(l, "team"), qt.Equals, 0.0)
	c.Assert(l.Merge(t0.Add(time.Minute), Counter{"b", "1", "team", 70}), qt.Equals, Late)
	c.Assert(others(l, "team"), qt.Equals, 70.0)
}

func TestWriterSilentForLongIsDropped(t *testing.T) {
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

func TestNewIncarnationGoesOnWithoutJump(t *testing.T) {
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

func TestOwnAndBrokenCountersAreIgnored(t *testing.T) {
	c := qt.New(t)
	l := newLedger("self")
	c.Assert(l.Merge(t0, Counter{"self", "0", "team", 9}), qt.Equals, Nothing)
	c.Assert(l.Merge(t0, Counter{"b", "1", "team", -1}), qt.Equals, Nothing)
	c.Assert(l.Merge(t0, Counter{"b", "1", "", 1}), qt.Equals, Nothing)
}

// The words of one incarnation may come repeated and in any order: the sum
// counted is the largest less the base.
func TestMergeIsAMaximum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger("self")
		l.Merge(t0, Counter{"b", "1", "team", 0})
		words := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 40).Draw(t, "words")
		most := 0.0
		for _, w := range words {
			l.Merge(t0, Counter{"b", "1", "team", w})
			most = max(most, w)
		}
		if got := others(l, "team"); got < most-1e-6 || got > most+1e-6 {
			t.Fatalf("counted %v, want %v", got, most)
		}
	})
}

func TestConfigValidate(t *testing.T) {
	c := qt.New(t)
	c.Assert(DefaultConfig().Validate(), qt.IsNil)
	c.Assert(Config{}.Validate(), qt.IsNotNil)
}
