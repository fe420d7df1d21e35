package slopes

import "fmt"

// Size is the size to design for.
type Size struct {
	Routers, Replicas, Accelerators, Teams, Models int
	Regions, DataCentres                           int
	Requests, Tokens                               float64
	// Backlogged is the part of the teams that always has work waiting.
	Backlogged float64
	// ChangesPerDay of the configuration.
	ChangesPerDay float64
	// Held is the number of requests that are open at once: the tokens a second
	// times the time between two tokens.
	Held float64
}

// Budgets of one node for control, and of the platform for the fleet.
const (
	budgetCPU     = 4.7
	budgetMemory  = 256.0
	budgetControl = 15 * 1024.0
	budgetReads   = 2000.0
	budgetWrites  = 500.0
)

// Target is the size that the users gave for the next two years.
var Target = Size{
	Routers: 800, Replicas: 2200, Accelerators: 18000, Teams: 2100, Models: 19,
	Regions: 7, DataCentres: 19,
	Requests: 26000, Tokens: 6.7e6,
	Backlogged: 0.1, ChangesPerDay: 9800,
	Held: 6.7e6 * 0.050,
}

// routersPerRegion and replicasPerRegion are what one process is linked with:
// links stay within a region.
func (s Size) routersPerRegion() float64  { return float64(s.Routers) / float64(s.Regions) }
func (s Size) replicasPerRegion() float64 { return float64(s.Replicas) / float64(s.Regions) }

// backlog is the number of teams with work waiting at one router: each of them
// is taken to be at every router of its region.
func (s Size) backlog() float64 { return float64(s.Teams) * s.Backlogged / float64(s.Regions) }

// part is one term of a cost.
type part struct {
	per string
	x   float64
}

// row is one line of the budget.
type row struct {
	role, cost string
	formula    string
	value      float64
	budget     float64
	measured   bool
	// control tells that the line counts against the budget of a node.
	note string
}

// verdict says whether the value keeps the budget.
func (r row) verdict() string {
	switch {
	case !r.measured:
		return "not measured"
	case r.budget == 0:
		return "no budget given"
	case r.value <= r.budget:
		return "kept"
	default:
		return fmt.Sprintf("BROKEN, %.1f times", r.value/r.budget)
	}
}

// budget works out every line at the size.
func budget(s *set, t Size) []row {
	backlog := part{perBacklog, t.backlog()}
	links := func(role string) part {
		if role == roleRouter {
			return part{perLinks, t.replicasPerRegion()}
		}
		return part{perLinks, t.routersPerRegion()}
	}
	var out []row
	for _, role := range []string{roleRouter, roleSidecar} {
		out = append(out,
			sum(s, role, costControl, budgetControl, "per second", links(role), backlog),
			sum(s, role, costCPU, budgetCPU, "control: at rest and with backlog", links(role), backlog),
			sum(s, role, costRSS, budgetMemory, "control: links, backlog, configuration", links(role), backlog, part{perTeams, float64(t.Teams)}),
			sum(s, role, costCPU, 0, "requests carried, not control", part{perRequests, t.Requests / t.nodes(role)}),
			sum(s, role, costCPU, 0, "tokens carried, not control", part{perTokens, t.Tokens / t.nodes(role)}),
			sum(s, role, costRSS, 0, "requests held, not control", part{perHeld, t.Held / t.nodes(role)}),
		)
	}
	out = append(out, pulls(s, t))
	return append(out, platformRows(s, t)...)
}

// nodes is the number of processes of the role.
func (s Size) nodes(role string) float64 {
	if role == roleRouter {
		return float64(s.Routers)
	}
	return float64(s.Replicas)
}

// sum adds the lines of several quantities. Each line's value at its least
// measured size counts once, with the first part; of the others the slope.
func sum(s *set, role, cost string, limit float64, note string, parts ...part) row {
	out := row{role: role, cost: cost, budget: limit, note: note, measured: true}
	for i, p := range parts {
		series := s.find(role, cost, p.per)
		if len(series.Points) < 3 {
			out.measured = false
			out.formula += fmt.Sprintf(" [%s: no run]", p.per)
			continue
		}
		f := series.Fit()
		if i == 0 {
			out.value += f.At(p.x)
			out.formula += fmt.Sprintf("%.4g + %.4g x %.0f %s", f.Intercept, f.Slope, p.x, p.per)
			continue
		}
		out.value += max(f.Slope, 0) * p.x
		out.formula += fmt.Sprintf(" + %.4g x %.0f %s", f.Slope, p.x, p.per)
	}
	return out
}

// pulls is a router's control with the messages that come with each request
// that waited: the pull and the changes of interest. The scenario of the
// backlog pulls all its requests, at the rate that its slots allow.
func pulls(s *set, t Size) row {
	out := row{role: roleRouter, cost: costControl, budget: budgetControl, note: "per second and per request that waited, all waiting"}
	load, links := s.find(roleRouter, costControl, perBacklog), s.find(roleRouter, costControl, perLinks)
	if len(load.Points) < 3 || len(links.Points) < 3 {
		out.formula = "[no run]"
		return out
	}
	var y []float64
	for _, p := range load.Points {
		y = append(y, p.Y)
	}
	rest := links.Fit()
	each := (mean(y) - rest.At(backlogSidecars)) / backlogRate
	perNode := t.Requests / float64(t.Routers)
	out.measured = true
	out.value = rest.At(t.replicasPerRegion()) + each*perNode
	out.formula = fmt.Sprintf("%.4g + %.4g x %.0f links + %.4g B x %.0f requests/s", rest.Intercept, rest.Slope, t.replicasPerRegion(), each, perNode)
	return out
}

// platformRows are the calls of the whole fleet at rest, from the periods that
// the processes keep (coordination/spread, transport/sidecar).
func platformRows(s *set, t Size) []row {
	const (
		watchers     = 2   // routers per data centre that watch
		watchEvery   = 3.0 // seconds
		listEvery    = 2.4 // seconds between list reads of the fleet
		leaseTTL     = 75.0
		safetyBudget = 100.0
	)
	w := watchers * float64(t.DataCentres)
	reads := w/watchEvery + 1/listEvery
	rest := row{
		role: rolePlatform, cost: costReads, budget: budgetReads, measured: true, value: reads,
		formula: fmt.Sprintf("%.0f watchers / %.0f s + 1 list / %.1f s", w, watchEvery, listEvery), note: "at rest",
	}
	worst := rest
	worst.value = reads + safetyBudget
	worst.formula += fmt.Sprintf(" + safety reads %.0f", safetyBudget)
	worst.note = "when no peer confirms"
	renew := float64(t.Replicas) / (leaseTTL / 3)
	writes := row{
		role: rolePlatform, cost: "writes/s", budget: budgetWrites, measured: true,
		value:   renew + 2*t.ChangesPerDay/86400,
		formula: fmt.Sprintf("%d slots / %.0f s + 2 x %.0f changes / 86400 s", t.Replicas, leaseTTL/3, t.ChangesPerDay),
		note:    "at rest, without claims",
	}
	measured := s.find(rolePlatform, costReads, perProcesses)
	if len(measured.Points) < 3 {
		rest.measured, worst.measured = false, false
	}
	return []row{rest, worst, writes}
}
