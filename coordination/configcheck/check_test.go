package configcheck

import (
	"fmt"
	"math"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/state/config"
	"goldcrestport/state/routing"
)

// testFields names fields as no form does, so that a name that is not taken from them is
// noticed.
func testFields() Fields {
	return Fields{
		Routes: "RS", Services: "SS", Teams: "TS", Limits: "LS",
		Route:   RouteFields{Name: "rn", Host: "rh", Prefix: "rp", Attempts: "ra", Timeout: "rt", Objective: "ro", Split: "sp", Service: "rs", TargetService: "ts", TargetWeight: "tw", Homes: "rm"},
		Service: ServiceFields{Name: "sn", Engine: "en", Slots: "sl", ColdRate: "cr", ColdFor: "cf"},
		Team:    TeamFields{Name: "tn", Keys: "tk", Homes: "tm"},
	}
}

// manyRoutes returns a configuration with n routes on a hundred hosts and n teams; with
// mistakes, each entry has several findings.
func manyRoutes(n int, withMistakes bool) *Configuration {
	c := &Configuration{}
	for i := range 500 {
		c.Services = append(c.Services, routing.Service{Name: fmt.Sprintf("service-%d", i)})
	}
	for i := range n {
		r := routing.Route{
			Name: fmt.Sprintf("route-%d", i), Host: fmt.Sprintf("host-%d.example", i%100), Prefix: fmt.Sprintf("/path/%d/", i),
			Timeout: time.Second, Objective: time.Second / 2, Attempts: 1, Targets: []routing.Target{{Service: fmt.Sprintf("service-%d", i%500), Weight: 1}},
		}
		team := routing.Team{Name: fmt.Sprintf("team-%d", i), Keys: []string{fmt.Sprintf("key-%d", i), fmt.Sprintf("next-key-%d", i)}}
		if withMistakes {
			r.Name, r.Prefix, r.Objective, r.Targets[0].Service = "route", "/path/", time.Minute, "unknown"
			team.Name, team.Keys = "team", []string{"key"}
		}
		c.Routes, c.Teams = append(c.Routes, r), append(c.Teams, team)
	}
	return c
}

// processorTime returns the processor time of this process: a bound on it holds whatever
// else runs on the machine, and without other work it is not below the time that passes.
func processorTime(t *testing.T) time.Duration {
	var u syscall.Rusage
	qt.Assert(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u), qt.IsNil)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// An operator checks each change of a configuration of 100,000 routes, also one in which
// all entries are alike, which a comparison in pairs would take far longer for.
func TestHundredThousandRoutesInTwoSeconds(t *testing.T) {
	bound := time.Second
	// The smaller number first, with a tighter bound: pairs exceed it, and the test ends.
	for _, routes := range []int{10_000, 100_000} {
		for _, withMistakes := range []bool{false, true} {
			c, small := manyRoutes(routes, withMistakes), manyRoutes(1, false)
			runtime.GC()
			began := processorTime(t)
			found := Check(DefaultConfig(), Input{Config: c, Fields: testFields()})
			differences := Compare(c, small, testFields())
			took := processorTime(t) - began
			t.Logf("%d routes, mistakes=%v: %v", routes, withMistakes, took)
			qt.Check(t, len(found) > 0, qt.Equals, withMistakes)
			qt.Check(t, len(differences) > 0, qt.IsTrue)
			qt.Assert(t, took < bound, qt.IsTrue, qt.Commentf("%v", took))
		}
		bound = 2 * time.Second
	}
}

func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{1_000, 100_000} {
		for _, withMistakes := range []bool{false, true} {
			in := Input{Config: manyRoutes(n, withMistakes), Fields: testFields()}
			b.Run(fmt.Sprintf("routes=%d/mistakes=%v", n, withMistakes), func(b *testing.B) {
				for b.Loop() {
					Check(DefaultConfig(), in)
				}
			})
		}
	}
}

func BenchmarkCompare(b *testing.B) {
	old, updated := manyRoutes(100_000, false), manyRoutes(100_000, false)
	for i := range updated.Routes {
		updated.Routes[i].Timeout = time.Minute
	}
	for b.Loop() {
		Compare(old, updated, testFields())
	}
}

// Values that no JSON text holds, but the structures do.
func TestNumbersThatAreNone(t *testing.T) {
	c := manyRoutes(1, false)
	c.Services[0].ColdRate = math.NaN()
	c.Limits.TokensPerSecond = math.Inf(1)
	c.Limits.IdleTimeout = math.MaxInt64
	c.Routes[0].Targets = nil
	var codes []Code
	for _, f := range Check(DefaultConfig(), Input{Config: c, Fields: testFields()}) {
		if f.Code != ServiceUnused {
			codes = append(codes, f.Code)
		}
	}
	qt.Check(t, codes, qt.DeepEquals, []Code{UnknownService, OutOfRange, OutOfRange, OutOfRange})
}

func TestConfigRanges(t *testing.T) {
	qt.Check(t, DefaultConfig().Validate(), qt.IsNil)
	for _, c := range []Config{{}, {LeastPart: 1}, {LeastPart: math.NaN()}, {LeastPart: 0.1, Regions: []string{""}}} {
		qt.Check(t, c.Validate(), qt.IsNotNil, qt.Commentf("%+v", c))
	}
}

func TestWarningsOfADocument(t *testing.T) {
	d := &config.Document{
		Teams: map[string]config.Team{
			"a.b":    {Share: 1, Services: []string{"app"}, MaxQueuedBytes: 10},
			"closed": {Share: 0},
			"lost":   {Share: 1, Tokens: []string{"d"}},
		},
		Services: map[string]config.Service{
			"app":  {MaxBody: 11, NonIdempotent: []string{"/pay/card/", "/pay/"}},
			"idle": {},
		},
	}
	var got []string
	for _, f := range CheckDocument(d) {
		qt.Check(t, f.Severity, qt.Equals, Warning)
		got = append(got, fmt.Sprint(f.Code, " ", f.Place, " ", f.Name))
	}
	qt.Check(t, got, qt.DeepEquals, []string{
		`team_without_keys teams["a.b"].tokens a.b`, `queue_below_body teams["a.b"].max_queued_bytes a.b`, "team_without_services teams.lost.services lost",
		"prefix_covered services.app.non_idempotent[0] app", "service_unused services.idle idle",
	})
}

// TestDocumentationListsAllCodes compares the table of codes with the code's list, in both
// directions, with severities.
func TestDocumentationListsAllCodes(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONFIGURATION.md")
	qt.Assert(t, err, qt.IsNil)
	_, section, ok := strings.Cut(string(page), "### Codes of findings\n")
	qt.Assert(t, ok, qt.IsTrue)
	var got []Rule
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "#") {
			break
		}
		cells := strings.Split(line, "|")
		if len(cells) != 6 || !strings.HasPrefix(cells[1], " `") {
			continue
		}
		got = append(got, Rule{Code: Code(strings.Trim(cells[1], " `")), Severity: Severity(strings.TrimSpace(cells[2]))})
		qt.Check(t, strings.TrimSpace(cells[3]) != "" && strings.TrimSpace(cells[4]) != "", qt.IsTrue, qt.Commentf("%s", line))
	}
	qt.Check(t, got, qt.DeepEquals, Rules())
}
