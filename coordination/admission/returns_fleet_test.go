package admission

import (
	"fmt"
	"math/rand/v2"
	"time"

	"goldcrestport/coordination/health"
	"goldcrestport/coordination/internal/virtualtime"
)

// A model of a fleet in virtual time: several routers that decide with a State each,
// engines that prefill prompts one after the other, and callers who come back once.

// Parameters of the model.
const (
	modelRouters      = 8
	modelEngines      = 8
	modelPrefillRate  = 64.0 // prompt tokens per millisecond
	modelFirstToken   = 30 * time.Millisecond
	modelRunTime      = 800 * time.Millisecond
	modelDigestPeriod = 60 * time.Millisecond
	modelDigestDelay  = 10 * time.Millisecond
	modelTeams        = 10
	modelMeanLoad     = 0.6  // of the engines' prefill time
	modelAtOnce       = 0.1  // fraction of the refused callers that come back at once
	modelReturnShare  = 3    // a caller comes back within this part of the time it has left
	modelUsualQuota   = 0.85 // configured capacity as a fraction of what engines do
)

// sizeClass is a kind of request.
type sizeClass struct {
	name               string
	prompt, output     int
	weight             float64 // fraction of the requests
	objective, timeout time.Duration
}

func modelClasses() []sizeClass {
	return []sizeClass{
		{"long", 12_000, 385, 0.11, time.Second, 15 * time.Second},
		{"short", 826, 294, 0.67, 400 * time.Millisecond, 15 * time.Second},
		{"lookup", 2_368, 21, 0.22, 500 * time.Millisecond, 3 * time.Second},
	}
}

// returnsLoad is what varies between runs of the model.
type returnsLoad struct {
	name string
	// all is the factor of the mean load at a time, flood that of the first team's.
	all, flood func(at time.Duration) float64
	// herdAt is when all callers of a third of the routers come back at once; 0: never.
	herdAt time.Duration
	// until is the end of the arrivals.
	until time.Duration
}

func constant(f float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return f }
}

// between is the given factor within the times, else 1.
func between(from, to time.Duration, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return factor
		}
		return 1
	}
}

// wave alternates between high and low for half of the period each.
func wave(period time.Duration, high, low float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%period < period/2 {
			return high
		}
		return low
	}
}

// heavyReturns are the loads under which many callers are refused.
func heavyReturns() []returnsLoad {
	second := time.Second
	return []returnsLoad{
		{name: "team floods", all: constant(1), flood: between(4*second, 10*second, 9), until: 24 * second},
		{name: "data centre returns", all: constant(1.3), flood: constant(1), herdAt: 6 * second, until: 18 * second},
		{name: "burst", all: between(4*second, 12*second, 2), flood: constant(1), until: 24 * second},
		{name: "three times the load", all: between(4*second, 10*second, 3), flood: constant(1), until: 24 * second},
		{name: "waves", all: wave(15*second, 1.55*1.3, 0.45*1.3), flood: constant(1), until: 45 * second},
	}
}

// retryTimes are the ways to choose Retry-After that are compared.
type retryTimes struct {
	name    string
	returns Returns
	adjust  func(*Config)
	// drainOnly uses the time in which the queue drains, without throttle and spread.
	drainOnly bool
	// isRecognised is set if routers know who comes back.
	isRecognised bool
}

// returnTally counts what became of requests.
type returnTally struct {
	calls, refused, returned, servedReturns, onTimeReturns, onTime, late, lost int
	// promised counts the returns at promised times, kept those of them that were served.
	promised, kept int
}

func (t returnTally) String() string {
	return fmt.Sprintf("calls %6d tries %6d refused %5.1f%% returns served %5.1f%% of %5d (on time %5.1f%%) all: on time %5.1f%% late %4.1f%% lost %4.1f%%; promised %5d kept %5.1f%%",
		t.calls, t.calls+t.returned, percent(t.refused, t.calls+t.returned), percent(t.servedReturns, t.returned), t.returned, percent(t.onTimeReturns, t.returned), percent(t.onTime, t.calls), percent(t.late, t.calls), percent(t.lost, t.calls), t.promised, percent(t.kept, t.promised))
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

func (t *returnTally) add(o returnTally) {
	t.calls += o.calls
	t.refused += o.refused
	t.returned += o.returned
	t.servedReturns += o.servedReturns
	t.onTimeReturns += o.onTimeReturns
	t.onTime += o.onTime
	t.late += o.late
	t.lost += o.lost
	t.promised += o.promised
	t.kept += o.kept
}

// tallyKey names a tally: the flooding team or the others, and a class.
type tallyKey struct {
	floods bool
	class  string
}

// returnsFleet is the simulated fleet.
type returnsFleet struct {
	virtualtime.Queue
	// arrivals is the randomness of first attempts, the same whatever the way.
	arrivals, r *rand.Rand
	load        returnsLoad
	way         retryTimes
	routers     []*State
	stopped     []bool
	freeAt      []time.Time
	classes     []sizeClass
	tallies     map[tallyKey]*returnTally
	digests     int
	onReturn    func(d Decision)
}

// attempt is one call of a caller.
type returnsCall struct {
	team     int
	class    sizeClass
	born     time.Time
	returned bool
	booked   bool
}

func (c returnsCall) teamName() string { return fmt.Sprint("team-", c.team) }

func newReturnsFleet(load returnsLoad, way retryTimes, seed uint64) *returnsFleet {
	f := &returnsFleet{
		Queue: virtualtime.Queue{Now: epoch}, arrivals: rand.New(rand.NewPCG(seed, 11)), r: rand.New(rand.NewPCG(seed, 13)), load: load, way: way,
		stopped: make([]bool, modelRouters), freeAt: make([]time.Time, modelEngines), classes: modelClasses(), tallies: make(map[tallyKey]*returnTally),
	}
	for i := range modelEngines {
		f.freeAt[i] = epoch
	}
	for i := range modelRouters {
		f.routers = append(f.routers, f.newRouter())
		f.After(time.Duration(i)*modelDigestPeriod/modelRouters, func() { f.gossip(i) })
	}
	for team := range modelTeams {
		for _, class := range f.classes {
			f.nextCall(team, class)
		}
	}
	if load.herdAt > 0 {
		f.After(load.herdAt, f.herd)
	}
	return f
}

func (f *returnsFleet) newRouter() *State {
	cfg := DefaultConfig()
	cfg.Returns = f.way.returns
	if f.way.adjust != nil {
		f.way.adjust(&cfg)
	}
	s := New(cfg)
	s.SetService("llm", Traits{Engine: true, Objective: 400 * time.Millisecond, UnevenObjectives: true})
	s.SetRouters(modelRouters)
	s.SetCapacity(f.tokenRate(modelUsualQuota))
	for i := range modelEngines {
		s.Add(engineName(i), 0, "llm", "", 64)
	}
	return s
}

func engineName(i int) string { return fmt.Sprint("i-", i) }

// callRate is the number of calls per second at the given use of the engines.
func (f *returnsFleet) callRate(use float64) float64 {
	mean := 0.0
	for _, c := range f.classes {
		mean += c.weight * float64(c.prompt)
	}
	return use * modelEngines * modelPrefillRate * 1000 / mean
}

// tokenRate is the demand in tokens per second at the given use of the engines.
func (f *returnsFleet) tokenRate(use float64) float64 {
	mean := 0.0
	for _, c := range f.classes {
		mean += c.weight * float64(c.prompt+outputWeight*c.output)
	}
	return f.callRate(use) * mean
}

// teamShare is the fraction of the usual load of a team: the first ones are larger.
func teamShare(team int) float64 {
	if team < 2 {
		return 0.2
	}
	return 0.6 / (modelTeams - 2)
}

// highestFactor bounds the factors of a load, for thinning.
const highestFactor = 10

// nextCall schedules the team's next call by thinning a Poisson process.
func (f *returnsFleet) nextCall(team int, class sizeClass) {
	usual := f.callRate(modelMeanLoad) * teamShare(team) * class.weight
	gap := time.Duration(f.arrivals.ExpFloat64() / (usual * highestFactor) * float64(time.Second))
	f.After(gap, func() {
		at := f.Now.Sub(epoch)
		if at > f.load.until {
			return
		}
		f.nextCall(team, class)
		factor := f.load.all(at)
		if team == 0 {
			factor *= f.load.flood(at)
		}
		if f.arrivals.Float64()*highestFactor < factor {
			f.call(returnsCall{team: team, class: class, born: f.Now})
		}
	})
}

// herdTime is the time in seconds whose calls come back as a herd.
const herdTime = 3

// herd sends, within 100 ms, what usually comes in some seconds.
func (f *returnsFleet) herd() {
	for team := range modelTeams {
		for _, class := range f.classes {
			n := int(f.callRate(modelMeanLoad) * teamShare(team) * class.weight * herdTime)
			for range n {
				born := f.Now.Add(-time.Duration(f.arrivals.Int64N(int64(1500 * time.Millisecond))))
				f.After(time.Duration(f.arrivals.Int64N(int64(100*time.Millisecond))), func() { f.call(returnsCall{team: team, class: class, born: born}) })
			}
		}
	}
}

func (f *returnsFleet) tally(c returnsCall) *returnTally {
	key := tallyKey{c.team == 0, c.class.name}
	if f.tallies[key] == nil {
		f.tallies[key] = &returnTally{}
	}
	return f.tallies[key]
}

// pickRouter returns a router that runs.
func (f *returnsFleet) pickRouter() *State {
	for {
		if i := f.r.IntN(modelRouters); !f.stopped[i] {
			return f.routers[i]
		}
	}
}

func (f *returnsFleet) call(c returnsCall) {
	s, t := f.pickRouter(), f.tally(c)
	left := c.class.timeout - f.Now.Sub(c.born)
	req := Request{
		Service: "llm", Team: c.teamName(), Class: c.class.name, Prompt: c.class.prompt, Output: c.class.output, Objective: c.class.objective, Repeatable: true, TimeLeft: left,
	}
	if c.returned && f.way.isRecognised {
		req.Elapsed = max(f.Now.Sub(c.born), 0)
	}
	d := s.Place(f.Now, req)
	if !c.returned {
		t.calls++
	} else {
		t.returned++
		if c.booked {
			t.promised++
		}
	}
	if d.Verdict == Send {
		f.serve(s, c, d)
		return
	}
	t.refused++
	if c.returned {
		t.lost++
		return
	}
	after := d.RetryAfter
	if f.way.drainOnly {
		after = min(max(d.Wait-d.Limit, s.cfg.RetryAfterMin), s.cfg.RetryAfterMax)
	}
	atOnce := f.r.Float64() < modelAtOnce
	if atOnce {
		after = 5 * time.Millisecond
	}
	after = min(after, left/modelReturnShare)
	c.returned, c.booked = true, d.Booked && !atOnce
	f.After(after, func() { f.call(c) })
}

func (f *returnsFleet) serve(s *State, c returnsCall, d Decision) {
	t := f.tally(c)
	var engine int
	_, _ = fmt.Sscanf(d.Server, "i-%d", &engine)
	start := f.freeAt[engine]
	if start.Before(f.Now) {
		start = f.Now
	}
	read := start.Add(time.Duration(float64(c.class.prompt) / modelPrefillRate * float64(time.Millisecond)))
	f.freeAt[engine] = read
	first := read.Add(modelFirstToken)
	isOnTime := first.Sub(c.born) <= c.class.objective
	if isOnTime {
		t.onTime++
	} else {
		t.late++
	}
	if c.returned {
		t.servedReturns++
		if isOnTime {
			t.onTimeReturns++
		}
		if c.booked {
			t.kept++
		}
	}
	f.At(first, func() { s.FirstByte(f.Now, d.Run) })
	f.At(first.Add(modelRunTime), func() {
		s.Generated(d.Run, c.class.output)
		s.Ended(f.Now, d.Run, health.Success)
	})
}

// gossip sends a digest of the router to all others.
func (f *returnsFleet) gossip(i int) {
	if f.Now.Sub(epoch) > f.load.until+6*time.Second {
		return
	}
	f.After(modelDigestPeriod, func() { f.gossip(i) })
	if f.stopped[i] {
		return
	}
	f.digests++
	s := f.routers[i]
	s.Tick(f.Now)
	d := s.Digest(f.Now, true, true)
	f.After(modelDigestDelay, func() {
		for j, other := range f.routers {
			if j != i && !f.stopped[j] {
				other.ReceiveDigest(f.Now, fmt.Sprint("r-", i), d)
			}
		}
	})
}

func (f *returnsFleet) run() { f.RunUntil(epoch.Add(f.load.until + 12*time.Second)) }

// sum adds the tallies of the flooding team, or of the others.
func (f *returnsFleet) sum(floods bool) (out returnTally) {
	for key, t := range f.tallies {
		if key.floods == floods {
			out.add(*t)
		}
	}
	return out
}
