package returning

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestElapsedIsEstimatedFromTimeLeft(t *testing.T) {
	tr, now := New(DefaultConfig()), time.Unix(1000, 0)
	qt.Check(t, tr.Elapsed(now, "r", 15*time.Second, 0), qt.Equals, time.Duration(0))
	// The time to open a connection doesn't count as a wait.
	qt.Check(t, tr.Elapsed(now, "r", 14992*time.Millisecond, 0), qt.Equals, time.Duration(0))
	qt.Check(t, tr.Elapsed(now, "r", 14700*time.Millisecond, 0), qt.Equals, 300*time.Millisecond)
	// Routes are independent, and there is no estimate without a deadline.
	qt.Check(t, tr.Elapsed(now, "s", 3*time.Second, 0), qt.Equals, time.Duration(0))
	qt.Check(t, tr.Elapsed(now, "r", 0, 0), qt.Equals, time.Duration(0))
}

func TestShorterRouteTimeoutIsLearnt(t *testing.T) {
	tr, now := New(DefaultConfig()), time.Unix(1000, 0)
	tr.Elapsed(now, "r", 15*time.Second, 0)
	for range 25 {
		now = now.Add(time.Second)
		tr.Elapsed(now, "r", 10*time.Second, 0)
	}
	qt.Check(t, tr.Elapsed(now, "r", 10*time.Second, 0), qt.Equals, time.Duration(0))
	qt.Check(t, tr.Elapsed(now, "r", 9*time.Second, 0), qt.Equals, time.Second)
}

// At a router that reads its sockets late, a first attempt looks like a retry.
func TestTimeInSocketBufferIsNoRetry(t *testing.T) {
	tr, now := New(DefaultConfig()), time.Unix(1000, 0)
	tr.Elapsed(now, "r", 15*time.Second, 0)
	qt.Check(t, tr.Elapsed(now, "r", 14800*time.Millisecond, 300*time.Millisecond), qt.Equals, time.Duration(0))
	qt.Check(t, tr.Elapsed(now, "r", 14800*time.Millisecond, 10*time.Millisecond), qt.Equals, 200*time.Millisecond)
}

// Guards against preferring first attempts as retries on a route whose callers
// have different timeouts, here 12.75 to 15 s. This was seen at larger sites:
// nine of ten first attempts looked like retries, so that none was preferred to
// another.
func TestDifferentTimeoutsGiveNoEstimate(t *testing.T) {
	tr, now, estimated := New(DefaultConfig()), time.Unix(1000, 0), 0
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		left := 15*time.Second - time.Duration(i*37%100)*22*time.Millisecond
		if tr.Elapsed(now, "r", left, 0) > 0 && i >= DefaultConfig().MinSamples {
			estimated++
		}
	}
	qt.Check(t, estimated, qt.Equals, 0)
	// Half of the requests are retries after a refusal and are recognized.
	tr = New(DefaultConfig())
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		tr.Elapsed(now, "r", 15*time.Second-time.Duration(i%2)*300*time.Millisecond, 0)
	}
	qt.Check(t, tr.Elapsed(now, "r", 14700*time.Millisecond, 0), qt.Equals, 300*time.Millisecond)
}
