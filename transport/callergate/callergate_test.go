package callergate

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/intake"
)

var (
	beyondFrom = netip.MustParseAddr("10.0.0.1")
	withinFrom = netip.MustParseAddr("10.0.0.2")
)

// pressed returns a gate that chooses and has three quarters of its places free, and the
// teams whose connections it closed.
func pressed(t *testing.T) (*Gate, *[]string) {
	cfg := intake.DefaultConfig()
	cfg.MaxWindow, cfg.MinWindow, cfg.MaxUndecided = 8, 8, 8
	var closed []string
	teams := map[netip.Addr]string{beyondFrom: "beyond", withinFrom: "within"}
	g := New(cfg, func(from netip.Addr) string { return teams[from] }, func(team string) bool { return team == "beyond" }, func(team string) { closed = append(closed, team) })
	now := time.Unix(1000, 0)
	_, taken := g.Takes(beyondFrom)
	qt.Assert(t, taken, qt.IsTrue)
	for range 10 {
		now = now.Add(cfg.Interval)
		g.Observe(now, time.Second, false)
	}
	qt.Assert(t, g.Chooses(), qt.IsTrue)
	return g, &closed
}

// Guards against a team beyond its share taking the places of one that is not: whose a
// connection is follows from its address.
func TestPlacesGoByTheTeamOfTheAddress(t *testing.T) {
	g, closed := pressed(t)
	for range 10 {
		g.Takes(beyondFrom)
	}
	_, taken := g.Takes(withinFrom)
	qt.Check(t, taken, qt.IsTrue)
	qt.Check(t, len(*closed) > 0, qt.IsTrue)
	for _, team := range *closed {
		qt.Check(t, team, qt.Equals, "beyond")
	}
}

// A listener that waits for room goes on when a place is given back.
func TestWaitEndsWithRoom(t *testing.T) {
	g := New(intake.DefaultConfig(), func(netip.Addr) string { return "" }, func(string) bool { return false }, func(string) {})
	var decided func()
	for range intake.DefaultConfig().MaxUndecided {
		decided, _ = g.Takes(withinFrom)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Wait()
	}()
	select {
	case <-done:
		t.Fatal("there was room")
	case <-time.After(20 * time.Millisecond):
	}
	decided()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("no room though a place was given back")
	}
}
