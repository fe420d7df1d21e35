package bodybudget

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	mib = 1 << 20
	kib = 1 << 10
)

var begin = time.Unix(1000, 0)

// quarterSmall returns the defaults with a quarter for small bodies: of 4 MiB, large ones may take three.
func quarterSmall() Config {
	cfg := DefaultConfig()
	cfg.SmallShare = 0.25
	return cfg
}

// filled opens a body that holds n bytes, all of which arrived at the time.
func filled(c *qt.C, s *State, at time.Time, owner Owner, n int64) *Body {
	b := s.Open(at, owner, -1, nil)
	verdict, _ := s.Grow(at, b, n)
	c.Assert(verdict, qt.Equals, Granted)
	s.Progress(at, b, int(n))
	return b
}

// The sum of all bodies is bounded, and what is closed can be had again.
func TestTheSumIsBounded(t *testing.T) {
	c := qt.New(t)
	cfg := DefaultConfig()
	cfg.SmallShare = 0
	s := New(cfg, 4*mib)
	var all []*Body
	for range 4 {
		all = append(all, filled(c, s, begin, Owner{}, mib))
	}
	late := s.Open(begin, Owner{}, -1, nil)
	verdict, ending := s.Grow(begin, late, mib)
	c.Check(verdict, qt.Equals, Refused)
	c.Check(ending, qt.HasLen, 0)
	s.Close(begin, all[0])
	verdict, _ = s.Grow(begin, late, mib)
	c.Check(verdict, qt.Equals, Granted)
	c.Check(s.Used(), qt.Equals, int64(4*mib))
}

// Callers that stopped short of their ends yield to one that sends, and no more of them than it takes.
func TestStalledBodiesYield(t *testing.T) {
	c := qt.New(t)
	s := New(quarterSmall(), 4*mib)
	for range 3 {
		filled(c, s, begin, Owner{}, mib)
	}
	now := begin.Add(3 * time.Second)
	b := s.Open(now, Owner{}, -1, nil)
	verdict, ending := s.Grow(now, b, mib)
	c.Assert(verdict, qt.Equals, Waits)
	c.Assert(ending, qt.HasLen, 1)
	verdict, more := s.Grow(now, b, mib)
	c.Check(verdict, qt.Equals, Waits)
	c.Check(more, qt.HasLen, 0)
	c.Check(s.Finish(ending[0]), qt.IsFalse)
	s.Close(now, ending[0])
	verdict, _ = s.Grow(now, b, mib)
	c.Check(verdict, qt.Equals, Granted)
}

// A finished body is never ended: its request may be at work.
func TestFinishedBodiesDoNotYield(t *testing.T) {
	c := qt.New(t)
	s := New(quarterSmall(), 4*mib)
	for range 3 {
		c.Assert(s.Finish(filled(c, s, begin, Owner{}, mib)), qt.IsTrue)
	}
	now := begin.Add(time.Minute)
	verdict, _ := s.Grow(now, s.Open(now, Owner{}, -1, nil), mib)
	c.Check(verdict, qt.Equals, Refused)
}

// A small body is served beside large ones that hold all that they may, at once.
func TestSmallBodiesHaveAPartOfTheirOwn(t *testing.T) {
	c := qt.New(t)
	s := New(quarterSmall(), 4*mib)
	for range 3 {
		filled(c, s, begin, Owner{}, mib)
	}
	verdict, _ := s.Grow(begin, s.Open(begin, Owner{}, 64*kib, nil), 64*kib)
	c.Check(verdict, qt.Equals, Granted)
	verdict, _ = s.Grow(begin, s.Open(begin, Owner{}, -1, nil), 65*kib)
	c.Check(verdict, qt.Equals, Refused)
}

// Of callers that all send, the newest yield: they lose least. An older upload never ends for a newer one.
func TestNewerLargeBodiesYieldToOlderOnes(t *testing.T) {
	c := qt.New(t)
	s := New(quarterSmall(), 4*mib)
	old := filled(c, s, begin, Owner{}, mib)
	middle := filled(c, s, begin.Add(time.Second), Owner{}, mib)
	newest := filled(c, s, begin.Add(1500*time.Millisecond), Owner{}, mib)
	now := begin.Add(1600 * time.Millisecond)
	verdict, _ := s.Grow(now, newest, 64*kib)
	c.Check(verdict, qt.Equals, Refused)
	verdict, ending := s.Grow(now, old, 64*kib)
	c.Check(verdict, qt.Equals, Waits)
	c.Assert(ending, qt.HasLen, 1)
	c.Check(ending[0], qt.Equals, newest)
	c.Check(middle.ending, qt.IsFalse)
}

// Of stalled bodies those of the address that holds most yield first.
func TestTheAddressThatHoldsMostYieldsFirst(t *testing.T) {
	c := qt.New(t)
	s := New(quarterSmall(), 4*mib)
	slow := filled(c, s, begin, Owner{Address: "a"}, mib)
	for range 4 {
		filled(c, s, begin, Owner{Address: "b"}, mib/2)
	}
	now := begin.Add(3 * time.Second)
	_, ending := s.Grow(now, s.Open(now, Owner{Address: "c"}, -1, nil), mib)
	c.Check(ending, qt.HasLen, 2)
	for _, b := range ending {
		c.Check(b.owner.Address, qt.Equals, "b")
	}
	c.Check(slow.ending, qt.IsFalse)
}

// A caller that sends a byte now and then makes no progress; a slow phone does.
func TestProgressIsARate(t *testing.T) {
	c := qt.New(t)
	s := New(quarterSmall(), 4*mib)
	trickle := filled(c, s, begin, Owner{}, mib)
	phone := filled(c, s, begin, Owner{}, mib)
	now := begin
	for range 80 {
		now = now.Add(100 * time.Millisecond)
		s.Progress(now, trickle, 1)
		s.Progress(now, phone, 50_000)
	}
	c.Check(s.isSlow(now, trickle), qt.IsTrue)
	c.Check(s.isSlow(now, phone), qt.IsFalse)
	_, ended := s.Grow(now, s.Open(now, Owner{}, -1, nil), 2*mib)
	c.Assert(ended, qt.HasLen, 1)
	c.Check(ended[0], qt.Equals, trickle)
}

// When connections are short, unfinished bodies of which nothing comes end first.
func TestIdleBodiesEndWhenConnectionsAreShort(t *testing.T) {
	c := qt.New(t)
	s := New(quarterSmall(), 4*mib)
	oldest := filled(c, s, begin, Owner{}, 100)
	older := filled(c, s, begin.Add(100*time.Millisecond), Owner{}, 100)
	filled(c, s, begin.Add(time.Second), Owner{}, 100)
	c.Assert(s.Finish(filled(c, s, begin, Owner{}, 100)), qt.IsTrue)
	now := begin.Add(1100 * time.Millisecond)
	ended := s.EndStalled(now, 1, 500*time.Millisecond)
	c.Assert(ended, qt.HasLen, 1)
	c.Check(ended[0], qt.Equals, oldest)
	ended = s.EndStalled(now, 10, 500*time.Millisecond)
	c.Assert(ended, qt.HasLen, 1)
	c.Check(ended[0], qt.Equals, older)
}

// A declared length that cannot be had is refused before a byte is read; one that stalled bodies would yield is
// not.
func TestADeclaredLengthThatCannotBeHad(t *testing.T) {
	c := qt.New(t)
	s := New(quarterSmall(), 4*mib)
	for range 3 {
		filled(c, s, begin, Owner{}, mib)
	}
	c.Check(s.Open(begin, Owner{}, mib, nil), qt.IsNil)
	c.Check(s.Open(begin.Add(3*time.Second), Owner{}, mib, nil), qt.IsNotNil)
	c.Check(s.Open(begin.Add(3*time.Second), Owner{}, 5*mib, nil), qt.IsNil)
}

// A team's own stalled bodies yield to its callers when it holds its share.
func TestATeamWithinItsShare(t *testing.T) {
	c := qt.New(t)
	cfg := quarterSmall()
	cfg.TeamShare = 0.5
	s := New(cfg, 8*mib)
	for range 3 {
		filled(c, s, begin, Owner{Team: "crowd"}, mib)
	}
	verdict, _ := s.Grow(begin, s.Open(begin, Owner{Team: "crowd"}, -1, nil), mib)
	c.Check(verdict, qt.Equals, Refused)
	verdict, _ = s.Grow(begin, s.Open(begin, Owner{Team: "crowd"}, -1, nil), 64*kib)
	c.Check(verdict, qt.Equals, Granted)
	verdict, _ = s.Grow(begin, s.Open(begin, Owner{Team: "other"}, -1, nil), mib)
	c.Check(verdict, qt.Equals, Granted)
	now := begin.Add(3 * time.Second)
	verdict, ending := s.Grow(now, s.Open(now, Owner{Team: "crowd"}, -1, nil), mib)
	c.Check(verdict, qt.Equals, Waits)
	c.Check(ending, qt.HasLen, 1)
	c.Check(ending[0].owner.Team, qt.Equals, "crowd")
}

// A refused caller comes back when what it needs has been given back, at the rate of late.
func TestWaitFollowsTheRateOfReleases(t *testing.T) {
	c := qt.New(t)
	s := New(quarterSmall(), 4*mib)
	now := begin
	for range 10 {
		now = now.Add(time.Second)
		s.Close(now, filled(c, s, now, Owner{}, mib))
	}
	for range 3 {
		filled(c, s, now, Owner{}, mib)
	}
	wait := s.Wait(now, 2*mib)
	c.Check(wait >= 1500*time.Millisecond && wait <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", wait))
	c.Check(s.Wait(now, 64*mib), qt.Equals, DefaultConfig().MaxWait)
	c.Check(New(DefaultConfig(), mib).Wait(begin, 2*mib), qt.Equals, DefaultConfig().MinWait)
	fresh := New(quarterSmall(), 4*mib)
	filled(c, fresh, begin, Owner{}, mib)
	c.Check(fresh.Wait(begin, 4*mib), qt.Equals, DefaultConfig().StallTime)
}

func TestValidateNamesEachField(t *testing.T) {
	c := qt.New(t)
	c.Check(DefaultConfig().Validate(), qt.IsNil)
	for i, spoil := range []func(*Config){
		func(c *Config) { c.Small = 0 }, func(c *Config) { c.SmallShare = 1 }, func(c *Config) { c.TeamShare = 0 },
		func(c *Config) { c.StallTime = 0 }, func(c *Config) { c.MinRate = -1 }, func(c *Config) { c.MinWait = 0 },
	} {
		cfg := DefaultConfig()
		spoil(&cfg)
		c.Check(cfg.Validate(), qt.IsNotNil, qt.Commentf("%d", i))
	}
}

func BenchmarkSmallBody(b *testing.B) {
	s := New(DefaultConfig(), 64*mib)
	now := begin
	for i := range 500 {
		one := s.Open(now, Owner{Address: fmt.Sprint(i)}, -1, nil)
		s.Grow(now, one, 64*kib)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		one := s.Open(now, Owner{Team: "t", Address: "a"}, 500, nil)
		s.Grow(now, one, 500)
		s.Progress(now, one, 500)
		s.Finish(one)
		s.Close(now, one)
	}
}
