package returning

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestTheTimeThatIsGoneTellsTheWait(t *testing.T) {
	tr, now := New(DefaultConfig()), time.Unix(1000, 0)
	qt.Check(t, tr.Elapsed(now, "r", 15*time.Second, 0), qt.Equals, time.Duration(0))
	// The opening of a connection is no wait.
	qt.Check(t, tr.Elapsed(now, "r", 14992*time.Millisecond, 0), qt.Equals, time.Duration(0))
	qt.Check(t, tr.Elapsed(now, "r", 14700*time.Millisecond, 0), qt.Equals, 300*time.Millisecond)
	// Routes differ, and a caller that does not say is not judged.
	qt.Check(t, tr.Elapsed(now, "s", 3*time.Second, 0), qt.Equals, time.Duration(0))
	qt.Check(t, tr.Elapsed(now, "r", 0, 0), qt.Equals, time.Duration(0))
}

func TestAShorterTimeOfTheRouteIsLearnt(t *testing.T) {
	tr, now := New(DefaultConfig()), time.Unix(1000, 0)
	tr.Elapsed(now, "r", 15*time.Second, 0)
	for range 25 {
		now = now.Add(time.Second)
		tr.Elapsed(now, "r", 10*time.Second, 0)
	}
	qt.Check(t, tr.Elapsed(now, "r", 10*time.Second, 0), qt.Equals, time.Duration(0))
	qt.Check(t, tr.Elapsed(now, "r", 9*time.Second, 0), qt.Equals, time.Second)
}

// At a router that reads late, a first attempt looks as if it had waited.
func TestARequestThatLayUnreadIsNoReturn(t *testing.T) {
	tr, now := New(DefaultConfig()), time.Unix(1000, 0)
	tr.Elapsed(now, "r", 15*time.Second, 0)
	qt.Check(t, tr.Elapsed(now, "r", 14800*time.Millisecond, 300*time.Millisecond), qt.Equals, time.Duration(0))
	qt.Check(t, tr.Elapsed(now, "r", 14800*time.Millisecond, 10*time.Millisecond), qt.Equals, 200*time.Millisecond)
}

// Pattern: callers of one route wait between 12.75 and 15 s, each as it likes.
// Ground: seen on the users' larger sites; nine of ten first attempts looked
// like callers who come back, so that none was preferred to another.
func TestWhereCallersDifferTheTimeTellsNothing(t *testing.T) {
	tr, now, believed := New(DefaultConfig()), time.Unix(1000, 0), 0
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		left := 15*time.Second - time.Duration(i*37%100)*22*time.Millisecond
		if tr.Elapsed(now, "r", left, 0) > 0 && i >= DefaultConfig().Enough {
			believed++
		}
	}
	qt.Check(t, believed, qt.Equals, 0)
	// Half of the requests come back after a refusal: they are told apart.
	tr = New(DefaultConfig())
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		tr.Elapsed(now, "r", 15*time.Second-time.Duration(i%2)*300*time.Millisecond, 0)
	}
	qt.Check(t, tr.Elapsed(now, "r", 14700*time.Millisecond, 0), qt.Equals, 300*time.Millisecond)
}
