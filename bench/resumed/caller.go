package resumed

import (
	"math"
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/roster"
)

// Names and sizes of what callers ask.
const (
	service           = "engines"
	eventTokens       = 5
	shortestObjective = 500 * time.Millisecond
	teamCount         = 16
	teamSkew          = 1.8
	// hop is the way between routers and servers, clientHop that to a caller.
	hop, clientHop = 500 * time.Microsecond, 3 * time.Millisecond
	// retryLater is the Retry-After of a request that several servers refused.
	retryLater = 50 * time.Millisecond
)

// route is a kind of stream.
type route struct {
	name      string
	objective time.Duration
	deadline  time.Duration
	share     float64
	attempts  int
	resumable bool
	prompt    float64
	promptMax int
	spread    float64
	events    float64
	eventsMax int
	common    int
	own       int
	documents int
}

// routes are three kinds of streams, of which one may be taken up again.
var routes = []*route{
	{name: "long", objective: 800 * time.Millisecond, deadline: 15 * time.Second, share: .207, attempts: 1, prompt: 6610, promptMax: 54600, spread: 1, events: 76, eventsMax: 208, common: 512, own: 4870, documents: 176},
	{name: "resumable", objective: 500 * time.Millisecond, deadline: 15 * time.Second, share: .465, attempts: 2, resumable: true, prompt: 628, promptMax: 3310, spread: .8, events: 58, eventsMax: 191, common: 119, own: 79, documents: 176},
	{name: "short", objective: 500 * time.Millisecond, deadline: 3 * time.Second, share: .328, attempts: 1, prompt: 1800, promptMax: 6870, spread: 1, events: 4.5, eventsMax: 18, common: 341, own: 227, documents: 124},
}

// stream is what one caller asks for.
type stream struct {
	id             origin.ID
	team           string
	route          *route
	prompt, output int
	prefixes       []admission.Prefix
	// events is the number of all events, got that of those that the caller has.
	events, got int
	// version is that of the process that sent the first event.
	version roster.Version
	// breaksAt is the event after which the caller loses its connection; 0: none.
	breaksAt int
	bornAt   time.Duration
	// attempts counts those to begin, resumed those to go on.
	attempts, resumed int
	// counts and resumeCounts mean that its beginning or its going on is compared; cameAt and backAt
	// are when they were tried.
	counts, resumeCounts, isOn bool
	cameAt, backAt             time.Duration
}

// lognormal draws a number of the mean, at most the given one.
func (w *world) lognormal(mean, spread float64, most int) int {
	return min(max(int(math.Exp(w.rand.NormFloat64()*spread-spread*spread/2)*mean), 1), most)
}

// newStream draws what a caller asks for.
func (w *world) newStream(one *route) *stream {
	w.streams++
	s := &stream{id: origin.IDOf("stream-" + itoa(w.streams)), team: w.drawTeam(), route: one, bornAt: w.now}
	s.events = max(w.lognormal(one.events, .7, one.eventsMax), 2)
	s.output = one.eventsMax * eventTokens
	s.prompt = w.lognormal(one.prompt, one.spread, one.promptMax)
	if w.longPrompts > 0 && w.rand.Float64() < w.longPrompts {
		s.prompt = longPrompt
	}
	document := w.rand.IntN(one.documents)
	name := one.name + "/" + itoa(uint64(w.rand.IntN(4)))
	s.prefixes = []admission.Prefix{{ID: uint64(origin.IDOf(name)), Tokens: min(one.common, s.prompt/3)}, {ID: uint64(origin.IDOf(one.name + s.team + itoa(uint64(document)))), Tokens: min(one.own, s.prompt/2)}}
	if one.resumable && w.rand.Float64() < w.breaks {
		s.breaksAt = 1 + w.rand.IntN(s.events-1)
	}
	return s
}

// longPrompt is the length of a prompt that takes an engine a fifth of a second.
const longPrompt = 12000

// drawTeam draws a team by its part of the load; a flood makes one more likely.
func (w *world) drawTeam() string {
	if w.flooding != "" && w.rand.Float64() < w.floodShare {
		return w.flooding
	}
	at := w.rand.Float64() * w.teamWeight
	for i := range teamCount {
		at -= math.Pow(float64(i+1), -teamSkew)
		if at <= 0 {
			return teamName(i)
		}
	}
	return teamName(teamCount - 1)
}

func teamName(i int) string { return "team-" + itoa(uint64(i)) }

// arrivals lets the next caller come.
func (w *world) arrivals() {
	rate := w.rate
	if w.flooding != "" {
		rate /= 1 - w.floodShare
	}
	w.after(time.Duration(w.rand.ExpFloat64()/rate*float64(time.Second)), w.arrivals)
	at := w.rand.Float64()
	for _, one := range routes {
		if at -= one.share; at <= 0 {
			w.attempt(w.newStream(one), nil)
			return
		}
	}
}

// pickRouter returns a router that takes requests, if possible another one.
func (w *world) pickRouter(except *router) *router {
	var all []*router
	for _, r := range w.routers {
		if r.serves && r != except {
			all = append(all, r)
		}
	}
	switch {
	case len(all) > 0:
		return all[w.rand.IntN(len(all))]
	case except != nil && except.serves:
		return except
	default:
		return nil
	}
}

// noRouterPause is after which a caller that finds no router tries again.
const noRouterPause = 50 * time.Millisecond

// attempt sends the stream's request to a router: anew, or to go on if its caller has events.
func (w *world) attempt(s *stream, except *router) {
	w.after(clientHop, func() {
		r := w.pickRouter(except)
		if r == nil {
			if w.now-s.bornAt < s.route.deadline {
				w.after(noRouterPause, func() { w.attempt(s, nil) })
			}
			return
		}
		c := &call{w: w, r: r, stream: s, resumes: s.got > 0, number: w.nextCall()}
		w.count(c)
		r.calls[c] = struct{}{}
		w.after(s.bornAt+s.route.deadline-w.now, func() { w.deadline(c) })
		if r.cpu.backlog(w.now) > mostBacklog && !r.isFrozen() {
			r.do(refuseCost, func() { c.refuse(doorLate, retryLater) })
			return
		}
		r.do(requestCost, c.decide)
	})
}

// deadline ends a call that has brought no event in time.
func (w *world) deadline(c *call) {
	if c.ended || c.answerBegun {
		return
	}
	c.callerLeft()
	w.refusals(c, doorDeadline)
}

// callerGets brings the caller the first event of an answer.
func (w *world) callerGets(c *call, r *run, eventTime time.Duration) {
	s := c.stream
	if c.resumes {
		w.wentOn(c)
	} else if s.got == 0 {
		s.version = r.server.entry.Version
		w.began(c)
	}
	from, begunAt := s.got, w.now
	s.got++
	c.progress = func() { s.got = min(from+1+int(max(c.r.relaysUntil()-begunAt, 0)/eventTime), s.events-1) }
	if s.breaksAt > from && s.resumed == 0 {
		w.after(time.Duration(s.breaksAt-from-1)*eventTime, func() {
			if !c.ended && c.run == r {
				c.callerLeft()
				w.callerBroken(c)
			}
		})
	}
}

// callerDone is the end of a whole answer.
func (w *world) callerDone(*call) {}

// callerBroken is the end of an answer that is not whole: the caller takes the stream up once.
func (w *world) callerBroken(c *call) {
	s := c.stream
	if c.broken {
		return
	}
	c.broken = true
	if s.got == 0 {
		w.refusals(c, doorRouter)
		w.comeAgain(c, retryLater)
		return
	}
	if c.progress != nil {
		c.progress()
	}
	if !s.route.resumable || s.resumed > 0 || s.got >= s.events {
		return
	}
	s.resumed = 1
	if back := w.returnTime(); w.now+back < s.bornAt+s.route.deadline {
		w.after(back, func() { w.attempt(s, c.r) })
	}
}

// callerRefused takes a refusal: the caller of a new stream comes back once.
func (w *world) callerRefused(c *call, door string, after time.Duration) {
	w.refusals(c, door)
	if after > 0 {
		w.comeAgain(c, after)
	}
}

// comeAgain lets the caller of a refused request try once more.
func (w *world) comeAgain(c *call, after time.Duration) {
	s := c.stream
	switch {
	case w.now+after-s.bornAt >= s.route.deadline:
	case c.resumes && w.set.Again && s.resumed == 1:
		s.resumed++
		w.after(after, func() { w.attempt(s, c.r) })
	case !c.resumes && s.attempts == 1:
		w.after(after, func() { w.attempt(s, c.r) })
	}
}

// returnTime draws after which the caller of a broken stream comes back.
func (w *world) returnTime() time.Duration {
	if w.rand.Float64() < w.lateReturns {
		return w.between(time.Second, w.latestReturn)
	}
	return w.between(0, 300*time.Millisecond)
}
