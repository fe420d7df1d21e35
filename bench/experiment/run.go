package experiment

import (
	"context"
	"slices"

	"goldcrestport/bench/report"
)

// Progress tells how a finished trial went.
type Progress func(repeat int, r report.PolicyResult)

// Run runs every policy, repeat after repeat, so that slow changes of the
// machine meet all policies. It returns the report and the last repeat's
// trials for the plot.
func Run(ctx context.Context, o Options, tell Progress) (report.Report, []*report.Trial, error) {
	policies, err := Named(o.Policies)
	if err != nil {
		return report.Report{}, nil, err
	}
	results := map[string][]report.PolicyResult{}
	var last []*report.Trial
	for n := range o.Repeat {
		last = nil
		for _, p := range policies {
			t, err := runTrial(ctx, o, p)
			if err != nil {
				return report.Report{}, nil, err
			}
			r := t.Figures()
			tell(n+1, r)
			results[p.Name] = append(results[p.Name], r)
			last = append(last, t)
		}
	}
	return summary(o, policies, results), last, nil
}

// notRun names the policies that were left out.
func notRun(order []string) []string {
	out := []string{}
	for _, p := range Policies() {
		if !slices.Contains(order, p.Name) {
			out = append(out, p.Name)
		}
	}
	return out
}

func summary(o Options, policies []Policy, results map[string][]report.PolicyResult) report.Report {
	var order []string
	for _, p := range policies {
		order = append(order, p.Name)
	}
	r := report.Report{
		Chosen: Chosen, NotRun: notRun(order), Repeats: o.Repeat, Seconds: o.length().Seconds(),
		RateScale: o.Scale, Restarted: o.Restart,
	}
	r.PolicyResults, r.Spread = report.Medians(results, order)
	r.Checks = report.Checks(r.PolicyResults, Chosen)
	return r
}
