package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Plan is what happens in a run.
type Plan struct {
	// Seed makes the choice of failures and requests repeat.
	Seed uint64
	// Failures is how long failures are made, Every the mean time between two.
	Failures, Every time.Duration
	// Reborn adds servers that start again under their ids and entries that
	// others spoil. Seeds choose the same failures as ever without it.
	Reborn bool
	// Crashing adds callers who insist on requests that crash servers.
	Crashing bool
	// Places adds evacuations of data centres, one after the other, whose engines
	// are cold afterwards. They change no other choice of the seed.
	Places bool
	// Announced adds servers that say in their answers that they leave, or for how
	// long they want no requests. Without it seeds choose the same failures as ever.
	Announced bool
	// Held adds servers that leave while the way to them holds what is sent. Without it
	// seeds choose the same failures as ever.
	Held bool
	// Framed lets answers come in chunks, with a length or with neither, and servers end in
	// good order or not, before callers on HTTP/1.1 and 1.0. Without it seeds choose the same
	// failures as ever.
	Framed bool
	// Versions adds releases of engines, engines that start again as another version under
	// their ids, and callers who resume streams at any router. Without it seeds choose the same
	// failures as ever.
	Versions bool
	// Pairs makes troubles in pairs while engines are released, instead of single failures, before
	// callers most of whom come back once to a stream that they broke off.
	Pairs bool
	// Parts adds requests that share a part of their prompts that crashes servers, and kills all routers
	// at once or in turn beside them. Without it seeds choose the same failures as ever.
	Parts bool
	// Endless adds servers that answer by bytes without end that are no answer. Without it, this
	// kind of failure is not drawn.
	Endless bool
}

// Mean times between two failures: seeds go from many at once, which find what
// only pairs show, to few, after which the strictest bounds hold.
const (
	seldom   = 3 * time.Second
	often    = 300 * time.Millisecond
	steps    = 5
	failTime = 25 * time.Second
	// firstAnnounced is the first seed whose servers say in their answers what they
	// want.
	firstAnnounced = 2000
	// firstHeld is the first seed in which servers leave while the way to them holds.
	firstHeld = 8000
	// firstFramed is the first seed whose answers come in every framing.
	firstFramed = 9000
	// firstVersioned is the first seed with engines of several versions.
	firstVersioned = 10000
	// firstPairs is the first seed whose troubles come in pairs.
	firstPairs = 12000
	// firstEndless and lastEndless are the first and the last seed whose servers send without end.
	firstEndless, lastEndless = 13000, 13999
	// firstParts is the first seed with a part of prompts that crashes servers.
	firstParts = 14000
)

// DefaultPlan returns the plan of the tool.
func DefaultPlan(seed uint64) Plan {
	if seed >= firstParts {
		return Plan{Seed: seed, Failures: failTime, Every: meanOf(seed), Reborn: seed%2 == 0, Crashing: seed%2 == 1, Parts: true}
	}
	if seed >= firstEndless && seed <= lastEndless {
		return Plan{Seed: seed, Failures: failTime, Every: meanOf(seed), Reborn: true, Framed: seed%2 == 1, Endless: true}
	}
	return Plan{
		Seed: seed, Failures: failTime, Every: meanOf(seed),
		Reborn: seed%2 == 0, Crashing: seed < firstPairs, Places: seed%3 == 2 && seed < firstPairs, Pairs: seed >= firstPairs, Announced: seed >= firstAnnounced && seed < firstVersioned, Held: seed >= firstHeld, Framed: seed >= firstFramed && seed < firstVersioned || seed%2 == 1 && seed >= firstVersioned, Versions: seed >= firstVersioned,
	}
}

// meanOf returns the mean time between two failures of the seed.
func meanOf(seed uint64) time.Duration {
	return often + time.Duration(seed%steps)*(seldom-often)/(steps-1)
}

// Times of a run.
const (
	warmUp = time.Second
	// recovery is the time after the last failure in which the fleet recovers,
	// and lastPart how long it must serve then.
	recovery = 6 * time.Second
	lastPart = 3 * time.Second
)

func (w *World) serverID(n int) string { return fmt.Sprintf("i-%s-%04d", w.tag, n) }

func teamName(n int) string { return fmt.Sprintf("team-%d", n) }

func nextKey(team string, version int) string { return fmt.Sprintf("%s-key-%d", team, version) }

// Run lets callers work while failures are made.
func (w *World) Run(plan Plan, callers int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.balancer.watch(ctx, w.routers)
	var working sync.WaitGroup
	working.Go(func() { w.watchMemory(ctx) })
	if w.Report != nil {
		working.Go(func() { w.checkLive(ctx) })
	}
	for n := range callers {
		c := newCaller(w, fmt.Sprintf("c%d", n), plan.Seed*1000+uint64(n))
		c.isOld = plan.Framed && n%oldEvery == 0
		c.resumes, c.pause = plan.Pairs && n%otherEvery != 0, pauses[plan.Seed%uint64(len(pauses))]
		working.Go(func() { c.run(ctx) })
	}
	time.Sleep(warmUp)
	w.mu.Lock()
	w.traffic = true
	w.mu.Unlock()
	w.frame(plan.Framed)
	w.mu.Lock()
	w.versioned = plan.Versions && !plan.Pairs
	w.mu.Unlock()
	if plan.Crashing {
		w.insist(ctx, &working, plan.Seed)
	}
	if plan.Parts {
		w.insistOnPart(ctx, &working, plan.Seed)
	}
	i := &injector{w: w, random: rand.New(rand.NewPCG(plan.Seed, 5)), reborn: plan.Reborn, announced: plan.Announced, held: plan.Held, framed: plan.Framed, versions: plan.Versions, endless: plan.Endless, lives: plan.Parts}
	if plan.Places {
		i.evacuations(plan)
	}
	if plan.Pairs {
		i.makePairs(plan.Failures)
	} else {
		i.makeSingles(plan)
	}
	i.open.Wait()
	w.Record.add(func() { w.Record.Settled = time.Now() })
	time.Sleep(recovery + lastPart)
	w.exits()
	cancel()
	working.Wait()
}

// makeSingles makes one random failure after the other.
func (i *injector) makeSingles(plan Plan) {
	for end := time.Now().Add(plan.Failures); time.Now().Before(end); {
		i.start(i.draw())
		time.Sleep(time.Duration(i.random.ExpFloat64() * float64(plan.Every)))
	}
}

// SizeOf returns the size of the seed's fleet, where the seed says one, or else the given one.
func SizeOf(seed uint64, other Size) Size {
	if seed >= firstParts {
		return PartsSize()
	}
	if seed >= firstPairs && (seed < firstEndless || seed > lastEndless) {
		return PairsSize()
	}
	return other
}

// frame lets the answers of all servers come in every framing.
func (w *World) frame(framed bool) {
	if !framed {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.framed = true
	for _, s := range w.servers {
		s.backend.SetShapes(true)
	}
}

// exits notes processes that ended by themselves.
func (w *World) exits() {
	for _, r := range w.routers {
		if !r.Running() {
			w.Record.add(func() { w.Record.Exits = append(w.Record.Exits, r.Name+" has ended") })
		}
	}
}
