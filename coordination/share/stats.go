package share

import (
	"math"
	"time"
)

// Stats counts the scheduler's actions, for the operators' metrics.
type Stats struct {
	Starts   int64
	Pulls    int64
	Empties  int64
	Declines int64
	// BusySlots is the total time in which slots ran attempts.
	BusySlots time.Duration
	// IdleWhileWaiting is the total time in which slots were idle while a router had
	// reported queued work.
	IdleWhileWaiting time.Duration
}

func (t *Stats) advance(s *State, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	t.BusySlots += time.Duration(len(s.runs)) * elapsed
	if idle := s.slots - len(s.runs); idle > 0 && !s.closed() && s.hasBacklog() {
		t.IdleWhileWaiting += time.Duration(idle) * elapsed
	}
}

// Stats returns the counts so far.
func (s *State) Stats() Stats { return s.stats }

// TeamCosts calls visit with the cost of each team's service here since the start.
func (s *State) TeamCosts(visit func(team string, cost float64)) {
	for team := range s.accounts {
		visit(team, s.ledger.Own(team))
	}
}

// Parameters of the look-ahead.
const (
	// timingGain is the weight of a new duration in the averages.
	timingGain = 0.1
	// toleratedIdleFraction is the fraction of a slot's time that may pass idle during a pull.
	// Below it, work is assigned to a slot as late as possible instead.
	toleratedIdleFraction = 0.001
)

// timing holds the averages from which the look-ahead is computed, in seconds.
type timing struct {
	roundTrip float64
	runTime   float64
}

func (t *timing) observeRoundTrip(d time.Duration) { updateMean(&t.roundTrip, d) }

func (t *timing) observeRun(d time.Duration) { updateMean(&t.runTime, d) }

func updateMean(mean *float64, d time.Duration) {
	if *mean == 0 {
		*mean = d.Seconds()
		return
	}
	*mean += timingGain * (d.Seconds() - *mean)
}

// lookAhead returns how many requests to pull ahead of a free slot: at most as many as end
// during one round trip, and none where the idle time does not matter. Until both times
// are known it is the maximum.
func (t *timing) lookAhead(slots, limit int) int {
	if t.runTime == 0 || t.roundTrip == 0 {
		return limit
	}
	idle := t.roundTrip / t.runTime
	if idle < toleratedIdleFraction {
		return 0
	}
	return min(limit, int(math.Ceil(idle*float64(slots))))
}
