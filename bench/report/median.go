package report

import "slices"

// Medians returns, for each policy, the result with each main figure replaced
// by its median over the repeats, and the spread. The other figures are those
// of the repeat with the median gap. Results of a policy are in repeats.
func Medians(repeats map[string][]PolicyResult, order []string) ([]PolicyResult, []Spread) {
	var out []PolicyResult
	var spreads []Spread
	for _, policy := range order {
		all := repeats[policy]
		if len(all) == 0 {
			continue
		}
		r, s := medians(all)
		out, spreads = append(out, r), append(spreads, s)
	}
	return out, spreads
}

func medians(all []PolicyResult) (PolicyResult, Spread) {
	byGap := slices.Clone(all)
	slices.SortFunc(byGap, func(a, b PolicyResult) int { return compare(a.FairnessGap, b.FairnessGap) })
	r := byGap[len(byGap)/2]
	s := Spread{Policy: r.Policy}
	pick := func(of func(PolicyResult) float64) (float64, [2]float64) { return median(all, of) }
	r.FairnessGap, s.FairnessGap = pick(func(p PolicyResult) float64 { return p.FairnessGap })
	r.Utilisation, s.Utilisation = pick(func(p PolicyResult) float64 { return p.Utilisation })
	r.IdleWhileWaiting, s.IdleWhileWaiting = pick(func(p PolicyResult) float64 { return p.IdleWhileWaiting })
	r.LightWait, s.LightWait = pick(func(p PolicyResult) float64 { return p.LightWait })
	r.TTFT, s.TTFT = pick(func(p PolicyResult) float64 { return p.TTFT })
	r.ControlBytes = medianOf(all, func(p PolicyResult) *float64 { return p.ControlBytes })
	r.ControlCPU = medianOf(all, func(p PolicyResult) *float64 { return p.ControlCPU })
	return r, s
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// median returns the median (the mean of the middle two of an even number),
// the least and the largest value.
func median(all []PolicyResult, of func(PolicyResult) float64) (float64, [2]float64) {
	v := make([]float64, len(all))
	for i, p := range all {
		v[i] = of(p)
	}
	slices.Sort(v)
	n := len(v)
	return (v[(n-1)/2] + v[n/2]) / 2, [2]float64{v[0], v[n-1]}
}

// medianOf is the median of a figure that may be missing.
func medianOf(all []PolicyResult, of func(PolicyResult) *float64) *float64 {
	var known []PolicyResult
	for _, p := range all {
		if of(p) != nil {
			known = append(known, p)
		}
	}
	if len(known) == 0 {
		return nil
	}
	m, _ := median(known, func(p PolicyResult) float64 { return *of(p) })
	return &m
}
