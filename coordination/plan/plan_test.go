package plan_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestport/coordination/plan"
	"goldcrestport/state/config"
)

func team(share float64, token string, services ...string) config.Team {
	return config.Team{Share: share, Tokens: []string{token}, Services: services}
}

func base() *config.Document {
	return &config.Document{
		Revision: 12,
		Teams: map[string]config.Team{
			"deeds":    team(6, "d1", "counsel-llm", "ledger-app"),
			"helpline": team(1, "h1", "counsel-llm"),
			"archive":  team(1, "a1", "counsel-llm"),
			"pledges":  team(2, "p1", "ledger-app"),
		},
		Services: map[string]config.Service{
			"counsel-llm": {Kind: config.KindModel, Models: []config.Model{{Name: "counsel", Version: "7"}}},
			"ledger-app":  {Kind: config.KindPlain},
		},
		Operators: map[string]string{"ana": "o1"},
	}
}

var facts = plan.Facts{
	BackendsKnown:       true,
	UnresponsiveRouters: 1,
	Backends: []plan.Backend{
		{ID: "hall-1", Service: "counsel-llm"}, {ID: "hall-2", Service: "counsel-llm"}, {ID: "book-1", Service: "ledger-app"},
	},
	Queues: []plan.Queue{{Team: "archive", Service: "counsel-llm", Waiting: 4}, {Team: "archive", Service: "counsel-llm", Waiting: 3}, {Team: "deeds", Service: "ledger-app", Waiting: 9}},
}

func lines(c *qt.C, a, b *config.Document, f plan.Facts) []string {
	p, err := plan.Compare(a, b, f)
	c.Assert(err, qt.IsNil)
	return p.Lines()
}

func TestPlanLines(t *testing.T) {
	c := qt.New(t)
	next := base()
	deeds := team(10, "d2", "counsel-llm")
	deeds.MaxQueued = 5
	next.Teams["deeds"] = deeds
	delete(next.Teams, "archive")
	next.Teams["receipts"] = team(0, "r1", "ledger-app", "new-app")
	next.Services["counsel-llm"] = config.Service{Kind: config.KindModel, Models: []config.Model{{Name: "counsel", Version: "8"}}, MaxBody: 4096}
	next.Services["new-app"] = config.Service{Kind: config.KindPlain}
	next.Drain = []string{"book-1", "nowhere"}
	next.Operators = map[string]string{"ana": "o2", "ben": "o3"}
	c.Assert(lines(c, base(), next, facts), qt.DeepEquals, []string{
		"Plan against revision 12: teams -archive, ~deeds 6->10, +receipts; services ~counsel-llm, +new-app; drain book-1, nowhere; operators ~ana, +ben",
		"Team archive: removed, its share was 1",
		"  of counsel-llm: 12.5 % -> 0.0 %",
		"  tokens: 0 added, 1 removed",
		"Team deeds: share 6 -> 10",
		"  of counsel-llm: 75.0 % -> 90.9 %",
		"  of ledger-app: 75.0 % -> 0.0 %",
		"  loses ledger-app",
		"  tokens: 1 added, 1 removed",
		"  requests that may wait: default -> 5",
		"Team receipts: added, share 0",
		"  of ledger-app: 0.0 % -> 0.0 %",
		"  of new-app: 0.0 % -> 0.0 %",
		"  tokens: 1 added, 0 removed",
		"The other 1 team of counsel-llm: 72.7 % of their present part each",
		"The other 1 team of ledger-app: 400.0 % of their present part each",
		"Service counsel-llm: changed",
		"  greatest body in bytes: default -> 4096",
		"  models: counsel@7 -> counsel@8",
		"  backend servers: hall-1, hall-2",
		"Service new-app: added",
		"  kind: none -> plain",
		"Backend server book-1 of ledger-app: drained: gets no new work, what runs is finished",
		"Backend server nowhere: drained: gets no new work, what runs is finished",
		"Operator ana: changed",
		"Operator ben: added",
		"Will be refused:",
		"  all requests of team archive: 401 unauthorized",
		"  requests of team deeds to ledger-app: 403 service-not-allowed",
		"  requests with 1 removed token of team deeds: 401 unauthorized",
		"  requests of team deeds when 5 wait at a router: 429 queue-full",
		"  all requests of team receipts: 403, its share is zero",
		"  requests to counsel-llm with a body over 4096 bytes: 413 body-too-large",
		"Warnings:",
		"  team archive is removed and has 7 requests waiting; they still run",
		"  team deeds loses ledger-app and has 9 requests for it waiting; they still run",
		"  the share of team receipts is zero",
		"  1 router gave no answer: requests that wait there were not counted",
		"  no backend server nowhere is known",
		"  every backend server of ledger-app is drained: book-1",
		"  service new-app has no backend servers",
	})
}

func TestRemovedServiceAndUnknownInstances(t *testing.T) {
	c := qt.New(t)
	next := base()
	delete(next.Services, "ledger-app")
	got := strings.Join(lines(c, base(), next, plan.Facts{}), "\n")
	c.Assert(got, qt.Contains, "Service ledger-app: removed")
	c.Assert(got, qt.Contains, "all requests to ledger-app: 404 unknown-service")
	c.Assert(got, qt.Contains, "the list of instances can't be read now")
}

func TestNoChange(t *testing.T) {
	c := qt.New(t)
	p, err := plan.Compare(base(), base(), facts)
	c.Assert(err, qt.IsNil)
	c.Assert(p.Empty(), qt.IsTrue)
	c.Assert(p.Summary, qt.Equals, "no change")
}

// The digest doesn't depend on the facts, and the teams' fractions of a pool add
// up to 1 if any team has a share.
func TestDigestAndFractions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		next := &config.Document{Teams: map[string]config.Team{}, Services: map[string]config.Service{"s": {Kind: config.KindModel}}}
		total := 0
		for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 5, rapid.ID).Draw(t, "teams") {
			share := rapid.IntRange(0, 1000).Draw(t, name)
			total += share
			next.Teams[name] = team(float64(share), name, "s")
		}
		p, err := plan.Compare(&config.Document{}, next, facts)
		if err != nil {
			t.Fatal(err)
		}
		other, _ := plan.Compare(&config.Document{}, next, plan.Facts{})
		if p.Digest != other.Digest {
			t.Fatal("the digest depends on the facts")
		}
		sum := 0.0
		for _, change := range p.Teams {
			sum += change.Pools[0].After
		}
		if total > 0 && (sum < 0.999999 || sum > 1.000001) || total == 0 && sum != 0 {
			t.Fatalf("fractions add up to %v of a total share of %d", sum, total)
		}
	})
}

// One data centre is evacuated and another one returned to service; the plan
// warns about services without another backend server and about unknown data
// centres.
func TestEvacuationLines(t *testing.T) {
	c := qt.New(t)
	before, next := base(), base()
	before.Evacuate = []string{"west"}
	next.Evacuate = []string{"east", "nowhere"}
	f := facts
	f.UnresponsiveRouters = 0
	f.Backends = []plan.Backend{
		{ID: "hall-1", Service: "counsel-llm", DataCentre: "east"}, {ID: "hall-2", Service: "counsel-llm", DataCentre: "west"},
		{ID: "book-1", Service: "ledger-app", DataCentre: "east"},
	}
	c.Assert(lines(c, before, next, f), qt.DeepEquals, []string{
		"Plan against revision 12: evacuate east, nowhere; take back west",
		"Data centre east: evacuated: its backend servers get no new work, what runs is finished",
		"Data centre nowhere: evacuated: its backend servers get no new work, what runs is finished",
		"Data centre west: its backend servers take work again",
		"Warnings:",
		"  no backend server is known in data centre nowhere",
		"  every backend server of ledger-app is drained: book-1",
	})
}
