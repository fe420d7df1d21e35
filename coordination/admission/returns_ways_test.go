package admission

import "testing"

// The ways to choose Retry-After that are compared, under the loads that refuse many
// callers. The drain time alone sends callers back at once; promises send them back when
// there is room; kept promises also leave it free.
func returnWays() []retryTimes {
	promised := func(name string, kept float64) retryTimes {
		return retryTimes{name: name, returns: ReturnsOn, isRecognised: true, adjust: func(c *Config) { c.Promise.KeptShare = kept }}
	}
	return []retryTimes{
		{name: "today", returns: ReturnsOff, isRecognised: true},
		{name: "drain time", returns: ReturnsOff, drainOnly: true, isRecognised: true},
		promised("promised", 0),
		promised("promised and kept", 1),
	}
}

func TestReturnWays(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a minute")
	}
	for _, load := range heavyReturns() {
		for _, way := range returnWays() {
			var flood, others returnTally
			for seed := range uint64(3) {
				f := newReturnsFleet(load, way, seed)
				f.run()
				flood.add(f.sum(true))
				others.add(f.sum(false))
			}
			t.Logf("%-24s %-18s flood  %v", load.name, way.name, flood)
			t.Logf("%-24s %-18s others %v", load.name, way.name, others)
		}
	}
}
