package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"goldcrestport/coordination/health"
	"goldcrestport/coordination/internal/virtualtime"
	"goldcrestport/coordination/promptmix"
)

// mixLoad describes the callers, servers and routers of a mixFleet.
type mixLoad struct {
	servers, routers int
	// load is the offered prefill work in relation to what the servers can do.
	load float64
	// longWork is the share of it that comes with long prompts. If swaps is set, it is
	// that of the short ones from half of the time on.
	longWork float64
	swaps    bool
	// capacity is the configured one in relation to what the servers can do; 0: unknown.
	capacity float64
	// digestEvery and digestDelay determine the age of what routers know of each other.
	digestEvery, digestDelay time.Duration
	// lost is set if a server stops at half of the time; its entry is removed later.
	lost bool
}

// Parameters of the callers and servers: objectives of 400 ms and 1 s, prompts of 1,200
// and of 11,500 tokens on average, of which 4,900 are a shared document, and servers of
// which each fourth is slow.
const (
	mixTime          = 5 * time.Second
	mixRate          = 66.0
	longObjective    = time.Second
	shortObjective   = 400 * time.Millisecond
	documentTokens   = 4900
	documents        = 300
	ownTokensMean    = 6600
	shortTokensMean  = 1200
	shortPrefixes    = 1000
	cacheTime        = 10 * time.Second
	entryRemovalTime = 500 * time.Millisecond
	networkTime      = 30 * time.Millisecond
	generationTime   = 500 * time.Millisecond
)

var mixSpeeds = []float64{0.7, 1.1, 1.1, 1.1}

// mixServer prefills prompts one after the other.
type mixServer struct {
	speed  float64
	freeAt time.Time
	lost   bool
	cached map[uint64]time.Time
}

func (e *mixServer) hasCached(now time.Time, prefix uint64) bool {
	return e != nil && now.Sub(e.cached[prefix]) < cacheTime
}

// mixPrompt is one request with what became of it.
type mixPrompt struct {
	long   bool
	tokens int
	// first is the time from the attempt that was served to the first token; 0: none was.
	first time.Duration
}

func (p *mixPrompt) inTime() bool {
	if p.long {
		return p.first > 0 && p.first <= longObjective
	}
	return p.first > 0 && p.first <= shortObjective
}

// mixFleet plays routers, each with a State, and servers in virtual time.
type mixFleet struct {
	mixLoad
	virtualtime.Queue
	rng     *rand.Rand
	states  []*State
	engines map[string]*mixServer
	prompts []*mixPrompt
}

func newMixFleet(l mixLoad, seed uint64, mode promptmix.Mode) *mixFleet {
	f := &mixFleet{mixLoad: l, rng: rand.New(rand.NewPCG(seed, 7)), engines: make(map[string]*mixServer)}
	f.Now = epoch
	cfg := DefaultConfig()
	cfg.PromptMix.Mode = mode
	for range l.routers {
		s := New(cfg)
		s.SetRouters(l.routers)
		s.SetCapacity(l.capacity * mixRate * 1000 * float64(l.servers))
		s.SetService("llm", Traits{Engine: true, FetchRate: 2500, Objective: shortObjective, LongestObjective: longObjective})
		f.states = append(f.states, s)
	}
	for i := range l.servers {
		id := fmt.Sprint("i-", i)
		f.engines[id] = &mixServer{speed: mixSpeeds[i%len(mixSpeeds)], freeAt: epoch, cached: make(map[uint64]time.Time)}
		for _, s := range f.states {
			s.Add(id, 0, "llm", "", 64)
		}
	}
	return f
}

func (f *mixFleet) run() mixResult {
	for i := range f.states {
		f.After(time.Duration(i)*f.digestEvery/time.Duration(f.routers), func() { f.gossip(i) })
	}
	if f.lost {
		f.After(mixTime/2, f.loseServer)
	}
	f.After(0, f.arrive)
	f.RunUntil(epoch.Add(mixTime + 3*time.Second))
	return f.result()
}

func (f *mixFleet) loseServer() {
	f.engines["i-1"].lost = true
	f.After(entryRemovalTime, func() {
		for _, s := range f.states {
			s.Remove("i-1")
		}
	})
}

func (f *mixFleet) gossip(i int) {
	s := f.states[i]
	s.Tick(f.Now)
	d := s.Digest(f.Now, true, true)
	f.After(f.digestDelay, func() {
		for j, other := range f.states {
			if j != i {
				other.ReceiveDigest(f.Now, fmt.Sprint("m-", i), d)
			}
		}
	})
	f.After(f.digestEvery, func() { f.gossip(i) })
}

// tokens returns a length with a lognormal distribution.
func (f *mixFleet) tokens(mean, spread, most float64) int {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return int(min(mean*math.Exp(f.rng.NormFloat64()*sigma-sigma*sigma/2), most))
}

// arrive places the next prompt at one of the routers.
func (f *mixFleet) arrive() {
	if f.Now.Sub(epoch) >= mixTime {
		return
	}
	longWork := f.longWork
	if f.swaps && f.Now.Sub(epoch) > mixTime/2 {
		longWork = 1 - longWork
	}
	// A tenth of the documents is prefilled again.
	longs, shorts := longWork/(ownTokensMean+0.1*documentTokens), (1-longWork)/shortTokensMean
	perMilli := f.load * mixRate * float64(f.servers) * (longs + shorts)
	f.After(time.Duration(f.rng.ExpFloat64()/perMilli*float64(time.Millisecond)), f.arrive)
	p := &mixPrompt{long: f.rng.Float64() < longs/(longs+shorts)}
	// Teams differ in size: the square makes some of the twenty far larger.
	req := Request{Service: "llm", Output: 100, Repeatable: true, Team: fmt.Sprint("t-", int(20*math.Pow(f.rng.Float64(), 2)))}
	if p.long {
		p.tokens = documentTokens + f.tokens(ownTokensMean, 1.4, 55000)
		req.Class, req.Objective = "long", longObjective
		req.SharedPrefixes = []Prefix{{ID: 1 + f.rng.Uint64N(documents), Tokens: documentTokens}}
	} else {
		p.tokens = f.tokens(shortTokensMean, 1.2, 5000)
		req.Class, req.Objective = "short", shortObjective
		req.SharedPrefixes = []Prefix{{ID: 1 + documents + f.rng.Uint64N(shortPrefixes), Tokens: p.tokens / 5}}
	}
	req.Prompt = p.tokens
	f.prompts = append(f.prompts, p)
	f.place(p, req)
}

// place places an attempt. A refused caller comes back once.
func (f *mixFleet) place(p *mixPrompt, req Request) {
	s := f.states[f.rng.IntN(f.routers)]
	d := s.Place(f.Now, req)
	switch {
	case d.Verdict == Send:
		f.serve(s, d, p, req)
	case req.Elapsed == 0:
		req.Elapsed = d.RetryAfter
		f.After(d.RetryAfter, func() { f.place(p, req) })
	}
}

func (f *mixFleet) serve(s *State, d Decision, p *mixPrompt, req Request) {
	e, sentAt := f.engines[d.Server], f.Now
	if e.lost {
		f.After(networkTime, func() { s.Ended(f.Now, d.Run, health.Failure) })
		return
	}
	start := e.freeAt
	if f.Now.After(start) {
		start = f.Now
	}
	e.freeAt = start.Add(time.Duration(f.unread(e, d, req) / mixRate / e.speed * float64(time.Millisecond)))
	f.After(e.freeAt.Sub(f.Now)+networkTime, func() {
		if e.lost {
			s.Ended(f.Now, d.Run, health.Failure)
			return
		}
		p.first = f.Now.Sub(sentAt)
		s.FirstByte(f.Now, d.Run)
		f.After(generationTime, func() { s.Ended(f.Now, d.Run, health.Success) })
	})
}

// unread returns the tokens that the server has to prefill, and caches the prefixes.
func (f *mixFleet) unread(e *mixServer, d Decision, req Request) float64 {
	tokens := req.Prompt
	for _, prefix := range req.SharedPrefixes {
		if e.hasCached(f.Now, prefix.ID) || f.engines[d.Source].hasCached(f.Now, prefix.ID) {
			tokens -= prefix.Tokens
		}
		e.cached[prefix.ID] = f.Now
	}
	return float64(tokens)
}

// mixResult is what the callers got: the fractions of the prompts of each kind that met
// their objective, by fifths of their length for the long ones, and the time to the first
// token of short ones.
type mixResult struct {
	short, long, largestTenth float64
	fifths                    [5]float64
	shortP50, shortP99        time.Duration
}

func (f *mixFleet) result() mixResult {
	var long, short []*mixPrompt
	var firsts []time.Duration
	for _, p := range f.prompts {
		if p.long {
			long = append(long, p)
			continue
		}
		short = append(short, p)
		if p.first > 0 {
			firsts = append(firsts, p.first)
		}
	}
	slices.SortFunc(long, func(a, b *mixPrompt) int { return a.tokens - b.tokens })
	r := mixResult{short: inTime(short), long: inTime(long), largestTenth: inTime(long[len(long)*9/10:])}
	for i := range r.fifths {
		r.fifths[i] = inTime(long[len(long)*i/5 : len(long)*(i+1)/5])
	}
	if slices.Sort(firsts); len(firsts) > 0 {
		r.shortP50, r.shortP99 = firsts[len(firsts)/2], firsts[len(firsts)*99/100]
	}
	return r
}

// inTime returns the fraction of the prompts that met their objective.
func inTime(prompts []*mixPrompt) float64 {
	n := 0
	for _, p := range prompts {
		if p.inTime() {
			n++
		}
	}
	return float64(n) / float64(max(len(prompts), 1))
}

// playMix returns the mean result over the seeds.
func playMix(l mixLoad, mode promptmix.Mode, seeds int) mixResult {
	var sum mixResult
	n := float64(seeds)
	for seed := range seeds {
		r := newMixFleet(l, uint64(seed), mode).run()
		sum.short, sum.long, sum.largestTenth = sum.short+r.short/n, sum.long+r.long/n, sum.largestTenth+r.largestTenth/n
		for i := range r.fifths {
			sum.fifths[i] += r.fifths[i] / n
		}
		sum.shortP50, sum.shortP99 = sum.shortP50+r.shortP50/time.Duration(seeds), sum.shortP99+r.shortP99/time.Duration(seeds)
	}
	return sum
}
