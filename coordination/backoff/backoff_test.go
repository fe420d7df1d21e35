package backoff

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func TestNothingIsSentDuringBackoff(t *testing.T) {
	cfg := DefaultConfig()
	var s Server
	qt.Check(t, s.Wait(start), qt.Equals, time.Duration(0))
	qt.Check(t, s.Send(start, cfg), qt.IsFalse)
	qt.Check(t, s.BackoffRequested(start, 3*time.Second, cfg), qt.IsTrue)
	qt.Check(t, s.Wait(after(time.Second)), qt.Equals, 2*time.Second)
	qt.Check(t, s.Accepts(after(2999*time.Millisecond)), qt.IsFalse)
	qt.Check(t, s.Wait(after(3*time.Second)), qt.Equals, time.Duration(0))
	qt.Check(t, s.Age(after(time.Second)), qt.Equals, time.Second)
}

// Two requests in flight are rejected one after the other: a shorter back-off doesn't
// shorten the present one, a longer one extends it.
func TestLatestBackoffEndCounts(t *testing.T) {
	cfg := DefaultConfig()
	var s Server
	s.BackoffRequested(start, 3*time.Second, cfg)
	qt.Check(t, s.BackoffRequested(after(time.Second), time.Second, cfg), qt.IsFalse)
	qt.Check(t, s.Wait(after(time.Second)), qt.Equals, 2*time.Second)
	s.BackoffRequested(after(time.Second), 4*time.Second, cfg)
	qt.Check(t, s.Wait(after(time.Second)), qt.Equals, 4*time.Second)
}

// After the back-off one probe request is sent. The others follow when the server has
// accepted it, or when it has no result for the probe time.
func TestOneProbeAfterBackoff(t *testing.T) {
	cfg := DefaultConfig()
	var s Server
	s.BackoffRequested(start, time.Second, cfg)
	qt.Check(t, s.Send(after(time.Second), cfg), qt.IsTrue)
	qt.Check(t, s.Wait(after(time.Second)), qt.Equals, cfg.ProbeTime)
	qt.Check(t, s.Accepts(after(time.Second)), qt.IsTrue)
	qt.Check(t, s.Wait(after(time.Second+cfg.ProbeTime)), qt.Equals, time.Duration(0))
	s.Ended()
	qt.Check(t, s.Wait(after(time.Second)), qt.Equals, time.Duration(0))
	s.Send(after(time.Second), cfg)
	qt.Check(t, s.ProbeAccepted(after(1100*time.Millisecond)), qt.IsTrue)
	qt.Check(t, s.Wait(after(1100*time.Millisecond)), qt.Equals, time.Duration(0))
	qt.Check(t, s.Send(after(1100*time.Millisecond), cfg), qt.IsFalse)
	duration, count := s.Series(after(1100 * time.Millisecond))
	qt.Check(t, duration, qt.Equals, 1100*time.Millisecond)
	qt.Check(t, count, qt.Equals, 1)
}

// The server accepts the probe request, but has rejected another request since.
func TestAcceptedProbeDoesNotEndLaterBackoff(t *testing.T) {
	cfg := DefaultConfig()
	var s Server
	s.BackoffRequested(start, time.Second, cfg)
	s.Send(after(time.Second), cfg)
	s.BackoffRequested(after(1050*time.Millisecond), 2*time.Second, cfg)
	qt.Check(t, s.ProbeAccepted(after(1100*time.Millisecond)), qt.IsFalse)
	qt.Check(t, s.Wait(after(1100*time.Millisecond)), qt.Equals, 1950*time.Millisecond)
}

// Guards against an implausibly long back-off that takes a server out of use.
func TestBackoffIsBounded(t *testing.T) {
	cfg := DefaultConfig()
	var s Server
	s.BackoffRequested(start, 24*time.Hour, cfg)
	qt.Check(t, s.Wait(start), qt.Equals, cfg.Longest)
}

func TestValidateNamesFieldOutOfRange(t *testing.T) {
	qt.Check(t, DefaultConfig().Validate(), qt.IsNil)
	qt.Check(t, Config{}.Validate(), qt.ErrorMatches, `(?s).*Longest.*`)
}

// For any sequence of calls: nothing is sent before the latest end of a requested
// back-off, and the server may receive a request at the latest the probe time after it.
func TestNoRequestDuringBackoffAndOneSoonAfter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		var s Server
		now, end := start, time.Time{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				d := time.Duration(rapid.IntRange(1, 90000).Draw(t, "after")) * time.Millisecond
				s.BackoffRequested(now, d, cfg)
				if until := now.Add(min(d, cfg.Longest)); until.After(end) {
					end = until
				}
			case 1, 2:
				if s.Wait(now) > 0 {
					break
				}
				if now.Before(end) {
					t.Fatalf("sent %v before the end of the back-off", end.Sub(now))
				}
				s.Send(now, cfg)
			case 3:
				s.ProbeAccepted(now)
			default:
				s.Ended()
			}
			if wait := s.Wait(now); wait > max(end.Sub(now), cfg.ProbeTime) {
				t.Fatalf("waits %v, the back-off ends in %v", wait, end.Sub(now))
			}
		}
	})
}
