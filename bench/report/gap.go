package report

import (
	"math"
	"slices"
	"time"

	"goldcrestport/bench/load"
)

// sampleSlack is how much shorter than asked a window may be, since samples lie
// apart.
const sampleSlack = 500 * time.Millisecond

// Gap returns the largest difference of cost per share between two of the
// teams from the first to the last sample, in cost units, with the cost per
// share of each team.
func Gap(teams []load.Team, samples []TeamSample) (float64, map[string]float64) {
	per := map[string]float64{}
	if len(samples) < 2 || len(teams) == 0 {
		return 0, per
	}
	first, last := samples[0], samples[len(samples)-1]
	least, most := math.Inf(1), math.Inf(-1)
	for _, t := range teams {
		v := (last.Cost[t.Name] - first.Cost[t.Name]) / t.Share
		per[t.Name] = v
		least, most = min(least, v), max(most, v)
	}
	return most - least, per
}

// pendingWeight is the part of an estimate that counts while a request is
// pulled or has not cost as much yet; the sidecars' default.
const pendingWeight = 0.3

// Bound returns what the gap of the pull policy must stay below, in cost
// units, by the formula of docs/FAIRNESS.md for a pool in which every sidecar
// sees every team:
//
//	N ((S + L) (C + w E) + S r t) / f
//
// with the estimate E taken as large as the dearest request C. That bounds how
// far one team is ahead of another at any time. A window may begin with the one
// ahead and end with the other, so the gap over a window is bounded by twice
// that.
func Bound(p Pool, teams []load.Team) float64 {
	least := math.Inf(1)
	for _, t := range teams {
		least = min(least, t.Share)
	}
	if math.IsInf(least, 1) {
		return 0
	}
	const bothEdges = 2
	underWay := float64(p.Slots+p.LookAhead) * p.MaxCost * (1 + pendingWeight)
	uncharged := float64(p.Slots) * p.CostRate * p.ChargeEvery.Seconds()
	return bothEdges * float64(p.Sidecars) * (underWay + uncharged) / least
}

// windowGaps returns the gaps over windows of each of the trial's lengths.
func (t *Trial) windowGaps(teams []load.Team, mean float64) []WindowGap {
	samples := t.window(t.To.Sub(t.From))
	var out []WindowGap
	for _, w := range t.Windows {
		gaps := placedGaps(teams, samples, w)
		if len(gaps) == 0 {
			continue
		}
		slices.Sort(gaps)
		out = append(out, WindowGap{
			Seconds:    w.Seconds(),
			Placements: len(gaps),
			Median:     ratio(gaps[len(gaps)/2], mean),
			Largest:    ratio(gaps[len(gaps)-1], mean),
		})
	}
	return out
}

// placedGaps returns the gap over every window of the length that begins at a
// sample.
func placedGaps(teams []load.Team, samples []TeamSample, length time.Duration) []float64 {
	var out []float64
	end := 0
	for begin := range samples {
		for end < len(samples) && samples[end].At.Sub(samples[begin].At) < length-sampleSlack {
			end++
		}
		if end == len(samples) {
			break
		}
		gap, _ := Gap(teams, samples[begin:end+1])
		out = append(out, gap)
	}
	return out
}

// silence returns the longest time without a completion of each saturating
// team, also of those that a restart kept from being backlogged throughout.
func (t *Trial) silence() map[string]float64 {
	out := map[string]float64{}
	for _, team := range t.Teams {
		if !team.Saturating() {
			continue
		}
		last, longest := t.From, time.Duration(0)
		for _, r := range t.Results {
			if r.Team != team.Name || r.Ending != load.Completed {
				continue
			}
			longest = max(longest, r.End.Sub(last))
			last = r.End
		}
		out[team.Name] = millis(max(longest, t.To.Sub(last)))
	}
	return out
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
