package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/bench/fleet"
	"goldcrestport/bench/load"
	"goldcrestport/bench/observe"
	"goldcrestport/bench/report"
)

// trial is one policy serving the workload once.
type trial struct {
	opts   Options
	teams  []load.Team
	setup  *setup
	record *load.Recorder
	driver *load.Driver
	runs   *observe.Runs
	out    *report.Trial
}

// runTrial starts a fleet, loads it for the settling time and the window,
// observes it at rest with work waiting, and ends it.
func runTrial(ctx context.Context, o Options, p Policy) (*report.Trial, error) {
	teams := load.Teams(o.Scale)
	s, err := start(ctx, o, p, teams)
	if err != nil {
		return nil, errors.Wrapf(err, "fleet for %s", p.Name)
	}
	defer s.fleet.Close()
	t := newTrial(o, p, teams, s)
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	callers.Go(func() { t.driver.Run(ctx) })
	err = t.observe(ctx)
	cancel()
	callers.Wait()
	return t.out, err
}

func newTrial(o Options, p Policy, teams []load.Team, s *setup) *trial {
	record := load.NewRecorder(teams)
	t := &trial{
		opts: o, teams: teams, setup: s, record: record,
		driver: load.NewDriver(load.Config{Teams: teams, Routers: s.callers(), Seed: o.Seed, Scale: o.Scale}, record),
		runs:   observe.NewRuns(s.fleet, promptWeight, addressesOf(s.engines)...),
	}
	t.out = &report.Trial{
		Policy: p.Name, Teams: teams, Windows: o.Windows, Started: t.runs.Started,
		Pool: report.Pool{
			Sidecars: modelSidecars, Slots: modelSlots, LookAhead: o.LookAhead,
			MaxCost:  load.MaxTokens/o.Scale + promptWeight*load.MaxPromptTokens,
			CostRate: float64(time.Second) / float64(engineStep), ChargeEvery: chargeEvery,
		},
	}
	return t
}

// observe watches the load from its start to the end of the quiet span.
func (t *trial) observe(ctx context.Context) error {
	if !wait(ctx, settleTime) {
		return ctx.Err()
	}
	t.out.From = time.Now()
	t.out.To = t.out.From.Add(t.opts.length())
	t.out.Before = observe.ReadUse(t.setup.fleet, t.setup.product())
	errs := make(chan error, 2)
	go func() { errs <- t.sampleTeams(ctx) }()
	go func() { errs <- t.sampleSlots(ctx) }()
	restarted := t.restart(ctx)
	err := errors.CombineErrors(<-errs, <-errs)
	err = errors.CombineErrors(err, <-restarted)
	t.out.After = observe.ReadUse(t.setup.fleet, t.setup.product())
	t.out.Results = t.record.Results(t.out.From, t.out.To)
	if err != nil || ctx.Err() != nil {
		return errors.CombineErrors(err, ctx.Err())
	}
	t.quiet(ctx)
	return nil
}

// sampleTeams samples the service by team until the window ends.
func (t *trial) sampleTeams(ctx context.Context) error {
	return t.every(ctx, teamsEvery, func() error {
		s, err := t.runs.Poll(ctx)
		if err != nil {
			return err
		}
		out := map[string]int{}
		for _, team := range t.teams {
			out[team.Name] = t.record.Outstanding(team.Name)
		}
		t.out.Samples = append(t.out.Samples, report.TeamSample{Sample: s, Outstanding: out})
		return nil
	})
}

// sampleSlots samples the use of the pool's slots until the window ends.
func (t *trial) sampleSlots(ctx context.Context) error {
	addrs := addressesOf(t.setup.engines)
	return t.every(ctx, slotsEvery, func() error {
		s, err := observe.SampleSlots(ctx, t.setup.fleet, addrs, t.outstanding)
		if err == nil {
			t.out.SlotSamples = append(t.out.SlotSamples, s)
		}
		return err
	})
}

// outstanding returns the requests of the model service that have not ended.
func (t *trial) outstanding() int {
	n := 0
	for _, team := range t.teams {
		if team.Service() == load.ModelService {
			n += t.record.Outstanding(team.Name)
		}
	}
	return n
}

// every calls sample with a period until the window has ended.
func (t *trial) every(ctx context.Context, period time.Duration, sample func() error) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for time.Now().Before(t.out.To) {
		if err := sample(); err != nil {
			return errors.Wrap(err, "sample")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// restart kills routers in the middle of the window and starts them again.
func (t *trial) restart(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		if !wait(ctx, t.opts.length()/2) {
			done <- nil
			return
		}
		var err error
		for _, r := range t.setup.routers[:t.opts.Restart] {
			err = errors.CombineErrors(err, r.Restart())
		}
		done <- err
	}()
	return done
}

// quiet stops the engines and the callers while work waits, so that what the
// routers and sidecars use is for control alone.
func (t *trial) quiet(ctx context.Context) {
	t.driver.Pause()
	each(t.setup.engines, (*fleet.Process).Freeze)
	defer each(t.setup.engines, (*fleet.Process).Wake)
	if !wait(ctx, quietLead) {
		return
	}
	t.out.QuietBefore = observe.ReadUse(t.setup.fleet, t.setup.product())
	wait(ctx, quietTime)
	t.out.QuietAfter = observe.ReadUse(t.setup.fleet, t.setup.product())
}

func each(ps []*fleet.Process, do func(*fleet.Process)) {
	for _, p := range ps {
		do(p)
	}
}

// wait returns false when ctx ended first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
