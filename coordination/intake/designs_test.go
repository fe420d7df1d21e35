package intake

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// outcome is the result of the floods of a run: the least that a team got in relation to
// the lesser of what it asked for and what the best-served team got, the fraction of tries
// that failed, and the fraction of the servers' tokens that was used.
type outcome struct {
	least, failed, served float64
}

// floods are those of two teams at once, one from a single caller in one data centre, one
// from callers in all of them, beside the usual load of other teams.
func floods(centres int, perSec float64) []modelFlow {
	all := make([]int, centres)
	for i := range all {
		all[i] = i
	}
	flows := []modelFlow{
		{team: "narrow", centres: []int{0}, callers: 1, rate: 1.6 * perSec / modelTokens},
		{team: "wide", centres: all, callers: 4, rate: 1.6 * perSec / modelTokens},
	}
	for i := range 12 {
		flows = append(flows, modelFlow{team: fmt.Sprint("usual-", i), centres: []int{i % centres}, callers: 2, rate: 0.3 / 12 * perSec / modelTokens})
	}
	return flows
}

// minAskedRate is the number of requests a second from which a team counts as asking
// throughout.
const minAskedRate = 5

func measure(d design, seed uint64, routers, centres int) outcome {
	perSec := 60_000 * float64(routers)
	f := newModelFleet(d, seed, routers, centres, perSec)
	flows := floods(centres, perSec)
	f.run(3*time.Second, flows[2:])
	least, served, tries, failed := 10.0, 0.0, 0, 0
	for range 2 {
		f.got, f.asked = map[string]float64{}, map[string]float64{}
		before, lost := f.tries, f.failed
		f.run(6*time.Second, flows)
		tries += f.tries - before
		failed += f.failed - lost
		best := 0.0
		for _, got := range f.got {
			best = max(best, got)
		}
		for team, asked := range f.asked {
			if asked < 6*minAskedRate*modelTokens {
				continue
			}
			// A difference of three requests is within chance.
			if owed := min(asked, best) - 3*modelTokens; owed > 0 {
				least = min(least, f.got[team]/owed)
			}
		}
		for _, got := range f.got {
			served += got / (12 * perSec)
		}
	}
	return outcome{least: least, failed: float64(failed) / float64(tries), served: served}
}

var designs = []design{
	{name: "close all when late"},
	{name: "counts all", countsAll: true},
	{name: "limits", limits: true},
	{name: "limits, counts all", limits: true, countsAll: true},
	{name: "throttles", countsAll: true, throttles: true},
	{name: "limits, counts all, throttles", limits: true, countsAll: true, throttles: true},
	{name: "hands over", countsAll: true, handsOver: true},
	{name: "limits, counts all, hands over", limits: true, countsAll: true, handsOver: true},
	{name: "limits, counts all, hands over, throttles", limits: true, countsAll: true, handsOver: true, throttles: true},
}

// implemented is the design that routers use.
var implemented = design{name: "limits, counts all, throttles", limits: true, countsAll: true, throttles: true}

// worst returns the lowest result over some seeds, and the means.
func worst(d design, seeds uint64, routers, centres int) (least float64, mean outcome) {
	least = 10
	for seed := range seeds {
		o := measure(d, seed, routers, centres)
		least = min(least, o.least)
		mean.least += o.least / float64(seeds)
		mean.failed += o.failed / float64(seeds)
		mean.served += o.served / float64(seeds)
	}
	return least, mean
}

// target is what the least-served team is to get, as a fraction of the lesser of what it
// asked for and what the best-served team got.
const target = 0.7

// sizes are fleets of few and many routers.
var sizes = []struct{ routers, centres int }{{3, 3}, {30, 3}, {103, 5}, {300, 5}}

// Guards against a team that gets far less than others because its callers reach few
// routers: in each six seconds of two floods the least-served team gets its part.
func TestTheLeastServedTeamGetsItsPart(t *testing.T) {
	for _, size := range sizes {
		least, mean := worst(implemented, 3, size.routers, size.centres)
		qt.Check(t, least >= target, qt.IsTrue, qt.Commentf("%d routers: least %.2f, on average %.2f", size.routers, least, mean.least))
	}
}

// Guards against a design that serves the least-served team less than closing all
// connections while late does.
func TestLimitingServesLeastServedTeamMore(t *testing.T) {
	_, before := worst(design{}, 3, 30, 3)
	_, after := worst(implemented, 3, 30, 3)
	qt.Check(t, after.least > before.least, qt.IsTrue, qt.Commentf("%.2f after %.2f", after.least, before.least))
}

// BenchmarkDesigns compares what the least-served team gets under the designs, and their
// cost in failed tries and unused tokens of the servers.
func BenchmarkDesigns(b *testing.B) {
	for _, size := range sizes {
		for _, d := range designs {
			b.Run(fmt.Sprintf("%d/%s", size.routers, d.name), func(b *testing.B) {
				for range b.N {
					_, mean := worst(d, 2, size.routers, size.centres)
					b.ReportMetric(mean.least, "least")
					b.ReportMetric(mean.failed, "failed")
					b.ReportMetric(mean.served, "served")
				}
			})
		}
	}
}
