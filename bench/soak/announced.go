package soak

import (
	"fmt"
	"slices"
	"time"

	"goldcrestport/standin/backend"
)

// leaveUnheard lets a server say in its answers that it leaves, long before its entry
// does: that stays as it was, and is written anew at times.
func (i *injector) leaveUnheard() failure {
	s := i.take(true)
	if s == nil {
		return nothing()
	}
	unheard, again, silent := i.length(500*time.Millisecond, 6*time.Second), i.random.IntN(2) == 0, i.random.IntN(3) == 0
	return failure{kind: "server leaves unheard", router: noRouter, server: s.ID, planned: true, do: func() {
		s.backend.SetSays(backend.Says{Leaving: true})
		time.Sleep(unheard / 2)
		if again {
			i.w.store.Remove(backend.Key(s.ID))
			i.w.enter(s, backend.Ready)
		}
		time.Sleep(unheard / 2)
		i.drain(s, silent)
	}}
}

// backOff lets a server turn everything away for a while, and ask for some time without
// requests each time.
func (i *injector) backOff() failure {
	s := i.take(false)
	if s == nil {
		return nothing()
	}
	after, length := i.length(200*time.Millisecond, 4*time.Second), i.length(300*time.Millisecond, 4*time.Second)
	return failure{kind: "server backs off", router: noRouter, server: s.ID, do: func() {
		s.backend.SetSays(backend.Says{RetryAfter: after.Round(time.Millisecond)})
		s.backend.SetFault(backend.Sheds)
		time.Sleep(length)
		s.backend.SetFault(backend.Sound)
		s.backend.SetSays(backend.Says{})
	}}
}

// freeze is the kind of failure in which a router does not run for a time.
const freeze = "freeze"

// Bounds of what servers say: the product's own aims, below the users' 2 s for one that
// leaves and their two requests in a time without any.
const (
	leavingBound = 100 * time.Millisecond
	backOffBound = 500 * time.Millisecond
)

// process is one process of a server, and of a router.
type process struct {
	server string
	born   int64
}

// told is what servers told routers, and what arrived at them.
type told struct {
	calls    map[string]Call
	arrivals map[process][]backend.Arrival
}

func (r *Record) told() told {
	t := told{calls: map[string]Call{}, arrivals: map[process][]backend.Arrival{}}
	for _, c := range r.Calls {
		t.calls[c.ID] = c
	}
	for _, a := range r.Arrivals {
		if !a.Misdirected {
			t.arrivals[process{a.Server, a.Born}] = append(t.arrivals[process{a.Server, a.Born}], a)
		}
	}
	return t
}

// sameRouter reports whether one life of one router took both calls.
func sameRouter(a, b Call) bool { return a.Router == b.Router && a.Life == b.Life }

// sentToLeaving finds requests at servers after the router that sent them had passed on
// an answer that says that they leave. Nothing excuses them but a new life of the router.
func sentToLeaving(r *Record) []string {
	t := r.told()
	heard := map[process][]Call{}
	for _, w := range r.Words {
		runs := r.Runs[w.ID]
		c := t.calls[w.ID]
		passedOn := w.Leaving && c.Status == 200 && c.Whole && len(runs) > 0 && runs[len(runs)-1].Server == w.Server
		if passedOn {
			heard[process{w.Server, w.Born}] = append(heard[process{w.Server, w.Born}], c)
		}
	}
	var out []string
	for p, words := range heard {
		for _, a := range t.arrivals[p] {
			c := t.calls[a.ID]
			at := slices.IndexFunc(words, func(word Call) bool { return sameRouter(word, c) && c.Sent.After(word.Ended.Add(leavingBound)) })
			if at >= 0 {
				out = append(out, fmt.Sprintf("%s was sent to %s by router %d %v after an answer that says that it leaves", c.ID, p.server, c.Router, c.Sent.Sub(words[at].Ended)))
			}
		}
	}
	return out
}

// sentInBackoff finds requests at servers in the time for which these wanted none from
// the router that sent them.
func sentInBackoff(r *Record) []string {
	t := r.told()
	var out []string
	for _, w := range r.Words {
		c, known := t.calls[w.ID]
		if w.RetryAfter == 0 || !known || !c.Left.IsZero() {
			continue
		}
		for _, a := range t.arrivals[process{w.Server, w.Born}] {
			later := t.calls[a.ID]
			inTime := a.At.After(w.At.Add(backOffBound)) && a.At.Before(w.At.Add(w.RetryAfter))
			if inTime && sameRouter(c, later) && r.heardIn(c.Router, w.Server, w.At, a.At) {
				out = append(out, fmt.Sprintf("%s reached %s from router %d %v after that asked for %v without requests", a.ID, w.Server, c.Router, a.At.Sub(w.At), w.RetryAfter))
			}
		}
	}
	return out
}

// heardIn reports whether the router ran in the span and had a sound way to the server.
// What else happened to it, the store or its callers excuses nothing.
func (r *Record) heardIn(router int, server string, from, until time.Time) bool {
	return !slices.ContainsFunc(r.Failures, func(f Failure) bool {
		onWay := f.Server == server && (f.Kind == serverLink || f.Kind == serverCrash)
		return (onWay || f.Kind == freeze && f.Router == router) && f.within(from, until)
	})
}
