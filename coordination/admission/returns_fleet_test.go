package admission

import (
	"fmt"
	"math/rand/v2"
	"time"

	"goldcrestport/coordination/health"
	"goldcrestport/coordination/internal/virtualtime"
)

// A model of a fleet in virtual time: routers that decide with a State each,
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

// returnsFleet is the simulated fleet.
type returnsFleet struct {
	virtualtime.Queue
	// arrivals is the randomness of first attempts, the same with the part on and off.
	arrivals, r *rand.Rand
	load        returnsLoad
	returns     Returns
	routers     []*State
	freeAt      []time.Time
	classes     []sizeClass
	// flood and others count the calls of the flooding team and of all others.
	flood, others returnTally
	digests       int
	onReturn      func(d Decision)
}

// returnsCall is one call of a caller.
type returnsCall struct {
	team     int
	class    sizeClass
	born     time.Time
	returned bool
}

func (c returnsCall) teamName() string { return fmt.Sprint("team-", c.team) }

func newReturnsFleet(load returnsLoad, returns Returns, seed uint64) *returnsFleet {
	f := &returnsFleet{
		Queue: virtualtime.Queue{Now: epoch}, arrivals: rand.New(rand.NewPCG(seed, 11)), r: rand.New(rand.NewPCG(seed, 13)), load: load, returns: returns,
		freeAt: make([]time.Time, modelEngines), classes: modelClasses(),
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
	cfg.Returns = f.returns
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
	if c.team == 0 {
		return &f.flood
	}
	return &f.others
}

func (f *returnsFleet) call(c returnsCall) {
	s, t := f.routers[f.r.IntN(modelRouters)], f.tally(c)
	left := c.class.timeout - f.Now.Sub(c.born)
	req := Request{
		Service: "llm", Team: c.teamName(), Class: c.class.name, Prompt: c.class.prompt, Output: c.class.output, Objective: c.class.objective, Repeatable: true,
	}
	if c.returned {
		req.Elapsed = max(f.Now.Sub(c.born), 0)
	}
	d := s.Place(f.Now, req)
	if !c.returned {
		t.calls++
	} else {
		t.returned++
	}
	if d.Verdict == Send {
		f.serve(s, c, d)
		return
	}
	if c.returned {
		t.lost++
		return
	}
	after := d.RetryAfter
	if f.r.Float64() < modelAtOnce {
		after = 5 * time.Millisecond
	}
	after = min(after, left/modelReturnShare)
	c.returned = true
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
	s := f.routers[i]
	s.Tick(f.Now)
	d := s.Digest(f.Now, true, true)
	f.After(modelDigestDelay, func() {
		for j, other := range f.routers {
			if j != i {
				other.ReceiveDigest(f.Now, fmt.Sprint("r-", i), d)
			}
		}
	})
}

func (f *returnsFleet) run() { f.RunUntil(epoch.Add(f.load.until + 12*time.Second)) }
