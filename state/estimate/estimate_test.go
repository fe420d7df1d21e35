package estimate

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestEstimateUsesMostSpecificAverage(t *testing.T) {
	c := qt.New(t)
	tab := New(DefaultConfig())
	c.Assert(tab.Estimate("a", "long", 0), qt.Equals, 1.0)
	c.Assert(tab.Estimate("a", "long", 40), qt.Equals, 40.0)
	tab.Observe("b", "short", 10)
	c.Assert(tab.Estimate("a", "long", 0), qt.Equals, 10.0)
	tab.Observe("a", "short", 20)
	c.Assert(tab.Estimate("a", "long", 0), qt.Equals, 20.0)
	tab.Observe("a", "long", 100)
	c.Assert(tab.Estimate("a", "long", 0), qt.Equals, 100.0)
}

func TestHintLosesWeightAsSamplesAccumulate(t *testing.T) {
	c := qt.New(t)
	tab := New(DefaultConfig())
	for range 99 {
		tab.Observe("a", "x", 10)
	}
	c.Assert(tab.Estimate("a", "x", 1010) < 21, qt.IsTrue)
}

func TestTableIsBounded(t *testing.T) {
	c := qt.New(t)
	cfg := DefaultConfig()
	cfg.MaxEntries = 4
	tab := New(cfg)
	for i := range 100 {
		tab.Observe(string(rune('a'+i)), "x", 1)
	}
	c.Assert(len(tab.entries) <= 4, qt.IsTrue)
}

func TestConfigValidate(t *testing.T) {
	c := qt.New(t)
	c.Assert(DefaultConfig().Validate(), qt.IsNil)
	c.Assert(Config{}.Validate(), qt.ErrorMatches, "(?s).*")
}
