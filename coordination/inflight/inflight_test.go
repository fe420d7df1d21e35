package inflight

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var (
	start    = time.Unix(1000, 0)
	defaults = DefaultConfig()
)

func after(d time.Duration) time.Time { return start.Add(d) }

// every is the time between two observations in these tests.
const every = 100 * time.Millisecond

// observe observes an attempt until it is revoked or until the end, and returns the verdict
// and when it was reached.
func observe(size int, until time.Duration, look func(since time.Duration) Look) (Verdict, time.Duration) {
	a := Begin(&defaults, start, size)
	for since := every; since <= until; since += every {
		if v := a.Look(after(since), look(since)); v != Keep {
			return v, since
		}
	}
	return Keep, until
}

// A slow but successful attempt is not revoked. One whose bytes cannot arrive is revoked in
// time, and sooner if its server is known to be shutting down.
func TestAttemptIsKeptWhileItMakesProgress(t *testing.T) {
	const size = 64 << 10
	for name, tc := range map[string]struct {
		look func(since time.Duration) Look
		want Verdict
		at   time.Duration
	}{
		"an engine that computes for 5 s": {func(since time.Duration) Look {
			return Look{Answered: since >= 5*time.Second}
		}, Keep, 10 * time.Second},
		"a long body on a slow path": {func(since time.Duration) Look {
			return Look{Pending: max(0, size-int(since/every)*2000), Answered: since > 4*time.Second}
		}, Keep, 10 * time.Second},
		"packets lost three times": {func(since time.Duration) Look {
			if since <= 600*time.Millisecond {
				return Look{Pending: size}
			}
			return Look{Answered: true}
		}, Keep, 10 * time.Second},
		"an answer that pauses at a draining server": {func(since time.Duration) Look {
			return Look{Answered: true, DrainingSince: after(time.Second), Heard: after(min(since, 3*time.Second))}
		}, ServerGone, 8 * time.Second},
		"an answer that continues at a draining server": {func(since time.Duration) Look {
			return Look{Answered: true, DrainingSince: after(time.Second), Heard: after(since)}
		}, Keep, 10 * time.Second},
		"an answer that pauses at a running server": {func(since time.Duration) Look {
			return Look{Answered: true, Heard: after(every)}
		}, Keep, 10 * time.Second},
		"a blocked path": {func(time.Duration) Look { return Look{Pending: size} }, Stalled, time.Second},
		"a path that blocks in the middle of a body": {func(since time.Duration) Look {
			return Look{Pending: size - 1000*int(min(since, time.Second)/every)}
		}, Stalled, 2 * time.Second},
		"a blocked path to a draining server": {func(since time.Duration) Look {
			l := Look{Pending: size}
			if since > 400*time.Millisecond {
				l.DrainingSince = after(400 * time.Millisecond)
			}
			return l
		}, Stalled, 500 * time.Millisecond},
		"acknowledged without an answer, at a draining server": {func(since time.Duration) Look {
			return Look{DrainingSince: after(time.Second)}
		}, ServerGone, 2 * time.Second},
		"the same, with messages from the server on other connections": {func(since time.Duration) Look {
			return Look{DrainingSince: after(time.Second), Heard: after(since)}
		}, Keep, 10 * time.Second},
		"the same, with a message from the server before": {func(time.Duration) Look {
			return Look{DrainingSince: after(time.Second), Heard: after(10 * time.Millisecond)}
		}, ServerGone, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			verdict, at := observe(size, 10*time.Second, tc.look)
			qt.Check(t, verdict, qt.Equals, tc.want)
			qt.Check(t, at, qt.Equals, tc.at)
		})
	}
}

// A router that was not scheduled for 5 s could not see any progress: its first observation
// after that must not revoke what was sent before.
func TestPausedRouterDoesNotRevokeAtOnce(t *testing.T) {
	a := Begin(&defaults, start, 100)
	qt.Check(t, a.Look(after(every), Look{Pending: 100}), qt.Equals, Keep)
	qt.Check(t, a.Look(after(5*time.Second), Look{Pending: 100}), qt.Equals, Keep)
	qt.Check(t, a.Look(after(5*time.Second+every), Look{Answered: true}), qt.Equals, Keep)
}

func TestValidateNamesInvalidField(t *testing.T) {
	qt.Check(t, DefaultConfig().Validate(), qt.IsNil)
	c := DefaultConfig()
	c.DrainingStall = 2 * c.Stall
	qt.Check(t, c.Validate(), qt.ErrorMatches, ".*DrainingStall.*")
}

// For any sequence of observations and acknowledgements: an attempt is not revoked within
// Stall of progress, and one without progress is, by the observation time that counts.
func TestOnlyMissingProgressRevokes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		pending := rapid.IntRange(1, 1000).Draw(t, "size")
		a, now, lastProgress, observed := Begin(&cfg, start, pending), start, start, time.Duration(0)
		for range 40 {
			step := time.Duration(rapid.IntRange(10, 2000).Draw(t, "ms")) * time.Millisecond
			now = now.Add(step)
			observed += min(step, cfg.MaxGap)
			if fewer := rapid.IntRange(0, pending).Draw(t, "pending"); rapid.Bool().Draw(t, "moves") && fewer < pending {
				pending, lastProgress, observed = fewer, now, 0
			}
			verdict := a.Look(now, Look{Pending: pending})
			if verdict == Stalled && now.Sub(lastProgress) < cfg.Stall {
				t.Fatalf("revoked %v after progress", now.Sub(lastProgress))
			}
			if want := pending > 0 && observed >= cfg.Stall; want != (verdict == Stalled) {
				t.Fatalf("%d bytes unacknowledged, no progress for %v of observed time: %v", pending, observed, verdict)
			}
			if verdict == Stalled {
				return
			}
		}
	})
}

// An answer of which only bytes arrive that are neither a whole header nor a body ends after a second of
// them, at whatever pace. Pauses, lost packets and a header in a few pieces end none.
func TestBytesOfNoUseEndAnAttempt(t *testing.T) {
	for name, tc := range map[string]struct {
		look func(since time.Duration) Look
		want Verdict
		at   time.Duration
	}{
		"a byte each 10 ms":  {func(since time.Duration) Look { return Look{Arrived: int64(since / (10 * time.Millisecond))} }, Endless, time.Second},
		"a byte each second": {func(since time.Duration) Look { return Look{Arrived: int64(since / time.Second)} }, Endless, 10 * time.Second},
		"after bytes of use": {func(since time.Duration) Look {
			return Look{Answered: true, Arrived: 50 + int64(since/every), Parsed: 53}
		}, Endless, 13 * every},
		"a head in eight pieces": {func(since time.Duration) Look { return Look{Arrived: min(8, int64(since/every))} }, Keep, 20 * time.Second},
		"a slow body": {func(since time.Duration) Look {
			return Look{Answered: true, Arrived: int64(since), Parsed: int64(since)}
		}, Keep, 20 * time.Second},
		"read behind": {func(since time.Duration) Look {
			return Look{Answered: true, Arrived: int64(since), Parsed: int64(since) / 2}
		}, Keep, 20 * time.Second},
		"interim answers": {func(since time.Duration) Look {
			return Look{Arrived: int64(since / every), Parsed: int64(since / (5 * every))}
		}, Keep, 20 * time.Second},
		"a request still unsent": {func(since time.Duration) Look {
			return Look{Pending: 1 + int(20*time.Second-since), Arrived: int64(since)}
		}, Endless, time.Second},
		"nothing for a long time": {func(time.Duration) Look { return Look{} }, Keep, 20 * time.Second},
	} {
		got, at := observe(10, 20*time.Second, tc.look)
		qt.Check(t, got, qt.Equals, tc.want, qt.Commentf(name))
		qt.Check(t, at, qt.Equals, tc.at, qt.Commentf(name))
	}
}
