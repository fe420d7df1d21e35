package staleness

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestMaySendByStaleness(t *testing.T) {
	const recent, old = 1700 * time.Millisecond, 1900 * time.Millisecond
	for name, tc := range map[string]struct {
		k    Knowledge
		want bool
	}{
		"young":                                {Knowledge{Known: true, Age: recent}, true},
		"young at a saturated router":          {Knowledge{Known: true, Age: recent, Saturated: true}, true},
		"old":                                  {Knowledge{Known: true, Age: old}, false},
		"none":                                 {Knowledge{}, false},
		"old in an outage of the store":        {Knowledge{Known: true, Age: old, StoreUnreachable: true}, true},
		"none in an outage, started by a seed": {Knowledge{StoreUnreachable: true}, true},
		"old at a router that is saturated":    {Knowledge{Known: true, Age: old, StoreUnreachable: true, Saturated: true}, false},
		"old, and the server answered since":   {Knowledge{Known: true, Age: old, Answered: true, SinceAnswer: recent}, true},
		"old, and the server answered before":  {Knowledge{Known: true, Age: old, Answered: true, SinceAnswer: old}, false},
		"saturated, and the server answered":   {Knowledge{Known: true, Age: old, Answered: true, Saturated: true}, false},
	} {
		qt.Check(t, DefaultConfig().MaySend(tc.k), qt.Equals, tc.want, qt.Commentf("%s", name))
	}
}

// For any view: while the store is reachable, no request relies on a view or a response of the
// server that is older than the bound less the time reserved for sending; and an outage of the
// store doesn't stop a router that is not saturated.
func TestNoRequestReliesOnViewOlderThanBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 6000).Draw(t, name)) * time.Millisecond
		}
		k := Knowledge{
			Known: rapid.Bool().Draw(t, "known"), Age: ms("age"), StoreUnreachable: rapid.Bool().Draw(t, "away"),
			Saturated: rapid.Bool().Draw(t, "saturated"), Answered: rapid.Bool().Draw(t, "answered"), SinceAnswer: ms("since"),
		}
		c := DefaultConfig()
		limit := c.Bound - c.TransitTime
		youngest := 2 * c.Bound
		if k.Known {
			youngest = k.Age
		}
		if k.Answered {
			youngest = min(youngest, k.SinceAnswer)
		}
		if c.MaySend(k) && !k.StoreUnreachable && youngest > limit {
			t.Fatalf("sent by a view or response that is %v old: %+v", youngest, k)
		}
		if k.StoreUnreachable && !k.Saturated && !c.MaySend(k) {
			t.Fatalf("an outage of the store stops the fleet: %+v", k)
		}
		if c.IsBlind(k) && c.MaySend(k) {
			t.Fatalf("sends although IsBlind: %+v", k)
		}
	})
}

// The store is read before the view is too old, and not while the store is unreachable.
func TestStoreIsReadBeforeViewIsStale(t *testing.T) {
	c := DefaultConfig()
	qt.Check(t, c.NeedsRead(Knowledge{Known: true, Age: 1500 * time.Millisecond}), qt.IsFalse)
	qt.Check(t, c.NeedsRead(Knowledge{Known: true, Age: 1600 * time.Millisecond}), qt.IsTrue)
	qt.Check(t, c.NeedsRead(Knowledge{}), qt.IsTrue)
	qt.Check(t, c.NeedsRead(Knowledge{Known: true, Age: 5 * time.Second, StoreUnreachable: true}), qt.IsFalse)
}

func TestValidateNamesInvalidField(t *testing.T) {
	qt.Check(t, DefaultConfig().Validate(), qt.IsNil)
	qt.Check(t, Config{Bound: time.Second, TransitTime: time.Second}.Validate(), qt.ErrorMatches, "Bound .*")
}
