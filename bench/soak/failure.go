package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"goldcrestport/standin/kvstore"
)

// Kinds of failures that disturb the way to a server.
const (
	serverCrash = "server crash"
	serverLink  = "server link"
)

// Kinds of failures of routers and of the store that checks ask for.
const (
	kill       = "kill"
	storeQuiet = "store silent"
)

// Kinds of failures in which a caller's end does not reach its router at once.
const (
	callersHeld    = "callers held"
	callersDelayed = "callers delayed"
)

// failure is one kind of failure on a target.
type failure struct {
	kind string
	// router and server are what it touches, as in a Failure.
	router int
	server string
	// planned marks what must cut no request.
	planned bool
	// do makes the failure and returns once it is over.
	do func()
}

// injector makes failures, each in a goroutine of its own.
type injector struct {
	w      *World
	random *rand.Rand
	// reborn adds failures of servers that keep their ids, see Plan.
	reborn bool
	// announced adds failures of servers that say what they want, see Plan.
	announced bool
	// held adds servers that leave while the way to them holds what is sent, see Plan.
	held bool
	// framed lets servers that crash close their connections in good order, see Plan.
	framed bool
	// versions adds releases and restarts as another version, see Plan.
	versions bool
	// endless adds servers that send without end, see Plan.
	endless bool
	// lives adds kills of all routers, at once and in turn, see Plan.Parts.
	lives bool
	open  sync.WaitGroup
}

// endlessShare is how often servers that send without end are among the kinds of failures: a single one
// would rarely be drawn.
const endlessShare = 6

// length returns a random time between least and most.
func (i *injector) length(least, most time.Duration) time.Duration {
	return least + time.Duration(i.random.Int64N(int64(most-least)))
}

// start makes the failure in the background.
func (i *injector) start(f failure) { i.open.Go(func() { i.make(f) }) }

// make makes the failure and returns when it is over.
func (i *injector) make(f failure) {
	made := Failure{Kind: f.kind, Router: f.router, Server: f.server, Planned: f.planned, From: time.Now()}
	// It is known from its begin on: checks must not take a request for
	// calm because its failure has not ended.
	i.w.Record.add(func() { i.w.Record.Failures = append(i.w.Record.Failures, made) })
	f.do()
	i.w.Record.add(func() {
		for n, one := range i.w.Record.Failures {
			if one == made {
				i.w.Record.Failures[n].Until = time.Now()
			}
		}
	})
}

// heldOneIn is how often a server leaves while the way to it holds, see Plan.Held.
const heldOneIn = 4

// draw returns a random failure. Signals and cuts of routers come in series
// and overlap, as nothing keeps them apart.
func (i *injector) draw() failure {
	r := i.w.routers[i.random.IntN(len(i.w.routers))]
	kinds := []func() failure{
		func() failure { return i.kill(r) },
		func() failure { return i.freeze(r) },
		func() failure { return i.hangUp(r) },
		func() failure { return i.planned(r) },
		func() failure { return i.planned(r) },
		func() failure { return i.onLink(r, "store link", r.store.Hold, r.store.Heal, 6*time.Second) },
		func() failure { return i.onLink(r, "store reset", r.store.Cut, r.store.Heal, 4*time.Second) },
		func() failure { return i.onLink(r, "store one way", r.store.Silence, r.store.Heal, 4*time.Second) },
		func() failure { return i.onLink(r, "callers reset", r.callers.Reset, func() {}, time.Millisecond) },
		func() failure { return i.onLink(r, callersHeld, r.callers.Hold, r.callers.Heal, 2*time.Second) },
		func() failure {
			return i.onLink(r, callersDelayed, func() { r.callers.Delay(40 * time.Millisecond) }, r.callers.Heal, 3*time.Second)
		},
		func() failure { return i.onStore("store down", kvstore.Faults{Status: 503}) },
		func() failure { return i.onStore("store refuses", kvstore.Faults{Status: 429}) },
		func() failure { return i.onStore(storeQuiet, kvstore.Faults{Silent: true}) },
		func() failure { return i.onStore("answers lost", kvstore.Faults{LoseAnswers: true}) },
		func() failure { return i.onStore("late writes", kvstore.Faults{Late: time.Second}) },
		i.forgetHistory,
		i.crash, i.crash, i.leave, i.leave, i.serverFault, i.serverFault, i.serverLink, i.serverLink,
		i.moveRoute, i.moveRoute, i.revokeKey, i.revokeKey, i.revokeKey,
	}
	if i.reborn {
		kinds = append(kinds, i.startAgain, i.startAgain, i.spoil, i.spoil)
	}
	if i.announced {
		kinds = append(kinds, i.leaveUnheard, i.leaveUnheard, i.backOff, i.backOff, i.backOff)
	}
	if i.versions {
		kinds = append(kinds, i.release, i.release, i.restartAsOther, i.restartAsOther)
	}
	if i.endless {
		kinds = append(kinds, slices.Repeat([]func() failure{i.sendEndlessly}, endlessShare)...)
	}
	if i.lives {
		kinds = append(kinds, i.killAll, i.killAll, i.killInTurn, i.killInTurn)
	}
	if i.held && i.random.IntN(heldOneIn) == 0 {
		return i.leaveHeld()
	}
	return kinds[i.random.IntN(len(kinds))]()
}

// kill ends the process at once; it starts again with no memory.
func (i *injector) kill(r *router) failure {
	pause := i.length(100*time.Millisecond, time.Second)
	return failure{kind: kill, router: r.number, do: func() {
		if !r.claim() {
			return
		}
		r.Kill()
		time.Sleep(pause)
		i.restart(r)
	}}
}

// claim marks that the process is not meant to run now. It reports false when
// another failure has ended it already.
func (r *router) claim() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	had := r.meant
	r.meant = false
	return had
}

func (i *injector) restart(r *router) {
	r.mu.Lock()
	r.life++
	r.logFrom = r.LogSize()
	r.mu.Unlock()
	if err := r.Start(); err != nil {
		i.w.Record.add(func() { i.w.Record.Exits = append(i.w.Record.Exits, r.Name+" did not start: "+err.Error()) })
		return
	}
	r.mu.Lock()
	r.meant = true
	r.mu.Unlock()
}

func (i *injector) freeze(r *router) failure {
	length := i.length(100*time.Millisecond, 7*time.Second)
	return failure{kind: freeze, router: r.number, do: func() {
		r.Freeze()
		time.Sleep(length)
		r.Wake()
	}}
}

func (i *injector) hangUp(r *router) failure {
	return failure{kind: "hang up", router: r.number, planned: true, do: func() { r.Signal(syscall.SIGHUP) }}
}

// planned is a graceful stop, at times with a hang-up in its midst.
func (i *injector) planned(r *router) failure {
	hangUp := i.random.IntN(3) == 0
	return failure{kind: "graceful stop", router: r.number, planned: true, do: func() {
		if !r.claim() {
			return
		}
		if hangUp {
			time.AfterFunc(300*time.Millisecond, func() { r.Signal(syscall.SIGHUP) })
		}
		if !r.Stop(grace+time.Second) && !r.stoppedInStart() {
			i.w.Record.add(func() {
				i.w.Record.Exits = append(i.w.Record.Exits, fmt.Sprintf("%s did not end by itself within its grace: %v", r.Name, r.Exit()))
			})
		}
		i.restart(r)
	}}
}

// stoppedInStart reports whether the signal to stop ended a process that had not begun to
// serve: nothing can be received before the program runs.
func (r *router) stoppedInStart() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.EndedBy(syscall.SIGTERM) && !r.Logged("event=serving", r.logFrom)
}

func (i *injector) onLink(r *router, kind string, begin, heal func(), most time.Duration) failure {
	length := i.length(most/10, most)
	return failure{kind: kind, router: r.number, do: func() {
		begin()
		time.Sleep(length)
		heal()
	}}
}

func (i *injector) onStore(kind string, f kvstore.Faults) failure {
	length := i.length(300*time.Millisecond, 10*time.Second)
	return failure{kind: kind, router: everyRouter, do: func() {
		i.w.store.SetFaults(f)
		time.Sleep(length)
		i.w.store.SetFaults(kvstore.Faults{})
	}}
}

// forgetHistory makes watches report nothing for a second and drops the history then.
func (i *injector) forgetHistory() failure {
	return failure{kind: "history dropped", router: everyRouter, do: func() {
		i.w.store.SetFaults(kvstore.Faults{DeafWatches: true})
		time.Sleep(time.Second)
		i.w.store.Compact()
		i.w.store.SetFaults(kvstore.Faults{})
	}}
}

// moveRoute moves the moving route to the other plain service.
func (i *injector) moveRoute() failure {
	return failure{kind: "route moves", router: noRouter, planned: true, do: func() {
		i.configure(func(c *configuration) {
			if c.moved == plainService {
				c.moved = otherService
			} else {
				c.moved = plainService
			}
		})
	}}
}

// revokeKey takes a team's key away and gives it another.
func (i *injector) revokeKey() failure {
	team := i.random.IntN(4)
	return failure{kind: "key revoked", router: noRouter, planned: true, do: func() {
		i.configure(func(c *configuration) {
			name := teamName(team)
			c.keys[name] = nextKey(name, c.version)
		})
	}}
}

func (i *injector) configure(edit func(*configuration)) {
	if err := i.w.configure(edit); err != nil {
		i.w.Record.add(func() { i.w.Record.Exits = append(i.w.Record.Exits, err.Error()) })
	}
}
