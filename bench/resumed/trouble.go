package resumed

import (
	"slices"
	"time"

	"goldcrestport/coordination/origin"
)

// Trouble is a kind of what goes wrong in a play.
type Trouble string

// Troubles.
const (
	KillOne      Trouble = "a router killed"
	KillTwo      Trouble = "two of three routers killed"
	KillAll      Trouble = "all routers killed"
	Rolling      Trouble = "rolling restart"
	Freeze       Trouble = "a router frozen"
	SlowRouter   Trouble = "routers slow"
	StoreAway    Trouble = "store away"
	Crashes      Trouble = "servers crash"
	IdleClosed   Trouble = "servers close idle connections"
	EndsWithConn Trouble = "connections end with streams"
	Flood        Trouble = "a team floods"
	Release      Trouble = "release under way"
	LongPrompts  Trouble = "long prompts"
)

// Troubles returns all kinds.
func Troubles() []Trouble {
	return []Trouble{KillOne, KillTwo, KillAll, Rolling, Freeze, SlowRouter, StoreAway, Crashes, IdleClosed, EndsWithConn, Flood, Release, LongPrompts}
}

// startTroubles lets each trouble begin at a time of its own, some of them twice.
func (w *world) startTroubles() {
	for _, one := range w.set.Troubles {
		at := w.between(troublesFrom, troublesUntil)
		w.at(at, func() { w.start(one) })
		if w.rand.IntN(2) == 0 {
			w.at(at+w.between(4*time.Second, 8*time.Second), func() { w.start(one) })
		}
	}
}

// start begins the trouble.
func (w *world) start(one Trouble) {
	switch one {
	case KillOne:
		w.killRouters(1)
	case KillTwo:
		w.killRouters(max(2*len(w.routers)/3, 1))
	case KillAll:
		w.killRouters(len(w.routers))
	case Rolling:
		w.roll(0, w.between(time.Second, 2*time.Second))
	case Freeze:
		w.freeze(w.routers[w.rand.IntN(len(w.routers))], w.between(time.Second, 5*time.Second))
	case SlowRouter:
		w.slowRouters()
	case StoreAway:
		w.store.goAway(w.between(4*time.Second, 9*time.Second))
	case Crashes:
		w.crashServers(w.between(2*time.Second, 4*time.Second))
	case IdleClosed:
		w.closeIdle(w.between(100*time.Millisecond, time.Second))
	case EndsWithConn:
		w.endsWithConnection = true
	case Flood:
		w.flood(w.between(5*time.Second, 9*time.Second))
	case Release:
		w.release(w.between(500*time.Millisecond, 1200*time.Millisecond))
	case LongPrompts:
		w.longPrompts = .1 + .4*w.rand.Float64()
		w.after(w.between(4*time.Second, 8*time.Second), func() { w.longPrompts = 0 })
	}
}

// shuffled returns the routers in a random order.
func (w *world) shuffled() []*router {
	all := slices.Clone(w.routers)
	w.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

func (w *world) killRouters(count int) {
	back := w.between(500*time.Millisecond, 2*time.Second)
	for _, r := range w.shuffled()[:count] {
		if r.alive {
			r.kill()
			w.after(back, r.begin)
		}
	}
}

// stopGrace is how long a router that is stopped waits for its requests.
const stopGrace = 6 * time.Second

// roll restarts the routers one after the other.
func (w *world) roll(next int, gap time.Duration) {
	if next == len(w.routers) {
		return
	}
	r := w.routers[next]
	if !r.serves {
		w.roll(next+1, gap)
		return
	}
	r.serves, r.troubledAt = false, w.now
	w.handOver(r)
	life, until := r.life, w.now+stopGrace
	var wait func()
	wait = func() {
		switch {
		case r.life != life || !r.alive:
			w.after(gap, func() { w.roll(next+1, gap) })
		case len(r.calls) > 0 && w.now < until:
			w.after(50*time.Millisecond, wait)
		default:
			w.handOver(r)
			r.writeOrigins((*origin.Journal).Last)
			r.accountForLife()
			r.kill()
			w.after(w.between(500*time.Millisecond, 2*time.Second), func() {
				r.begin()
				w.after(gap, func() { w.roll(next+1, gap) })
			})
		}
	}
	wait()
}

// handOver lets a router that is stopped hand its origins over.
func (w *world) handOver(r *router) {
	if !w.set.Mends.NoHandover {
		r.handOver()
	}
}

// callerPatience is the pause in an answer after which its caller gives the connection up.
const callerPatience = 2 * time.Second

// freeze stops a router's process for the time.
func (w *world) freeze(r *router, d time.Duration) {
	if !r.alive {
		return
	}
	life := r.life
	r.frozenFrom, r.frozenUntil, r.troubledAt = w.now, w.now+d, w.now+d
	r.cpu.freeAt = max(r.cpu.freeAt, r.frozenUntil)
	w.after(min(d, callerPatience), func() {
		if d <= callerPatience || r.life != life {
			return
		}
		for _, c := range sortedCalls(r.calls) {
			if c.answerBegun {
				c.callerLeft()
				w.callerBroken(c)
			}
		}
	})
}

// slowRouters takes most of their processor time from all routers or one.
func (w *world) slowRouters() {
	some := w.shuffled()
	if w.rand.IntN(2) == 0 {
		some = some[:1]
	}
	share := .15 + .35*w.rand.Float64()
	for _, r := range some {
		r.cpu.quota = time.Duration(float64(r.quota) * share)
	}
	w.after(w.between(4*time.Second, 7*time.Second), func() {
		for _, r := range some {
			r.cpu.quota = r.quota
		}
	})
}

// crashServers ends some servers, which come back under new ids.
func (w *world) crashServers(back time.Duration) {
	all := w.serving("")
	w.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, s := range all[:max(len(all)/5, 1)] {
		if len(w.serving(s.entry.Version)) <= leastOfVersion {
			continue
		}
		s.crash()
		w.after(back, func() { w.startServer(w.nextServerID(), s.entry.Version, s.entry.DataCentre) })
	}
}

// closeIdle lets all servers end idle connections after the time.
func (w *world) closeIdle(limit time.Duration) {
	w.idleLimit = limit
	for _, s := range w.servers {
		s.idleLimit = limit
	}
}

// flood lets one team ask several times of what all others ask.
func (w *world) flood(d time.Duration) {
	w.flooding, w.floodShare = teamName(w.rand.IntN(teamCount)), .4+.4*w.rand.Float64()
	w.after(d, func() { w.flooding = "" })
}

// leastOfVersion is the number of servers of each version that a release and crashes leave.
const leastOfVersion = 2

// release starts a server of the second version and takes one of the first, one after the other.
func (w *world) release(gap time.Duration) {
	old := w.serving(first)
	if len(old) <= leastOfVersion || w.now > troublesUntil+8*time.Second {
		return
	}
	s := old[w.rand.IntN(len(old))]
	w.startServer(w.nextServerID(), second, s.entry.DataCentre)
	w.after(gap/2, func() {
		if !s.gone && len(w.serving(first)) > leastOfVersion {
			s.drain()
		}
	})
	w.after(gap, func() { w.release(gap) })
}
