package selfcheck

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var epoch = time.Unix(1000, 0)

var servers = map[string]int{"a": 20, "b": 20, "c": 20}

// receive records messages from that many other routers for a second, every 100 ms.
func receive(s *State, now time.Time, routers int) time.Time {
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		for i := range routers {
			s.Heard(now, fmt.Sprint("r-", i))
		}
	}
	return now
}

func TestValidateNamesInvalidField(t *testing.T) {
	qt.Check(t, DefaultConfig().Validate(), qt.IsNil)
	bad := DefaultConfig()
	bad.MinPeers, bad.UnreachableShare = 1, 0
	qt.Check(t, bad.Validate(), qt.ErrorMatches, "(?s).*(MinPeers|UnreachableShare).*")
}

// Guards against a router that receives nothing and takes all others for failed, and against
// one that takes the silence of some others for its own fault.
func TestOnlySilenceOfAllPeersCounts(t *testing.T) {
	s := New(DefaultConfig())
	qt.Check(t, s.Check(epoch, servers).Any(), qt.IsFalse)
	now := receive(s, epoch, 29)
	qt.Check(t, s.Check(now, servers).Any(), qt.IsFalse)
	qt.Check(t, s.Check(now.Add(400*time.Millisecond), servers).ReceivesNothing, qt.IsTrue)
	qt.Check(t, s.Check(now.Add(9*time.Second), servers).ReceivesNothing, qt.IsTrue)
	// Others that have been silent for this long are gone.
	qt.Check(t, s.Check(now.Add(11*time.Second), servers).ReceivesNothing, qt.IsFalse)
	now = receive(s, now, 29)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		s.Heard(now, "r-0")
		qt.Assert(t, s.Check(now, servers).ReceivesNothing, qt.IsFalse)
	}
	// A single active router may have ended.
	qt.Check(t, s.Check(now.Add(time.Second), servers).ReceivesNothing, qt.IsFalse)
}

// In a fleet of three the two others may have failed together.
func TestSilenceOfFewPeersDoesNotCount(t *testing.T) {
	s := New(DefaultConfig())
	now := receive(s, epoch, 2)
	qt.Check(t, s.Check(now.Add(time.Second), servers).Any(), qt.IsFalse)
}

// A long sending period does not count as silence.
func TestSilenceLimitScalesWithPeriod(t *testing.T) {
	s := New(DefaultConfig())
	s.SetPeriod(time.Second)
	now := receive(s, epoch, 29)
	qt.Check(t, s.Check(now.Add(2*time.Second), servers).ReceivesNothing, qt.IsFalse)
	qt.Check(t, s.Check(now.Add(3100*time.Millisecond), servers).ReceivesNothing, qt.IsTrue)
}

// Guards against taking the loss of a data centre for this router's own fault, and against a
// partitioned router that blames the servers of all data centres.
func TestOnlyFailuresInAllDataCentresCount(t *testing.T) {
	s := New(DefaultConfig())
	now := epoch
	for i := range 20 {
		s.Unreached(now, fmt.Sprint("a-", i), "a")
	}
	qt.Check(t, s.Check(now, servers).Partitioned, qt.IsFalse)
	for _, dataCentre := range []string{"b", "c"} {
		for i := range 4 {
			s.Unreached(now, fmt.Sprint(dataCentre, i), dataCentre)
		}
	}
	qt.Check(t, s.Check(now, servers).Partitioned, qt.IsTrue)
	qt.Check(t, s.Impaired(now), qt.IsTrue)
	// A successful connection removes the server's failure.
	s.Reached("b0")
	qt.Check(t, s.Check(now, servers).Partitioned, qt.IsFalse)
	qt.Check(t, s.Impaired(now.Add(500*time.Millisecond)), qt.IsTrue)
	qt.Check(t, s.Check(now.Add(2*time.Second), servers).Any(), qt.IsFalse)
	qt.Check(t, s.Impaired(now.Add(2*time.Second)), qt.IsFalse)
}
