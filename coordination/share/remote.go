package share

import (
	"math"
	"sort"
	"time"

	"goldcrestport/state/ledger"
)

// serviceRateWindow is the time constant of the average of the pool's service rate.
const serviceRateWindow = 5 * time.Second

// serviceRate is a moving average of the cost served per second.
type serviceRate struct {
	sum  float64
	rate float64
}

func (p *serviceRate) add(cost float64) { p.sum += cost }

func (p *serviceRate) advance(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	now := p.sum / elapsed.Seconds()
	p.rate += (now - p.rate) * -math.Expm1(-elapsed.Seconds()/serviceRateWindow.Seconds())
	p.sum = 0
}

// mergeCounters merges the counters of other sidecars. The first counter of a sidecar for
// a team doesn't change the team's virtual service. An update of an extrapolated counter
// replaces the presumed cost. An update after a long silence is deferred and counted
// slowly, so that no team starves while the service during a partition is repaid.
func (s *State) mergeCounters(now time.Time, ev CountersReceived) {
	for _, c := range ev.Counters {
		if !s.hasRoom(c.Team) {
			continue
		}
		a := s.account(c.Team)
		before := s.virtualService(a)
		switch s.ledger.Merge(now, c) {
		case ledger.First:
			a.offset += before - s.virtualService(a)
		case ledger.Late:
			a.deferred += s.virtualService(a) - before
		}
	}
	if !s.restored && len(ev.Ahead) > 0 {
		s.restored = true
		s.restoreDebts(ev.Ahead)
	}
}

// hasRoom reports whether a team named by another sidecar has an account or may get one:
// messages from peers must not grow the table without bound.
func (s *State) hasRoom(team string) bool {
	return s.accounts[team] != nil || len(s.accounts) < s.cfg.Ledger.MaxTeams
}

// restoreDebts restores the teams' debts after a restart, as reported by another sidecar.
func (s *State) restoreDebts(ahead map[string]float64) {
	for team, debt := range ahead {
		if !s.hasRoom(team) {
			continue
		}
		a := s.account(team)
		if target := s.virtualLevel + debt; debt > 0 && s.virtualService(a) < target {
			a.offset += target - s.virtualService(a)
		}
	}
}

// countDeferred counts deferred service, at no more than RepayFraction of the fair rate.
func (s *State) countDeferred(elapsed time.Duration) {
	totalShare := 0.0
	for _, a := range s.backlogged {
		totalShare += s.share(a.team)
	}
	if totalShare == 0 {
		return
	}
	limit := s.cfg.RepayFraction * s.serviceRate.rate / totalShare * elapsed.Seconds()
	for _, a := range s.accounts {
		a.deferred -= max(-limit, min(limit, a.deferred))
	}
}

// Counters returns at most the given number of this sidecar's counters that others need:
// those of teams that are backlogged or were charged here recently. The ones not sent for
// longest come first, so that the limit delays counters but drops none.
func (s *State) Counters(limit int) []ledger.Counter {
	var due []*account
	for _, a := range s.accounts {
		if a.isBacklogged() || s.now.Sub(a.lastCharged) < s.cfg.Ledger.StaleAfter {
			due = append(due, a)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		if due[i].lastSent != due[j].lastSent {
			return due[i].lastSent < due[j].lastSent
		}
		return due[i].team < due[j].team
	})
	due = due[:min(len(due), limit)]
	out := make([]ledger.Counter, 0, len(due))
	for _, a := range due {
		s.sendSeq++
		a.lastSent = s.sendSeq
		out = append(out, s.ledger.OwnCounter(a.team))
	}
	return out
}

// Snapshot returns all known counters, and how far each backlogged team is ahead of the
// smallest virtual service, for a sidecar that restarted.
func (s *State) Snapshot() ([]ledger.Counter, map[string]float64) {
	ahead := map[string]float64{}
	lowest := s.minVirtualService(nil)
	for _, a := range s.backlogged {
		ahead[a.team] = s.virtualService(a) - lowest
	}
	return s.ledger.All(), ahead
}
