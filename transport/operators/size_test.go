package operators

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/intent"
	"goldcrestport/protocol/operator"
	"goldcrestport/state/config"
)

// fleetIntent returns an intent with the given number of teams and services. The
// largest fleet to support has 2,100 teams and 19 services.
func fleetIntent(teams, services int) *intent.Intent {
	in := intentWith(1)
	var serviceNames []string
	for s := range services {
		name := fmt.Sprintf("service-number-%02d", s)
		serviceNames = append(serviceNames, name)
		in.Services[name] = config.Service{Kind: config.KindModel}
	}
	for n := range teams {
		name := fmt.Sprintf("team-with-a-long-name-%04d", n)
		tokens := []string{config.TokenDigest(name + "old"), config.TokenDigest(name + "new")}
		in.Teams[name] = config.Team{Share: 1, Tokens: tokens, Services: serviceNames}
	}
	return in
}

func TestLargestFleetIsPlannedAndConfirmed(t *testing.T) {
	c := qt.New(t)
	s := newStore(1)
	n := newNode(s)
	confirmFirst(c, n)
	p, code := n.plan(opsToken, fleetIntent(2100, 19))
	c.Assert(code, qt.Equals, http.StatusOK)
	c.Assert(n.confirm(opsToken, p, &operator.ConfirmResponse{}), qt.Equals, http.StatusOK)
	// The reverse patch of the large change and a small change after it stay
	// small.
	in := p.Intent
	in.Drain = []string{"one"}
	p, _ = n.plan(opsToken, in)
	c.Assert(n.confirm(opsToken, p, &operator.ConfirmResponse{}), qt.Equals, http.StatusOK)
	c.Logf("head %d bytes, history entries %d and %d bytes", len(s.entries[HeadKey].Value),
		len(s.entries[historyKey(1)].Value), len(s.entries[historyKey(2)].Value))
	c.Assert(len(s.entries[historyKey(2)].Value) < 50_000, qt.IsTrue)
}

func BenchmarkPlanAndConfirmLargestFleet(b *testing.B) {
	c := qt.New(b)
	n := newNode(newStore(1))
	confirmFirst(c, n)
	p, _ := n.plan(opsToken, fleetIntent(2100, 19))
	c.Assert(n.confirm(opsToken, p, &operator.ConfirmResponse{}), qt.Equals, http.StatusOK)
	in, i := p.Intent, 0
	for b.Loop() {
		i++
		in.Drain = []string{fmt.Sprint("b", i)}
		p, _ := n.plan(opsToken, in)
		c.Assert(n.confirm(opsToken, p, &operator.ConfirmResponse{}), qt.Equals, http.StatusOK)
	}
}
