package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/health"
)

// Guards against a router that suddenly receives nothing from any other router,
// before it is known to read late: it assumed that thirty routers had as much in
// flight as itself and refused everything.
func TestSilenceOfAllPeersCausesNoRefusals(t *testing.T) {
	const routers, servers = 30, 50
	s := engines(servers)
	s.SetRouters(routers)
	now := epoch
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		for i := range routers - 1 {
			s.ReceiveDigest(now, fmt.Sprint("r-", i), Digest{All: true})
		}
		s.Tick(now)
	}
	sent, _ := placeEach(s, now, 30)
	qt.Check(t, sent, qt.Equals, 300, qt.Commentf("of 300 requests that 50 idle servers can start at once"))
}

// Guards against a late router that ejects servers which other routers can reach:
// its own connections time out.
func TestLateRouterEjectsNoServer(t *testing.T) {
	s := engines(20)
	now := epoch
	s.SetLate(true)
	for i := range 20 {
		d := s.Place(now, prompt(1000, Prefix{ID: uint64(i), Tokens: 100}))
		qt.Assert(t, d.Verdict, qt.Equals, Send)
		s.Ended(now, d.Run, health.Unreachable)
	}
	qt.Check(t, s.Ejected(), qt.HasLen, 0)
}

// placeEach places ten requests every 100 ms, whose answers start at once, and
// returns how many were sent.
func placeEach(s *State, now time.Time, rounds int) (sent int, end time.Time) {
	for range rounds {
		now = now.Add(100 * time.Millisecond)
		s.Tick(now)
		for i := range 10 {
			req := prompt(2000, Prefix{ID: uint64(1000*sent + i), Tokens: 100})
			if d := s.Place(now, req); d.Verdict == Send {
				sent++
				s.FirstByte(now, d.Run)
			}
		}
	}
	return sent, now
}
