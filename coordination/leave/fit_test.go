package leave

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var epoch = time.Unix(1000, 0)

// Guards against requests that are taken so late that they run and are cut at the bound of the shutdown. The load:
// short requests that come late as streams keep the process running.
func TestWhatIsTakenEndsBeforeTheBound(t *testing.T) {
	c := Config{Bound: 6 * time.Second}
	for name, one := range map[string]struct {
		left time.Duration
		r    Request
		want bool
	}{
		"a short kind":                    {time.Second, Request{TimeLeft: 3 * time.Second, Longest: 100 * time.Millisecond, IsKnown: true}, true},
		"a kind that takes longer":        {time.Second, Request{TimeLeft: 3 * time.Second, Longest: 900 * time.Millisecond, IsKnown: true}, false},
		"an unknown kind":                 {time.Second, Request{TimeLeft: 3 * time.Second}, false},
		"an unknown kind, little time":    {time.Second, Request{TimeLeft: 900 * time.Millisecond}, true},
		"a caller who waits less":         {time.Second, Request{TimeLeft: 500 * time.Millisecond, Longest: 2 * time.Second, IsKnown: true}, true},
		"once only, in the last part":     {999 * time.Millisecond, Request{TimeLeft: 500 * time.Millisecond, RunsOnce: true}, false},
		"once only, before the last part": {time.Second, Request{TimeLeft: 500 * time.Millisecond, RunsOnce: true}, true},
		"after the bound":                 {-time.Millisecond, Request{TimeLeft: time.Second, Longest: time.Millisecond, IsKnown: true}, false},
	} {
		qt.Check(t, c.Fits(one.left, one.r), qt.Equals, one.want, qt.Commentf(name))
	}
}

// The longest answer counts for one window at least and two at the most.
func TestTheLongestAnswerOfLate(t *testing.T) {
	d := NewDurations()
	_, isKnown := d.Longest(epoch, "a")
	qt.Check(t, isKnown, qt.IsFalse)
	d.Record(epoch, "a", time.Second)
	d.Record(epoch, "a", time.Millisecond)
	longestAt := func(after time.Duration) time.Duration {
		most, _ := d.Longest(epoch.Add(after), "a")
		return most
	}
	qt.Check(t, longestAt(longestWindow-1), qt.Equals, time.Second)
	qt.Check(t, longestAt(longestWindow), qt.Equals, time.Second)
	d.Record(epoch.Add(longestWindow+1), "a", 2*time.Millisecond)
	qt.Check(t, longestAt(2*longestWindow+1), qt.Equals, 2*time.Millisecond)
	qt.Check(t, longestAt(9*longestWindow), qt.Equals, time.Duration(0))
	d.Keep(func(string) bool { return false })
	qt.Check(t, d.kinds, qt.HasLen, 0)
}
