package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"goldcrestport/bench/history"
)

// Times of a run.
const (
	warmUp         = time.Second
	minBetween     = 300 * time.Millisecond
	moreBetween    = 400 * time.Millisecond
	betweenPlanned = 500 * time.Millisecond
	lastPart       = 2 * time.Second
	lastWrites     = time.Second
	// pairPart is the part of the failures that come in pairs, out of 100.
	pairPart = 30
	// draws bounds how often a failure is drawn whose target is taken.
	draws = 4
)

// Plan is what happens in a run.
type Plan struct {
	// Seed makes the choice of operations and failures repeat.
	Seed uint64
	// Failures is how long failures are made.
	Failures time.Duration
	// Settle is the pause between the failures and the planned stops.
	Settle time.Duration
	// Planned tells whether every process is restarted gracefully at the end.
	Planned bool
}

// DefaultPlan returns the plan of the proving tool.
func DefaultPlan(seed uint64) Plan {
	return Plan{Seed: seed, Failures: 22 * time.Second, Settle: 4 * time.Second, Planned: true}
}

// Run lets callers and operators work through the plan and collects the
// history.
func (w *World) Run(plan Plan) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var working sync.WaitGroup
	w.startCallers(ctx, &working, plan.Seed, draw)
	for i, name := range operatorNames {
		if name != drainer {
			working.Go(func() { newHuman(w, name, plan.Seed+uint64(i)).work(ctx) })
		}
	}
	time.Sleep(warmUp)
	w.fail(plan)
	time.Sleep(plan.Settle)
	if plan.Planned {
		w.restartAll()
	}
	time.Sleep(lastPart)
	cancel()
	working.Wait()
	time.Sleep(lastWrites)
	return w.collect()
}

func (w *World) startCallers(ctx context.Context, working *sync.WaitGroup, seed uint64, mix mix) {
	for _, t := range teams() {
		for i := range t.callers {
			seed++
			c := newCaller(w, fmt.Sprintf("%s-%d", t.name, i), t.name, seed)
			c.draw = mix
			working.Go(func() { c.run(ctx) })
		}
	}
}

// fail makes failures, alone and in pairs, and waits for their end.
func (w *World) fail(plan Plan) {
	random := rand.New(rand.NewPCG(plan.Seed, 3))
	i, kinds := newInjector(w), w.kinds()
	one := func() {
		for range draws {
			if i.inject(kinds[random.IntN(len(kinds))](random)) {
				return
			}
		}
	}
	for end := time.Now().Add(plan.Failures); time.Now().Before(end); {
		one()
		if random.IntN(100) < pairPart {
			one()
		}
		time.Sleep(between(random, minBetween, moreBetween))
	}
	i.wait()
}

// restartAll stops every process gracefully and starts it again, one after
// the other.
func (w *World) restartAll() {
	for _, s := range w.servers {
		leave := history.Leave{Server: s.name, How: "SIGTERM", From: time.Now()}
		w.restart(s.sidecar.Name, func() bool { return s.sidecar.Stop(stopBound) }, func() {
			leave.Until = time.Now()
			w.History.Add(leave)
			w.start(s.sidecar)
		})
	}
	for _, r := range w.routers {
		w.restart(r.Name, func() bool { return r.Stop(stopBound) }, func() { w.start(r.Process) })
	}
}

// restart stops one process and starts it again. A process that had to be
// killed counts as a failure that was not planned and is named as such.
func (w *World) restart(name string, stop func() bool, start func()) {
	record := history.Fault{Kind: "graceful restart", Target: name, Planned: true, From: time.Now()}
	if !stop() {
		record.Kind = "graceful restart over its bound"
	}
	start()
	record.Until = time.Now()
	w.History.Add(record)
	time.Sleep(betweenPlanned)
}
