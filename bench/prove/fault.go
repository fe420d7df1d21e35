package prove

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"goldcrestport/bench/fleet"
	"goldcrestport/bench/history"
)

// fault is one failure that can be made.
type fault struct {
	kind string
	// target names what it is done to; no two faults have one target at a
	// time.
	target string
	// group bounds how many targets of a kind are down together.
	group string
	// planned marks what must harm no request.
	planned bool
	length  time.Duration
	// begin makes the failure, heal ends it and returns once its target is
	// back at work.
	begin func()
	heal  func()
}

// maxTogether bounds the failures at one time.
const maxTogether = 3

// injector makes failures and records them.
type injector struct {
	w       *World
	mu      sync.Mutex
	targets map[string]bool
	groups  map[string]int
	failing int
	open    sync.WaitGroup
}

func newInjector(w *World) *injector {
	return &injector{w: w, targets: map[string]bool{}, groups: map[string]int{}}
}

// take reserves the fault's target. It reports false when the target is
// taken, or when too much is down already.
func (i *injector) take(f fault) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.targets[f.target] || i.groups[f.group] >= i.w.spare(f.group) || !f.planned && i.failing >= maxTogether {
		return false
	}
	if !f.planned {
		i.failing++
	}
	i.targets[f.target] = true
	i.groups[f.group]++
	return true
}

func (i *injector) release(f fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.targets, f.target)
	i.groups[f.group]--
	if !f.planned {
		i.failing--
	}
}

// inject makes the failure, if its target is free, and ends it in the
// background. It reports whether the failure was made.
func (i *injector) inject(f fault) bool {
	if !i.take(f) {
		return false
	}
	i.start(f, func() { i.release(f) })
	return true
}

// force makes the failure whatever else is failing.
func (i *injector) force(f fault) { i.start(f, func() {}) }

func (i *injector) start(f fault, ended func()) {
	record := history.Fault{Kind: f.kind, Target: f.target, Planned: f.planned, From: time.Now()}
	f.begin()
	i.open.Go(func() {
		time.Sleep(f.length)
		f.heal()
		record.Until = time.Now()
		i.w.History.Add(record)
		ended()
	})
}

// wait waits until every failure has ended.
func (i *injector) wait() { i.open.Wait() }

// spare returns how many members of a group may be down together: all but
// one.
func (w *World) spare(group string) int {
	switch group {
	case groupRouter:
		return len(w.routers) - 1
	case groupPlatform:
		return 1
	}
	n := 0
	for _, s := range w.servers {
		if s.service == group {
			n++
		}
	}
	return n - 1
}

// Groups of targets; the servers of one service are a group under its name.
const (
	groupRouter   = "router"
	groupPlatform = "platform"
)

// Ranges of the times of failures.
const (
	shortest    = 100 * time.Millisecond
	shortFreeze = 800 * time.Millisecond
	minLong     = 5 * time.Second
	moreLong    = 3 * time.Second
	moreCut     = 2 * time.Second
	moreOutage  = 3 * time.Second
)

func between(random *rand.Rand, least, more time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(more)))
}

// killed returns a kill and a later start with no memory.
func (w *World) killed(random *rand.Rand, kind, group string, p *fleet.Process, target string) fault {
	return fault{
		kind: "kill " + kind, target: target, group: group, length: between(random, shortest, shortFreeze),
		begin: p.Kill,
		heal:  func() { w.start(p) },
	}
}

// frozen returns a freeze, short or longer than leases.
func (w *World) frozen(random *rand.Rand, kind, group string, p *fleet.Process, target string) fault {
	f := fault{
		kind: "freeze " + kind, target: target, group: group, length: between(random, shortest, shortFreeze),
		begin: p.Freeze, heal: p.Wake,
	}
	if random.IntN(2) == 0 {
		f.kind, f.length = "long freeze "+kind, between(random, minLong, moreLong)
	}
	return f
}

// start starts a process again and waits until it is ready, within a bound.
func (w *World) start(p *fleet.Process) {
	if p.Start() != nil || p.Ops == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	_ = w.fleet.WaitReady(ctx, p)
}
