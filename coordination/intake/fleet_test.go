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

// This file models a fleet in virtual time: a balancer that tries a data centre's routers
// in one order for each caller, routers of two sizes whose processor quota is a part of
// each tenth of a second, callers that retry once at the next router, servers that process
// a number of tokens a second, and floods of several teams.

// Constants of the model. Costs are processor time of a whole core.
const (
	modelWindow       = 4 * time.Second
	modelStep         = 5 * time.Millisecond
	modelQuota        = 100 * time.Millisecond
	largeShare        = 0.8
	smallShare        = 0.144
	costClose         = 15 * time.Microsecond
	costRead          = 120 * time.Microsecond
	costStream        = 1200 * time.Microsecond // for each second of a stream
	costRelay         = 500 * time.Microsecond  // the same for a stream that is only relayed
	streamTime        = time.Second
	modelTokens       = 3000.0 // of one request
	modelBacklog      = 1024   // connections in the kernel's accept queue
	callerTimeout     = 3 * time.Second
	readyInterval     = time.Second
	exchangeInterval  = 100 * time.Millisecond
	noReceiveLateness = 300 * time.Millisecond // lateness from which messages of other routers wait unread
	maxStaleness      = 1800 * time.Millisecond
)

// design is what the routers of a run do.
type design struct {
	name string
	// limits: late routers limit connections by a State instead of closing all.
	limits bool
	// countsAll: requests that are refused because of the stream limit or closed unread
	// count as asked for.
	countsAll bool
	// throttles: teams that are ahead of the least-served one that asks for capacity get a
	// rate limit.
	throttles bool
	// handsOver: a late router hands streams over to the least loaded router of its data
	// centre.
	handsOver bool
}

// modelFlow is what a team's callers send.
type modelFlow struct {
	team    string
	centres []int
	// callers is the number of addresses in each data centre, rate the requests a second of
	// all.
	callers int
	rate    float64
}

type attempt struct {
	flow    *modelFlow
	caller  int
	centre  int
	started time.Duration
	arrived time.Duration
	isRetry bool
}

type stream struct {
	team   string
	until  time.Duration
	runsAt *modelRouter // the router that runs it, if handed over
}

type modelRouter struct {
	id       string
	number   int
	centre   int
	share    float64
	queue    []attempt
	budget   time.Duration
	tracker  *saturation.Tracker
	limit    *saturation.Limit
	rotation *rotation.State
	intake   *State
	streams  []stream
	relayed  int
	misses   int
	ready    bool
	// receivedAt is when the router last received messages of the others.
	receivedAt time.Duration
	// undecided are decided on once there is processor time again.
	undecided []string
	byTeam    map[string]int
}

type modelFleet struct {
	design  design
	rand    *rand.Rand
	now     time.Duration
	centres [][]*modelRouter
	routers []*modelRouter
	meter   *fairshare.Meter
	// throttle is shared by all routers, because the model has no delay between them.
	throttle *throttle.State[fairshare.TeamID]
	observed time.Duration
	perSec   float64 // tokens that the servers process a second
	queue    float64 // tokens queued at the servers
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
			rotation: rotation.New(rotation.DefaultConfig()), intake: New(DefaultConfig()), byTeam: map[string]int{},
		}
		f.routers = append(f.routers, r)
		f.centres[r.centre] = append(f.centres[r.centre], r)
	}
	return f
}

func at(now time.Duration) time.Time { return time.Unix(1000, 0).Add(now) }

// choose is the balancer: it returns the first router in rotation in the caller's order, or
// the next one for a retry.
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
	if a.isRetry {
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

// retry is the caller's second try.
func (f *modelFleet) retry(a attempt) {
	if a.isRetry || f.now-a.started > callerTimeout {
		return
	}
	a.isRetry = true
	f.arrive(a)
}

// standing returns the team's standing (its use in relation to its share), from what
// routers report to each other.
func (f *modelFleet) standing(team string) float64 {
	return f.meter.Standing(at(f.now), fairshare.IDOf(team), f.perSec*modelWindow.Seconds())
}

// admits is the servers' side: the admissible wait falls with the team's standing.
func (f *modelFleet) admits(team string) bool {
	standing := f.standing(team)
	if f.design.throttles && !f.inRate(team) {
		return false
	}
	const maxWait, belowShare, aboveShare = 0.18, 1.5, 0.2
	factor := belowShare
	switch {
	case standing >= 1.3:
		factor = aboveShare * 1.3 / standing
	case standing > 0.7:
		factor = belowShare + (standing-0.7)/0.6*(aboveShare-belowShare)
	}
	return f.queue/f.perSec <= maxWait*factor
}

// inRate reports whether the team's rate limit admits a request.
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

// step advances one router.
func (f *modelFleet) step(r *modelRouter) {
	if f.now%modelQuota == 0 {
		r.budget = min(r.budget, 0) + time.Duration(r.share*float64(modelQuota))
	}
	for i := 0; i < len(r.streams); i++ {
		s := r.streams[i]
		cost := costStream
		if s.runsAt != nil {
			cost = costRelay
			s.runsAt.budget -= time.Duration(float64(costStream) * modelStep.Seconds())
		}
		r.budget -= time.Duration(float64(cost) * modelStep.Seconds())
		if f.now >= s.until {
			r.byTeam[s.team]--
			if s.runsAt != nil {
				s.runsAt.relayed--
			}
			r.streams = slices.Delete(r.streams, i, i+1)
			i--
		}
	}
	for ; len(r.undecided) > 0 && r.budget > 0; r.undecided = r.undecided[1:] {
		r.intake.Decided(r.undecided[0])
	}
	for len(r.queue) > 0 && r.budget > 0 {
		a := r.queue[0]
		r.queue = r.queue[1:]
		f.handle(r, a)
	}
}

func (f *modelFleet) handle(r *modelRouter, a attempt) {
	team := a.flow.team
	closes := r.tracker.Mean() >= DefaultConfig().HighLateness
	if f.design.limits {
		_, admitted := r.intake.Admit(at(f.now), team, f.standing(team) > 1)
		closes = !admitted
	}
	if f.design.countsAll {
		f.ask(team)
	}
	if closes {
		r.budget -= costClose
		f.failed++
		f.retry(a)
		return
	}
	r.budget -= costRead
	if f.design.limits {
		r.undecided = append(r.undecided, team)
	}
	if f.now-a.started > callerTimeout {
		f.failed++
		return
	}
	if f.now-r.receivedAt > maxStaleness {
		f.failed++
		f.retry(a)
		return
	}
	if !saturation.Admits(r.limit.Most(), len(r.streams), r.byTeam[team]) {
		f.failed++
		f.retry(a)
		return
	}
	if !f.design.countsAll {
		f.ask(team)
	}
	if !f.admits(team) {
		f.failed++
		f.retry(a)
		return
	}
	f.meter.RecordStart(at(f.now), fairshare.IDOf(team), modelTokens)
	f.throttle.Sent(at(f.now), fairshare.IDOf(team), modelTokens)
	f.got[team] += modelTokens
	f.queue += modelTokens
	s := stream{team: team, until: f.now + streamTime}
	if f.design.handsOver && r.tracker.Mean() > 10*time.Millisecond {
		s.runsAt = f.idlest(r)
	}
	r.byTeam[team]++
	r.streams = append(r.streams, s)
}

// idlest returns the router of the data centre with the most free capacity that is not
// late, or nil.
func (f *modelFleet) idlest(r *modelRouter) *modelRouter {
	var best *modelRouter
	var most float64
	for _, o := range f.centres[r.centre] {
		room := o.share - float64(len(o.streams)+o.relayed)*costStream.Seconds()
		if o != r && o.tracker.OnTime() && room > most {
			best, most = o, room
		}
	}
	if best != nil {
		best.relayed++
	}
	return best
}

// observe is what routers measure and report.
func (f *modelFleet) observe(r *modelRouter) {
	late := time.Duration(float64(max(-r.budget, 0)) / r.share)
	if len(r.queue) > 0 && !f.design.limits {
		// Connections that were accepted and not read delay everything behind them.
		late = f.now - r.queue[0].arrived
	}
	if late < noReceiveLateness {
		r.receivedAt = f.now
	}
	r.tracker.Observe(late)
	now := at(f.now)
	r.limit.Adjust(now, r.tracker.Mean(), len(r.streams))
	r.intake.Observe(now, late, r.limit.Most() > 0 && len(r.streams) >= r.limit.Most())
	r.rotation.Observe(now, r.tracker.Saturated(), r.tracker.OnTime())
}

func (f *modelFleet) run(span time.Duration, flows []modelFlow) {
	due := make([]float64, len(flows))
	for end := f.now + span; f.now < end; f.now += modelStep {
		for i := range flows {
			flow := &flows[i]
			for due[i] += flow.rate * modelStep.Seconds(); due[i] >= 1; due[i]-- {
				f.asked[flow.team] += modelTokens
				f.arrive(attempt{flow: flow, caller: f.rand.IntN(flow.callers), centre: flow.centres[f.rand.IntN(len(flow.centres))], started: f.now})
			}
		}
		f.queue = max(f.queue-f.perSec*modelStep.Seconds(), 0)
		for _, r := range f.routers {
			f.step(r)
			if f.now%(5*modelStep) == 0 {
				f.observe(r)
			}
		}
		if f.now%exchangeInterval == 0 {
			f.exchange()
		}
		if f.now%readyInterval == 0 {
			f.poll()
		}
	}
}

// exchange sends the status of each router to the others of its data centre.
func (f *modelFleet) exchange() {
	for _, all := range f.centres {
		for _, r := range all {
			for _, o := range all {
				if o != r {
					r.rotation.Receive(at(f.now), o.id, o.rotation.Status(at(f.now)))
				}
			}
		}
	}
}

// poll is the balancer's readiness check of the routers.
func (f *modelFleet) poll() {
	for _, r := range f.routers {
		if r.rotation.OutOfRotation() {
			r.misses++
		} else {
			r.misses = 0
		}
		r.ready = r.misses < 2
	}
}
