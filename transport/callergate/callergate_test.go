package callergate

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/intake"
)

var (
	overShareAddr   = netip.MustParseAddr("10.0.0.1")
	withinShareAddr = netip.MustParseAddr("10.0.0.2")
)

// limitingGate returns a gate that limits, with three quarters of its places free, and the teams
// whose connections it rejected.
func limitingGate(t *testing.T) (*Gate, *[]string) {
	cfg := intake.DefaultConfig()
	cfg.MaxWindow, cfg.MinWindow, cfg.MaxUndecided = 8, 8, 8
	var closed []string
	teams := map[netip.Addr]string{overShareAddr: "beyond", withinShareAddr: "within"}
	g := New(cfg, func(from netip.Addr) string { return teams[from] }, func(team string) bool { return team == "beyond" }, func(team string) { closed = append(closed, team) })
	now := time.Unix(1000, 0)
	_, taken := g.Admit(overShareAddr)
	qt.Assert(t, taken, qt.IsTrue)
	for range 10 {
		now = now.Add(cfg.Interval)
		g.Observe(now, time.Second, false)
	}
	qt.Assert(t, g.Chooses(), qt.IsTrue)
	return g, &closed
}

// Guards against a team over its share taking the places of one that is not: the team of a
// connection is derived from its address.
func TestAdmissionIsByTheTeamOfTheAddress(t *testing.T) {
	g, closed := limitingGate(t)
	for range 10 {
		g.Admit(overShareAddr)
	}
	_, taken := g.Admit(withinShareAddr)
	qt.Check(t, taken, qt.IsTrue)
	qt.Check(t, len(*closed) > 0, qt.IsTrue)
	for _, team := range *closed {
		qt.Check(t, team, qt.Equals, "beyond")
	}
}

// Wait blocks while all places are taken and returns once one is released.
func TestWaitReturnsWhenAPlaceIsReleased(t *testing.T) {
	g := New(intake.DefaultConfig(), func(netip.Addr) string { return "" }, func(string) bool { return false }, func(string) {})
	var decided func()
	for range intake.DefaultConfig().MaxUndecided {
		decided, _ = g.Admit(withinShareAddr)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Wait()
	}()
	select {
	case <-done:
		t.Fatal("Wait returned though all places are taken")
	case <-time.After(20 * time.Millisecond):
	}
	decided()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Wait is still blocked though a place was released")
	}
}
