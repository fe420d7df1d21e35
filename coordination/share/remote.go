package share

import (
	"math"
	"sort"
	"time"

	"goldcrestport/state/ledger"
)

// paceWindow is the time over which the pool's rate of service is averaged.
const paceWindow = 5 * time.Second

// pace is a moving average of the cost given per second.
type pace struct {
	sum  float64
	rate float64
}

func (p *pace) add(cost float64) { p.sum += cost }

func (p *pace) advance(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	now := p.sum / elapsed.Seconds()
	p.rate += (now - p.rate) * -math.Expm1(-elapsed.Seconds()/paceWindow.Seconds())
	p.sum = 0
}

// heard merges the counters of other sidecars. A first word moves nothing: the
// teams go on from where they are. News of an extrapolated counter replaces
// the presumption. News after a long silence is held back and counted slowly,
// so that no team starves while a partition is repaid.
func (s *State) heard(now time.Time, ev Heard) {
	for _, c := range ev.Counters {
		if !s.hasRoom(c.Team) {
			continue
		}
		a := s.account(c.Team)
		before := s.virtual(a)
		switch s.ledger.Merge(now, c) {
		case ledger.First:
			a.lift += before - s.virtual(a)
		case ledger.Late:
			a.held += s.virtual(a) - before
		}
	}
	if !s.restored && len(ev.Ahead) > 0 {
		s.restored = true
		s.restore(ev.Ahead)
	}
}

// hasRoom reports whether a team that other sidecars tell of has an account or
// may get one: what peers send must not grow the table without bound.
func (s *State) hasRoom(team string) bool {
	return s.accounts[team] != nil || len(s.accounts) < s.cfg.Ledger.MaxTeams
}

// restore takes back the debts of teams after a restart, as another sidecar
// sees them.
func (s *State) restore(ahead map[string]float64) {
	for team, debt := range ahead {
		if !s.hasRoom(team) {
			continue
		}
		a := s.account(team)
		if to := s.level + debt; debt > 0 && s.virtual(a) < to {
			a.lift += to - s.virtual(a)
		}
	}
}

// release counts what is held back, at a part of the fair rate at most.
func (s *State) release(elapsed time.Duration) {
	shares := 0.0
	for _, a := range s.backlogged {
		shares += s.share(a.team)
	}
	if shares == 0 {
		return
	}
	most := s.cfg.RepayFraction * s.pace.rate / shares * elapsed.Seconds()
	for _, a := range s.accounts {
		a.held -= max(-most, min(most, a.held))
	}
}

// Counters returns the own counters that other sidecars need, most at most:
// those of teams that are backlogged or were charged here a short while ago.
// The ones untold for longest come first, so that a bound delays but drops
// none.
func (s *State) Counters(most int) []ledger.Counter {
	var due []*account
	for _, a := range s.accounts {
		if a.backlogged() || s.now.Sub(a.charged) < s.cfg.Ledger.StaleAfter {
			due = append(due, a)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		if due[i].told != due[j].told {
			return due[i].told < due[j].told
		}
		return due[i].team < due[j].team
	})
	due = due[:min(len(due), most)]
	out := make([]ledger.Counter, 0, len(due))
	for _, a := range due {
		s.tellings++
		a.told = s.tellings
		out = append(out, s.ledger.OwnCounter(a.team))
	}
	return out
}

// Standing returns every counter that is known, and how far each backlogged
// team is ahead of the smallest virtual service, for a sidecar that restarted.
func (s *State) Standing() ([]ledger.Counter, map[string]float64) {
	ahead := map[string]float64{}
	base := s.smallest(nil)
	for _, a := range s.backlogged {
		ahead[a.team] = s.virtual(a) - base
	}
	return s.ledger.All(), ahead
}
