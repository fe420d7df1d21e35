package lateness

import (
	"context"
	"io"
	"os"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Input that waits unread is reported as late by that time, and Watch returns when its context
// ends.
func TestUnreadInputIsReportedAsLate(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	const delay = 200 * time.Millisecond
	var latest time.Duration
	n := 0
	err := Watch(ctx, func(_ time.Time, late time.Duration) {
		qt.Check(t, late >= 0, qt.IsTrue)
		latest = max(latest, late)
		if n++; n == 2 {
			time.Sleep(delay)
		}
		if n == 10 {
			cancel()
		}
	})
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, latest > delay-3*Interval, qt.IsTrue, qt.Commentf("%v", latest))
}

// delayedReader delays one of its reads, so that input waits unread.
type delayedReader struct {
	io.Reader
	reads       int
	delayedRead int
	delay       time.Duration
	// startedAt is when the delay started, in Unix nanoseconds.
	startedAt atomic.Int64
}

func (h *delayedReader) Read(b []byte) (int, error) {
	if h.reads++; h.reads == h.delayedRead {
		h.startedAt.Store(time.Now().UnixNano())
		time.Sleep(h.delay)
	}
	return h.Reader.Read(b)
}

// Guards against a router that is late for seconds but acts on its last, low measurement because
// a measurement is reported only once the delayed read has completed.
func TestLatenessIsReportedBeforeTheDelayedReadEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	out, in, err := os.Pipe()
	qt.Assert(t, err, qt.IsNil)
	defer out.Close()
	const readDelay, maxReportDelay, minLateness = 400 * time.Millisecond, 100 * time.Millisecond, 30 * time.Millisecond
	input := &delayedReader{Reader: out, delayedRead: 4, delay: readDelay}
	var first time.Duration
	watch(ctx, input, in, func(now time.Time, late time.Duration) {
		if late >= minLateness && first == 0 {
			first = now.Sub(time.Unix(0, input.startedAt.Load()))
			cancel()
		}
	})
	qt.Check(t, first > 0 && first <= maxReportDelay, qt.IsTrue, qt.Commentf("reported after %v", first))
}
