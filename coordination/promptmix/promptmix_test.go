package promptmix

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

func TestConfigErrorNamesField(t *testing.T) {
	qt.Check(t, DefaultConfig().Validate(), qt.IsNil)
	bad := DefaultConfig()
	bad.Mode = "sometimes"
	qt.Check(t, bad.Validate(), qt.ErrorMatches, "Mode must be .*")
	bad = DefaultConfig()
	bad.CrowdedHigh = bad.CrowdedLow
	qt.Check(t, bad.Validate(), qt.ErrorMatches, ".*CrowdedHigh.*")
}

func TestObjectivesThatSpanWidely(t *testing.T) {
	c := DefaultConfig()
	qt.Check(t, c.SpansWidely(400*time.Millisecond, time.Second), qt.IsTrue)
	qt.Check(t, c.SpansWidely(500*time.Millisecond, 800*time.Millisecond), qt.IsFalse)
	qt.Check(t, c.SpansWidely(0, time.Second), qt.IsFalse)
}

// Callers send long prompts faster and faster until short ones find no short queue: the
// additional wait of long ones is withdrawn, and given back within seconds.
func TestAdditionalWaitIsWithdrawnWhileShortPromptsAreCrowded(t *testing.T) {
	s := New(DefaultConfig())
	const shared, own = 100 * time.Millisecond, 360 * time.Millisecond
	qt.Check(t, s.LongLimit(epoch, shared, own), qt.Equals, own)
	for i := range 100 {
		s.ObserveShort(epoch, i%5 == 0)
	}
	half := s.LongLimit(epoch, shared, own)
	qt.Check(t, half > shared+100*time.Millisecond && half < own-100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", half))
	for range 100 {
		s.ObserveShort(epoch, true)
	}
	qt.Check(t, s.LongLimit(epoch, shared, own), qt.Equals, shared)
	later := epoch.Add(4 * time.Second)
	for range 100 {
		s.ObserveShort(later, false)
	}
	qt.Check(t, s.LongLimit(later, shared, own) > half, qt.IsTrue)
}

// A single short prompt that finds long queues changes nothing.
func TestOneCrowdedPromptDoesNotWithdrawAllOfTheWait(t *testing.T) {
	s := New(DefaultConfig())
	s.ObserveShort(epoch, true)
	qt.Check(t, s.Room(epoch) >= 0.5-1e-9, qt.IsTrue, qt.Commentf("%v", s.Room(epoch)))
}

// A prompt delays those short ones that would still come to its server: none where they do
// not go anyway, and more the longer its prefill.
func TestDelayIsThatOfShortPromptsThatStillArrive(t *testing.T) {
	s := New(DefaultConfig())
	for range 200 {
		s.ObserveShort(epoch, false)
	}
	at := func(wait, prefill time.Duration) time.Duration {
		return s.Delay(epoch, Placement{Wait: wait, Prefill: prefill, ShortLimit: 150 * time.Millisecond, ShortShare: 0.5})
	}
	qt.Check(t, at(200*time.Millisecond, 300*time.Millisecond), qt.Equals, time.Duration(0))
	// 200 in 2 s, half of them at this server: 5 in the 100 ms, which wait for 50 ms each.
	qt.Check(t, at(0, 100*time.Millisecond), qt.Equals, 250*time.Millisecond)
	qt.Check(t, at(0, 300*time.Millisecond) > at(0, 100*time.Millisecond), qt.IsTrue)
	qt.Check(t, at(100*time.Millisecond, 300*time.Millisecond) < at(0, 300*time.Millisecond), qt.IsTrue)
}

// Whatever was observed, the limit of a long prompt lies between the two limits.
func TestLongLimitLiesBetween(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := New(DefaultConfig()), epoch
		for range rapid.IntRange(0, 50).Draw(t, "prompts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			s.ObserveShort(now, rapid.Bool().Draw(t, "crowded"))
		}
		shared := time.Duration(rapid.IntRange(0, 500).Draw(t, "shared")) * time.Millisecond
		own := time.Duration(rapid.IntRange(0, 2000).Draw(t, "own")) * time.Millisecond
		got := s.LongLimit(now, shared, own)
		if got < shared || got > max(shared, own) {
			t.Fatalf("%v of %v to %v", got, shared, own)
		}
	})
}
