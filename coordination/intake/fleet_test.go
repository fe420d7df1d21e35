package intake

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"goldcrestport/coordination/fairshare"
	"goldcrestport/coordination/rotation"
	"goldcrestport/coordination/saturation"
	"goldcrestport/coordination/throttle"
)

// The model of a fleet in virtual time: a balancer that takes a data centre's routers for
// a caller in one order, routers of two sizes whose processors are used up for a part of
// each tenth of a second, callers who try once more at the next router, servers that do
// so many tokens a second, and floods of several teams.

// Figures of the model. Costs are processor time of a whole core.
const (
	modelWindow  = 4 * time.Second
	modelStep    = 5 * time.Millisecond
	modelQuota   = 100 * time.Millisecond
	largeShare   = 0.8
	smallShare   = 0.144
	costClose    = 15 * time.Microsecond
	costRead     = 120 * time.Microsecond
	costStream   = 1200 * time.Microsecond // for each second of a stream
	costRelay    = 500 * time.Microsecond  // the same where it is only passed on
	streamTime   = time.Second
	modelTokens  = 3000.0 // of a request
	modelBacklog = 1024   // connections that wait in the kernel
	callerWaits  = 3 * time.Second
	readyEvery   = time.Second
	toldAfter    = 100 * time.Millisecond
	deafFrom     = 300 * time.Millisecond // lateness
	blindAfter   = 1800 * time.Millisecond
)

// design is what the routers of a run do.
type design struct {
	name string
	// deals: late routers deal their connections out, in place of closing all.
	deals bool
	// counts: what is refused for streams or closed unread counts as asked.
	counts bool
	// throttles: teams that are ahead of the least served one that asks have a rate.
	throttles bool
	// hands: a late router hands streams on to the idlest of its data centre.
	hands bool
}

// modelFlow is what a team's callers send.
type modelFlow struct {
	team    string
	centres []int
	// callers is the number of addresses in each data centre, rate the requests a second
	// of all.
	callers int
	rate    float64
}

type attempt struct {
	flow    *modelFlow
	caller  int
	centre  int
	began   time.Duration
	arrived time.Duration
	second  bool
}

type stream struct {
	team  string
	until time.Duration
	at    *modelRouter // who runs it, if handed on
}

type modelRouter struct {
	id      string
	number  int
	centre  int
	share   float64
	queue   []attempt
	budget  time.Duration
	tracker *saturation.Tracker
	limit   *saturation.Limit
	rot     *rotation.State
	in      *State
	streams []stream
	relayed int
	misses  int
	ready   bool
	// heard is when it heard the others last.
	heard time.Duration
	// undecided are decided on once there is processor time again.
	undecided []string
	bySize    map[string]int
}

type modelFleet struct {
	design  design
	rand    *rand.Rand
	now     time.Duration
	centres [][]*modelRouter
	routers []*modelRouter
	meter   *fairshare.Meter
	// throttle is one for all routers, as the model has no delay between them.
	throttle *throttle.State[fairshare.TeamID]
	observed time.Duration
	perSec   float64 // tokens that servers do
	queue    float64 // tokens that wait there
	got      map[string]float64
	asked    map[string]float64
	tries    int
	failed   int
	order    map[string][]int
}

func newModelFleet(d design, seed uint64, routers, centres int, perSec float64) *modelFleet {
	f := &modelFleet{
		design: d, rand: rand.New(rand.NewPCG(seed, 1)), centres: make([][]*modelRouter, centres), meter: fairshare.NewMeter(modelWindow),
		throttle: throttle.New[fairshare.TeamID](throttle.DefaultConfig()),
		perSec:   perSec, got: map[string]float64{}, asked: map[string]float64{}, order: map[string][]int{},
	}
	for i := range routers {
		share := smallShare
		if i/centres%5 == 0 {
			share = largeShare
		}
		r := &modelRouter{
			id: fmt.Sprint("r-", i), number: i, centre: i % centres, share: share, ready: true,
			tracker: saturation.New(saturation.DefaultConfig()), limit: saturation.NewLimit(saturation.DefaultLimitConfig()),
			rot: rotation.New(rotation.DefaultConfig()), in: New(DefaultConfig()), bySize: map[string]int{},
		}
		f.routers = append(f.routers, r)
		f.centres[r.centre] = append(f.centres[r.centre], r)
	}
	return f
}

func at(now time.Duration) time.Time { return time.Unix(1000, 0).Add(now) }

// choose is the balancer: the first router in rotation in the caller's order, or the next.
func (f *modelFleet) choose(a attempt) *modelRouter {
	all := f.centres[a.centre]
	key := fmt.Sprint(a.flow.team, a.centre, a.caller)
	order := f.order[key]
	if order == nil {
		order = f.rand.Perm(len(all))
		f.order[key] = order
	}
	ready := 0
	for _, r := range all {
		if r.ready {
			ready++
		}
	}
	skip := 0
	if a.second {
		skip = 1
	}
	for _, i := range order {
		if !all[i].ready && 2*ready >= len(all) {
			continue
		}
		if skip == 0 || len(all) == 1 {
			return all[i]
		}
		skip--
	}
	return all[order[0]]
}

func (f *modelFleet) arrive(a attempt) {
	f.tries++
	r := f.choose(a)
	a.arrived = f.now
	if len(r.queue) >= modelBacklog {
		f.failed++
		return
	}
	r.queue = append(r.queue, a)
}

// again is the caller's second try.
func (f *modelFleet) again(a attempt) {
	if a.second || f.now-a.began > callerWaits {
		return
	}
	a.second = true
	f.arrive(a)
}

// standing of a team, by what routers told each other.
func (f *modelFleet) standing(team string) float64 {
	return f.meter.Standing(at(f.now), fairshare.IDOf(team), f.perSec*modelWindow.Seconds())
}

// admits is the servers' side: the wait that is admissible falls with what the team got of
// its share.
func (f *modelFleet) admits(team string) bool {
	standing := f.standing(team)
	if f.design.throttles && !f.inRate(team) {
		return false
	}
	const patience, below, beyond = 0.18, 1.5, 0.2
	factor := below
	switch {
	case standing >= 1.3:
		factor = beyond * 1.3 / standing
	case standing > 0.7:
		factor = below + (standing-0.7)/0.6*(beyond-below)
	}
	return f.queue/f.perSec <= patience*factor
}

// inRate reports whether the team's rate admits a request.
func (f *modelFleet) inRate(team string) bool {
	if f.now-f.observed >= 50*time.Millisecond {
		f.observed = f.now
		teams := make(map[fairshare.TeamID]throttle.Team)
		f.meter.Each(func(id fairshare.TeamID, use fairshare.Use) {
			teams[id] = throttle.Team{RequestedRate: use.RequestedRate, StartedRate: use.StartedRate, ThrottledRate: use.ThrottledRate, MeanStartedRate: use.Started / modelWindow.Seconds()}
		})
		f.throttle.Observe(at(f.now), f.meter.Share(), teams)
	}
	ok, _ := f.throttle.Admits(at(f.now), fairshare.IDOf(team))
	if !ok {
		f.meter.Throttled(at(f.now), fairshare.IDOf(team), modelTokens)
	}
	return ok
}

// ask counts a request as asked for.
func (f *modelFleet) ask(team string) {
	f.meter.Ask(at(f.now), fairshare.IDOf(team), modelTokens)
	f.throttle.Ask(at(f.now), fairshare.IDOf(team), modelTokens)
}

// step of one router.
func (f *modelFleet) step(r *modelRouter) {
	if f.now%modelQuota == 0 {
		r.budget = min(r.budget, 0) + time.Duration(r.share*float64(modelQuota))
	}
	for i := 0; i < len(r.streams); i++ {
		s := r.streams[i]
		cost := costStream
		if s.at != nil {
			cost = costRelay
			s.at.budget -= time.Duration(float64(costStream) * modelStep.Seconds())
		}
		r.budget -= time.Duration(float64(cost) * modelStep.Seconds())
		if f.now >= s.until {
			r.bySize[s.team]--
			if s.at != nil {
				s.at.relayed--
			}
			r.streams = slices.Delete(r.streams, i, i+1)
			i--
		}
	}
	for ; len(r.undecided) > 0 && r.budget > 0; r.undecided = r.undecided[1:] {
		r.in.Decided(r.undecided[0])
	}
	for len(r.queue) > 0 && r.budget > 0 {
		a := r.queue[0]
		r.queue = r.queue[1:]
		f.take(r, a)
	}
}

func (f *modelFleet) take(r *modelRouter, a attempt) {
	team := a.flow.team
	closes := r.tracker.Mean() >= DefaultConfig().Late
	if f.design.deals {
		_, taken := r.in.Takes(at(f.now), team, f.standing(team) > 1)
		closes = !taken
	}
	if f.design.counts {
		f.ask(team)
	}
	if closes {
		r.budget -= costClose
		f.failed++
		f.again(a)
		return
	}
	r.budget -= costRead
	if f.design.deals {
		r.undecided = append(r.undecided, team)
	}
	if f.now-a.began > callerWaits {
		f.failed++
		return
	}
	if f.now-r.heard > blindAfter {
		f.failed++
		f.again(a)
		return
	}
	if !saturation.Admits(r.limit.Most(), len(r.streams), r.bySize[team]) {
		f.failed++
		f.again(a)
		return
	}
	if !f.design.counts {
		f.ask(team)
	}
	if !f.admits(team) {
		f.failed++
		f.again(a)
		return
	}
	f.meter.RecordStart(at(f.now), fairshare.IDOf(team), modelTokens)
	f.throttle.Sent(at(f.now), fairshare.IDOf(team), modelTokens)
	f.got[team] += modelTokens
	f.queue += modelTokens
	s := stream{team: team, until: f.now + streamTime}
	if f.design.hands && r.tracker.Mean() > 10*time.Millisecond {
		s.at = f.idlest(r)
	}
	r.bySize[team]++
	r.streams = append(r.streams, s)
}

// idlest is the router of the data centre with most room that is not late, or nil.
func (f *modelFleet) idlest(r *modelRouter) *modelRouter {
	var best *modelRouter
	var most float64
	for _, o := range f.centres[r.centre] {
		room := o.share - float64(len(o.streams)+o.relayed)*costStream.Seconds()
		if o != r && o.tracker.Calm() && room > most {
			best, most = o, room
		}
	}
	if best != nil {
		best.relayed++
	}
	return best
}

// observe is what routers measure and tell.
func (f *modelFleet) observe(r *modelRouter) {
	late := time.Duration(float64(max(-r.budget, 0)) / r.share)
	if len(r.queue) > 0 && !f.design.deals {
		// What was accepted and not read holds up everything else.
		late = f.now - r.queue[0].arrived
	}
	if late < deafFrom {
		r.heard = f.now
	}
	r.tracker.Observe(late)
	now := at(f.now)
	r.limit.Adjust(now, r.tracker.Mean(), len(r.streams))
	r.in.Observe(now, late, r.limit.Most() > 0 && len(r.streams) >= r.limit.Most())
	r.rot.Observe(now, r.tracker.Saturated(), r.tracker.Calm())
}

func (f *modelFleet) run(span time.Duration, flows []modelFlow) {
	due := make([]float64, len(flows))
	for end := f.now + span; f.now < end; f.now += modelStep {
		for i := range flows {
			flow := &flows[i]
			for due[i] += flow.rate * modelStep.Seconds(); due[i] >= 1; due[i]-- {
				f.asked[flow.team] += modelTokens
				f.arrive(attempt{flow: flow, caller: f.rand.IntN(flow.callers), centre: flow.centres[f.rand.IntN(len(flow.centres))], began: f.now})
			}
		}
		f.queue = max(f.queue-f.perSec*modelStep.Seconds(), 0)
		for _, r := range f.routers {
			f.step(r)
			if f.now%(5*modelStep) == 0 {
				f.observe(r)
			}
		}
		if f.now%toldAfter == 0 {
			f.tell()
		}
		if f.now%readyEvery == 0 {
			f.poll()
		}
	}
}

// tell lets the routers of a data centre hear each other.
func (f *modelFleet) tell() {
	for _, all := range f.centres {
		for _, r := range all {
			for _, o := range all {
				if o != r {
					r.rot.Heard(at(f.now), o.id, o.rot.Word(at(f.now)))
				}
			}
		}
	}
}

// poll is the balancer's question whether routers are ready.
func (f *modelFleet) poll() {
	for _, r := range f.routers {
		if r.rot.Away() {
			r.misses++
		} else {
			r.misses = 0
		}
		r.ready = r.misses < 2
	}
}
