package throttle

import (
	"math"
	"time"
)

// account holds what one team may send at this router.
type account struct {
	updated time.Time
	// requested and sent are decaying sums of tokens over AverageTime, including throttled
	// requests; recentRequested is one over ShortAverageTime. reportedRequested follows
	// requested with the age of the other routers' reports. baseline follows sent slowly.
	requested, sent, recentRequested, reportedRequested, baseline float64
	// throttled is true while the team's requests count against rate, which is its share
	// of the bound at this router, in tokens per second.
	throttled bool
	rate      float64
	// boost is the factor by which rate is raised because other routers don't use their
	// shares.
	boost float64
	// credit is the number of tokens that may be sent at once. It is below 0 if the last
	// request was larger than the credit.
	credit float64
	// debt is the number of tokens sent in excess of the rate before the team was
	// throttled.
	debt float64
}

// advance moves the account to now.
func (a *account) advance(now time.Time, cfg Config) {
	elapsed := now.Sub(a.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	a.updated = now
	keep := math.Exp(-elapsed / cfg.AverageTime.Seconds())
	a.requested *= keep
	a.sent *= keep
	a.recentRequested *= math.Exp(-elapsed / cfg.ShortAverageTime.Seconds())
	a.baseline += (a.sent - a.baseline) * (1 - math.Exp(-elapsed/cfg.BaselineTime.Seconds()))
	a.reportedRequested += (a.requested - a.reportedRequested) * (1 - math.Exp(-elapsed/cfg.ReportAge.Seconds()))
	if !a.throttled {
		return
	}
	earned := a.rate * elapsed
	repaid := min(cfg.RepayFraction*earned, a.debt)
	a.debt -= repaid
	a.credit = min(a.credit+earned-repaid, a.rate*cfg.BurstTime.Seconds())
}

// assign sets the team's rate at this router: its bound over the fleet times the fraction
// of its requests that arrive here.
func (a *account) assign(t Team, bound float64, isLeast bool, elapsed time.Duration, cfg Config) {
	throttled := !math.IsInf(bound, 1) && t.RequestedRate >= cfg.NearFraction*bound
	if !throttled {
		a.throttled = false
		return
	}
	if a.throttled {
		a.updateBoost(t, bound, elapsed, cfg)
	} else {
		a.boost = 1
	}
	a.rate = bound * a.localFraction(t, isLeast, cfg) * a.boost
	if !a.throttled {
		a.throttled = true
		a.startThrottling(cfg)
	}
	if isLeast {
		a.debt = 0
	}
}

// updateBoost raises the boost while the team gets less than its bound: lagging routers
// receive a part of the requests, and so of the rate, but don't send it.
func (a *account) updateBoost(t Team, bound float64, elapsed time.Duration, cfg Config) {
	missing := 1 - t.StartedRate/bound
	if a.debt > 0 || missing > 0 && t.ThrottledRate < throttledFraction*(t.RequestedRate-t.StartedRate) {
		return
	}
	a.boost = min(max(a.boost*math.Exp(missing*elapsed.Seconds()/cfg.BoostTime.Seconds()), 1), cfg.MaxBoost)
}

// throttledFraction is the fraction of a team's unserved requests that must have been
// refused by the throttle for the throttle to count as what limits the team.
const throttledFraction = 0.5

// localFraction returns the fraction of the team's requests that arrives here, as other
// routers know it. With the current rate instead, each router would take too large a share
// when a flood starts. For the least served team the short average counts if it is larger:
// its routers lag, so its clients may have used other routers a moment ago.
func (a *account) localFraction(t Team, isLeast bool, cfg Config) float64 {
	averageSeconds := cfg.AverageTime.Seconds()
	own := a.reportedRequested / averageSeconds
	if isLeast {
		own = max(own, a.recentRequested/cfg.ShortAverageTime.Seconds())
	}
	others := max(t.RequestedRate-a.requested/averageSeconds, 0)
	return own / max(own+others, 1)
}

// startThrottling opens the account. The tokens recently sent beyond the team's baseline
// become debt; the baseline itself took nothing from other teams. A team without debt may
// send at once.
func (a *account) startThrottling(cfg Config) {
	saved := a.rate * cfg.BurstTime.Seconds()
	a.debt = min(max(a.sent-max(a.baseline, saved), 0), a.rate*cfg.MaxDebtTime.Seconds())
	a.credit = 0
	if a.debt == 0 {
		a.credit = max(saved, 1)
	}
}

// waitTime returns the time until the credit is positive.
func (a *account) waitTime(cfg Config) time.Duration {
	rate := a.rate
	if a.debt > 0 {
		rate *= 1 - cfg.RepayFraction
	}
	if a.credit > 0 || rate <= 0 {
		return 0
	}
	return time.Duration(-a.credit / rate * float64(time.Second))
}
