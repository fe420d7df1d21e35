package roster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against requests to a server that has shut down: one timeout of a router's own
// looked like an outage of the store, and an entry that the store still had afterwards was
// treated as one that had lapsed in the outage.
func TestEntrySeenSinceOutageIsNotKept(t *testing.T) {
	r := New(DefaultConfig())
	r.Put(entryOf(100, false))
	r.StoreLost()
	r.StoreBack(after(time.Second))
	r.Replace(after(time.Second), []Server{entryOf(100, false)})
	qt.Check(t, reasonOf(r.Remove(after(1100*time.Millisecond), "a")), qt.Equals, ReasonRemoved)
	qt.Check(t, r.Has("a"), qt.IsFalse)
}

// Guards against requests to a server that is still draining: the report of another router
// expired though that router kept repeating it.
func TestRepeatedReportStaysInForce(t *testing.T) {
	cfg := DefaultConfig()
	r := New(cfg)
	r.Put(entryOf(100, false))
	for since := time.Duration(0); since < 2*cfg.ReportTTL; since += time.Second {
		r.ShutdownReported(after(since), "a", 100)
		r.Tick(after(since))
		qt.Assert(t, r.entries["a"].usable, qt.IsFalse, qt.Commentf("after %v", since))
	}
}

// A wrong report has a bounded cost however long it is repeated, and one that is no longer
// repeated expires soon.
func TestRepeatedReportExpires(t *testing.T) {
	cfg := DefaultConfig()
	for name, tc := range map[string]struct{ repeatedFor, expires time.Duration }{
		"forever":          {time.Hour, cfg.ReportMaxTTL},
		"for a short time": {10 * time.Second, cfg.ReportTTL},
		"for longer":       {time.Minute, time.Minute + cfg.ReportGap},
	} {
		r := New(cfg)
		r.Put(entryOf(100, false))
		var since time.Duration
		for ; since < 2*cfg.ReportMaxTTL && (since == 0 || !r.entries["a"].usable); since += 500 * time.Millisecond {
			if since < tc.repeatedFor {
				r.ShutdownReported(after(since), "a", 100)
			}
			r.Tick(after(since))
		}
		qt.Check(t, since-500*time.Millisecond >= tc.expires-time.Second && since <= tc.expires+time.Second, qt.IsTrue, qt.Commentf("%s: %v", name, since))
	}
}
