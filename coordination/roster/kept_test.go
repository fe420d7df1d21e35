package roster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a server that gets work for a bound after it left: one time-out of a router's
// own looked like an outage of the store, and an entry that the store still had afterwards was
// taken for one that had lapsed in it.
func TestAnEntryThatOutlastedAnOutageIsNotKept(t *testing.T) {
	r := New(DefaultConfig())
	r.Put(entryOf(100, false))
	r.StoreLost()
	r.StoreBack(after(time.Second))
	r.Replace(after(time.Second), []Server{entryOf(100, false)})
	qt.Check(t, one(r.Remove(after(1100*time.Millisecond), "a")), qt.Equals, ReasonRemoved)
	qt.Check(t, r.Has("a"), qt.IsFalse)
}

// Guards against a leaving server that gets work again while it still drains: the time of
// another router's word ended, though that router goes on to say so.
func TestAWordThatIsRepeatedHolds(t *testing.T) {
	cfg := DefaultConfig()
	r := New(cfg)
	r.Put(entryOf(100, false))
	for since := time.Duration(0); since < 2*cfg.WordTime; since += time.Second {
		r.Told(after(since), "a", 100)
		r.Tick(after(since))
		qt.Assert(t, r.entries["a"].usable, qt.IsFalse, qt.Commentf("after %v", since))
	}
}

// However long a word is said, a wrong one costs a bounded time; one that is not said any more
// ends soon.
func TestARepeatedWordEnds(t *testing.T) {
	cfg := DefaultConfig()
	for name, tc := range map[string]struct{ said, ends time.Duration }{
		"for ever":         {time.Hour, cfg.WordMost},
		"for a short time": {10 * time.Second, cfg.WordTime},
		"for longer":       {time.Minute, time.Minute + cfg.WordGap},
	} {
		r := New(cfg)
		r.Put(entryOf(100, false))
		var since time.Duration
		for ; since < 2*cfg.WordMost && (since == 0 || !r.entries["a"].usable); since += 500 * time.Millisecond {
			if since < tc.said {
				r.Told(after(since), "a", 100)
			}
			r.Tick(after(since))
		}
		qt.Check(t, since-500*time.Millisecond >= tc.ends-time.Second && since <= tc.ends+time.Second, qt.IsTrue, qt.Commentf("%s: %v", name, since))
	}
}
