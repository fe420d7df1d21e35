package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"goldcrestport/standin/kvstore"
)

// Times of pairs of troubles.
const (
	// leastCalm and mostCalm bound the time from the end of a pair to the next one: routers are in
	// touch again for a part of it.
	leastCalm = contact + time.Second
	mostCalm  = contact + 5*time.Second
	// mostApart bounds the time from the first trouble of a pair to the second.
	mostApart = 2 * time.Second
	// leastQuiet and mostQuiet bound how long the store is silent.
	leastQuiet = 4 * time.Second
	mostQuiet  = 9 * time.Second
	// replaceEvery is the time from one engine of a release to the next.
	replaceEvery = 1500 * time.Millisecond
	// scarceTurn is the time in which a router runs once, for scarceRuns, where it has little
	// processor time.
	scarceTurn = 100 * time.Millisecond
	scarceRuns = 30 * time.Millisecond
)

// PairsSize is the size of fleets whose troubles come in pairs: three routers, each in a data centre
// of its own.
func PairsSize() Size {
	return Size{Routers: 3, Engines: 8, Plain: 2, Other: 2, Callers: 72, Apart: true}
}

// makePairs makes pairs of troubles while a release is under way, until the time is over.
func (i *injector) makePairs(length time.Duration) {
	end := time.Now().Add(length)
	i.open.Go(func() { i.keepReleasing(rand.New(rand.NewPCG(i.random.Uint64(), 9)), end) })
	for time.Now().Before(end) {
		first, second, apart, calm := i.drawTrouble(), i.drawTrouble(), i.length(0, mostApart), i.length(leastCalm, mostCalm)
		var both sync.WaitGroup
		both.Go(first)
		time.Sleep(apart)
		both.Go(second)
		both.Wait()
		time.Sleep(calm)
	}
}

// drawTrouble returns a random trouble, which returns when it is over.
func (i *injector) drawTrouble() func() {
	routers := i.w.routers
	troubles := []func() func(){
		func() func() { return i.killTogether(len(routers) * 2 / 3) },
		func() func() { return i.killTogether(len(routers)) },
		i.restartInTurn, i.restartInTurn,
		func() func() { return i.quietStore(kvstore.Faults{Silent: true}) },
		func() func() { return i.quietStore(kvstore.Faults{LoseAnswers: true}) },
		func() func() { return i.together(i.freezeAll(1 + i.random.IntN(2))) },
		i.scarceProcessor,
		func() func() {
			r := routers[i.random.IntN(len(routers))]
			return i.together([]failure{i.onLink(r, "store link", r.store.Hold, r.store.Heal, 6*time.Second)})
		},
		func() func() { return i.together([]failure{i.crashEngine(), i.crashEngine()}) },
	}
	return troubles[i.random.IntN(len(troubles))]()
}

// together makes failures at once and returns when all are over.
func (i *injector) together(all []failure) func() {
	return func() {
		var made sync.WaitGroup
		for _, f := range all {
			made.Go(func() { i.make(f) })
		}
		made.Wait()
	}
}

// some returns n routers, in a random order.
func (i *injector) some(n int) []*router {
	var out []*router
	for _, at := range i.random.Perm(len(i.w.routers))[:n] {
		out = append(out, i.w.routers[at])
	}
	return out
}

// killTogether kills n routers at once; each starts again with no memory.
func (i *injector) killTogether(n int) func() {
	var all []failure
	for _, r := range i.some(n) {
		all = append(all, i.kill(r))
	}
	return i.together(all)
}

// restartInTurn stops one router after the other, each once the one before takes work again.
func (i *injector) restartInTurn() func() {
	pause := i.length(0, time.Second)
	var all []failure
	for _, r := range i.some(len(i.w.routers)) {
		all = append(all, i.planned(r))
	}
	return func() {
		for _, f := range all {
			i.make(f)
			time.Sleep(pause)
		}
	}
}

// quietStore lets the store answer nobody.
func (i *injector) quietStore(f kvstore.Faults) func() {
	length := i.length(leastQuiet, mostQuiet)
	return i.together([]failure{{kind: storeQuiet, router: everyRouter, do: func() {
		i.w.store.SetFaults(f)
		time.Sleep(length)
		i.w.store.SetFaults(kvstore.Faults{})
	}}})
}

func (i *injector) freezeAll(n int) []failure {
	var all []failure
	for _, r := range i.some(n) {
		all = append(all, i.freeze(r))
	}
	return all
}

// scarceProcessor lets each router run for a part of the time only, one after the other.
func (i *injector) scarceProcessor() func() {
	length := i.length(time.Second, 5*time.Second)
	var all []failure
	for n, r := range i.some(len(i.w.routers)) {
		all = append(all, failure{kind: freeze, router: r.number, do: func() {
			time.Sleep(scarceTurn * time.Duration(n) / time.Duration(len(i.w.routers)))
			runScarcely(r, length)
		}})
	}
	return i.together(all)
}

// runScarcely lets the router run for a part of each turn, for the time.
func runScarcely(r *router, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		r.Freeze()
		time.Sleep(scarceTurn - scarceRuns)
		r.Wake()
		time.Sleep(scarceRuns)
	}
}

// keepReleasing replaces one engine after the other by one of the next version, and begins with the
// version after that when none of the one before is left, until the end.
func (i *injector) keepReleasing(random *rand.Rand, end time.Time) {
	version := i.nextVersion()
	for ; time.Now().Before(end); time.Sleep(replaceEvery) {
		s := i.takeEngineOf(random, func(s *server) bool { return s.Version != version })
		if s == nil {
			version = i.nextVersion()
			continue
		}
		i.open.Go(func() { i.drainFor(s, false, version) })
	}
}

// span is a span of lengths of time.
type span struct{ least, most time.Duration }

// pauses are for how long callers stay away that come back once, by the seed: shortly; until routers
// that were killed are in touch again; longer than it takes to restart all routers in turn.
var pauses = []span{{100 * time.Millisecond, 3 * time.Second}, {4 * time.Second, 7 * time.Second}, {10 * time.Second, 14 * time.Second}}

// resumeOnce asks for a stream, breaks it off, and takes it up once, over a new connection.
func (c *caller) resumeOnce(team, body string) {
	tokens := 30 + c.random.IntN(mostTokens)
	call := Call{Kind: Resumable, Team: team, Body: body, Broke: true}
	_, first := c.attemptOf(call, tokens)
	if first.Last == 0 || first.Whole {
		return
	}
	time.Sleep(c.pause.least + time.Duration(c.random.Int64N(int64(c.pause.most-c.pause.least))))
	c.move()
	c.attemptOf(Call{Kind: Resumable, Team: team, Body: body, Resumes: first.ID, After: first.Last}, tokens)
}
