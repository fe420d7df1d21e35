package pace

import (
	"cmp"
	"slices"
	"time"
)

// errorGain is the weight of one run in the mean error.
const errorGain = 0.02

// errorMean holds the mean errors of the estimated times to first tokens.
type errorMean struct {
	runs     int
	absolute time.Duration
	signed   time.Duration
}

// Estimated records an estimated time to a first token, and the time that it took.
func (s *Server) Estimated(estimate, took time.Duration) {
	e := &s.service.errors
	e.runs++
	diff := took - estimate
	gain := max(errorGain, 1/float64(e.runs))
	e.signed += time.Duration(gain * float64(diff-e.signed))
	e.absolute += time.Duration(gain * float64(max(diff, -diff)-e.absolute))
}

// Summary is what is known of a service, for logs and metrics.
type Summary struct {
	Service string
	// Rate is the service's prefill rate, Slowest and Fastest those of its servers, in tokens per
	// millisecond.
	Rate, Slowest, Fastest float64
	// Servers is the number of servers, Learnt that of the servers whose evidence weighs more than the
	// prior, Config.ServerPrior.
	Servers, Learnt int
	Overhead        time.Duration
	// Slowdown is the mean of the reported slowdowns.
	Slowdown float64
	// Runs is the number of first tokens, Error the mean absolute error of their estimates, and Late
	// the mean time by which they came later.
	Runs        int
	Error, Late time.Duration
}

// Summaries returns the services for which the estimate is used and something was learnt, by name.
func (s *State) Summaries(now time.Time) []Summary {
	var out []Summary
	byService := make(map[*service]int)
	for _, srv := range s.servers {
		if !srv.InUse(now) || srv.service.prefills.tokens == 0 {
			continue
		}
		at, known := byService[srv.service]
		if !known {
			at = len(out)
			byService[srv.service] = at
			out = append(out, s.summary(now, srv.service))
		}
		rate := 1 / srv.TokenTime(now)
		one := &out[at]
		one.Servers++
		one.Slowest, one.Fastest = min(one.Slowest, rate), max(one.Fastest, rate)
		if srv.prefills.tokens*srv.prefills.weight(now, s.cfg.Decay) > s.cfg.ServerPrior {
			one.Learnt++
		}
	}
	slices.SortFunc(out, func(a, b Summary) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (s *State) summary(now time.Time, one *service) Summary {
	rate := 1 / s.cfg.tokenTimeOf(now, one)
	return Summary{
		Service: one.name, Rate: rate, Slowest: rate, Fastest: rate, Overhead: one.overhead, Slowdown: one.slowdown,
		Runs: one.errors.runs, Error: one.errors.absolute, Late: one.errors.signed,
	}
}
