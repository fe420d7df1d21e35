package observe

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"goldcrestport/standin/runs"
)

// Getter reads a JSON document of a process.
type Getter interface {
	Get(addr, path string, into any) error
}

// Sample is the service that each team had by a time, over all engines.
type Sample struct {
	At time.Time
	// Cost by team since the engines started, what runs included.
	Cost map[string]float64
	// Running requests by team.
	Running map[string]int
	// Ended runs and their cost.
	Ended     int
	EndedCost float64
}

// Runs follows the records of the engines of one service.
type Runs struct {
	get     Getter
	weight  float64
	engines []*engine
	started map[string]time.Time
}

// engine is what was read of one engine's record.
type engine struct {
	addr string
	// next is the first run that has to be read again.
	next  int64
	fixed map[int64]bool
	// cost of the runs that ended, by team.
	cost      map[string]float64
	open      []runs.Run
	ended     int
	endedCost float64
}

// NewRuns returns the follower of the engines at the addresses. A prompt token
// costs weight, a generated one 1, as the sidecars count.
func NewRuns(get Getter, weight float64, addrs ...string) *Runs {
	r := &Runs{get: get, weight: weight, started: map[string]time.Time{}}
	for _, a := range addrs {
		r.engines = append(r.engines, &engine{addr: a, cost: map[string]float64{}, fixed: map[int64]bool{}})
	}
	return r
}

// Poll reads what is new and returns the sums.
func (r *Runs) Poll(ctx context.Context) (Sample, error) {
	group, _ := errgroup.WithContext(ctx)
	news := make([][]runs.Run, len(r.engines))
	for i, e := range r.engines {
		group.Go(func() error {
			var err error
			news[i], err = e.read(r.get)
			return err
		})
	}
	at := time.Now()
	if err := group.Wait(); err != nil {
		return Sample{}, err
	}
	at = at.Add(time.Since(at) / 2)
	s := Sample{At: at, Cost: map[string]float64{}, Running: map[string]int{}}
	for i, e := range r.engines {
		r.apply(e, news[i])
		e.addTo(&s, r.weight)
	}
	return s, nil
}

// Started returns when the engine started the request, if it did.
func (r *Runs) Started(requestID string) (time.Time, bool) {
	at, ok := r.started[requestID]
	return at, ok
}

func (e *engine) read(get Getter) ([]runs.Run, error) {
	var answer struct {
		Runs []runs.Run `json:"runs"`
	}
	err := get.Get(e.addr, fmt.Sprintf("/admin/runs?from=%d", e.next), &answer)
	return answer.Runs, err
}

// apply takes in the runs from e.next on.
func (r *Runs) apply(e *engine, news []runs.Run) {
	e.open = e.open[:0]
	for _, run := range news {
		if e.fixed[run.Number] {
			continue
		}
		r.started[run.RequestID] = time.UnixMilli(run.StartedMS)
		if run.State == runs.Running {
			e.open = append(e.open, run)
			continue
		}
		e.fixed[run.Number] = true
		cost := costOf(run, r.weight)
		e.cost[run.Team] += cost
		e.ended++
		e.endedCost += cost
	}
	for len(news) > 0 && e.fixed[e.next] {
		delete(e.fixed, e.next)
		e.next++
	}
}

func (e *engine) addTo(s *Sample, weight float64) {
	for team, cost := range e.cost {
		s.Cost[team] += cost
	}
	for _, run := range e.open {
		s.Cost[run.Team] += costOf(run, weight)
		s.Running[run.Team]++
	}
	s.Ended += e.ended
	s.EndedCost += e.endedCost
}

func costOf(run runs.Run, weight float64) float64 {
	return float64(run.CostTokens-run.PromptTokens) + weight*float64(run.PromptTokens)
}
