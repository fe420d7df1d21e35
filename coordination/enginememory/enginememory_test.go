package enginememory

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestConfigErrorNamesField(t *testing.T) {
	qt.Check(t, DefaultConfig().Validate(), qt.IsNil)
	qt.Check(t, Config{Margin: 1}.Validate(), qt.ErrorMatches, "(?s).*Margin.*")
}

// memory is that of an engine with 64 slots: 39 runs of 12,000 tokens fill it.
const memory = 475_145

// Prompts of 12,000 tokens fill the memory of an engine at 39 of its 64 slots.
func TestLongPromptsFillTheMemoryBeforeTheSlots(t *testing.T) {
	c := DefaultConfig()
	var l Ledger
	run := Need{Own: 12_000, Output: 100}
	for i := range 39 {
		qt.Assert(t, c.Fits(memory, &l, Others{}, run), qt.IsTrue, qt.Commentf("run %d", i))
		l.Add(run)
	}
	qt.Check(t, l.Use(), qt.Equals, Use{Now: 468_000, End: 471_900})
	qt.Check(t, c.Fits(memory, &l, Others{}, run), qt.IsFalse)
	qt.Check(t, c.Fits(memory, &l, Others{}, Need{Own: 2_000, Output: 20}), qt.IsTrue)
	l.Remove(run)
	qt.Check(t, c.Fits(memory, &l, Others{}, run), qt.IsTrue)
}

// A part that several runs share is kept once, until the last of them ends.
func TestSharedPartsCountOnce(t *testing.T) {
	c := DefaultConfig()
	var l Ledger
	run := Need{Own: 6_610, Parts: []Part{{ID: 1, Tokens: 5_390}}}
	for range 64 {
		qt.Assert(t, c.Fits(memory, &l, Others{}, run), qt.IsTrue)
		l.Add(run)
	}
	qt.Check(t, l.Use().Now, qt.Equals, 64*6_610+5_390)
	for range 63 {
		l.Remove(run)
	}
	qt.Check(t, l.Use().Now, qt.Equals, 12_000)
}

// What is estimated counts less than what is known: runs of other routers, and what is to be generated.
func TestEstimatesAreDiscounted(t *testing.T) {
	c := Config{Margin: 0.5, MeanGain: 0.1, LeastRuns: 1}
	var l Ledger
	qt.Check(t, c.Fits(1000, &l, Others{Runs: 10, Mean: 100}, Need{Own: 500}), qt.IsTrue)
	qt.Check(t, c.Fits(1000, &l, Others{Runs: 10, Mean: 100}, Need{Own: 501}), qt.IsFalse)
	qt.Check(t, c.Fits(1000, &l, Others{Runs: 10}, Need{Own: 1000}), qt.IsTrue)
	qt.Check(t, c.Fits(1000, &l, Others{}, Need{Own: 500, Output: 1000}), qt.IsTrue)
	qt.Check(t, c.Fits(1000, &l, Others{}, Need{Own: 500, Output: 1002}), qt.IsFalse)
}

func TestTooLargeForAnEmptyEngine(t *testing.T) {
	qt.Check(t, TooLarge(memory, memory), qt.IsTrue)
	qt.Check(t, TooLarge(memory, memory-1), qt.IsFalse)
	qt.Check(t, TooLarge(0, memory), qt.IsFalse)
}

// The mean is that of the runs so far, and later one of the last tens; it is unknown at first.
func TestMeanSizeOfRuns(t *testing.T) {
	c := DefaultConfig()
	var m Mean
	for range c.LeastRuns - 1 {
		m.Add(c, Need{Own: 90, Output: 10, Parts: []Part{{ID: 1, Tokens: 50}}})
	}
	qt.Check(t, m.Tokens(c), qt.Equals, 0.0)
	m.Add(c, Need{Own: 100})
	qt.Check(t, int(m.Tokens(c)+0.5), qt.Equals, 100)
	for range 500 {
		m.Add(c, Need{Own: 1000})
		m.Remove(Need{Own: 1000})
	}
	// Those that end soon weigh less than those that go on.
	qt.Check(t, m.Tokens(c) > 130 && m.Tokens(c) < 160, qt.IsTrue, qt.Commentf("%v", m.Tokens(c)))
}

// The counts are always the sums over the runs that have not ended.
func TestLedgerIsTheSumOfItsRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		var runs []Need
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(runs) > 0 && rapid.Bool().Draw(t, "ends") {
				i := rapid.IntRange(0, len(runs)-1).Draw(t, "which")
				l.Remove(runs[i])
				runs = append(runs[:i:i], runs[i+1:]...)
			} else {
				n := Need{Own: rapid.IntRange(0, 1000).Draw(t, "own"), Output: rapid.IntRange(0, 100).Draw(t, "output")}
				for id := range rapid.IntRange(0, 3).Draw(t, "parts") {
					n.Parts = append(n.Parts, Part{ID: uint64(id), Tokens: 10 * (id + 1)})
				}
				l.Add(n)
				runs = append(runs, n)
			}
			now, output, seen := 0, 0, map[uint64]bool{}
			for _, n := range runs {
				now, output = now+n.Own, output+n.Output
				for _, part := range n.Parts {
					if !seen[part.ID] {
						seen[part.ID] = true
						now += part.Tokens
					}
				}
			}
			if got, want := l.Use(), (Use{Now: now, End: now + output}); got != want {
				t.Fatalf("got %v, want %v", got, want)
			}
		}
	})
}
