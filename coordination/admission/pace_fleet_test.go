package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/health"
	"goldcrestport/coordination/internal/virtualtime"
	"goldcrestport/coordination/pace"
)

// Parameters of the model of uneven engines on shared machines. One engine in four is less than half as fast as
// the others, machines take 2.5 times as long for bursts of 600 ms, and what the other routers sent is known up
// to a second late.
const (
	paceRouters     = 27
	paceServers     = 50
	paceFast        = 110.0
	paceSlow        = 50.0
	paceOverhead    = 40 * time.Millisecond
	paceBurst       = 600 * time.Millisecond
	paceBurstShare  = 0.15
	paceBurstFactor = 2.5
	paceReportLag   = 100 * time.Millisecond
	paceSharePeriod = 3600 * time.Millisecond
	paceRunTime     = 800 * time.Millisecond
	paceObjective   = 800 * time.Millisecond
	paceDocuments   = 300
	paceDocument    = 4900
	// paceCrowd is how many times as many requests come in the upper half of each wave as on average.
	paceCrowd = 1.4
	paceWave  = 15 * time.Second
)

// paceEngine is one engine. It prefills prompts one after the other.
type paceEngine struct {
	rate      float64
	busyUntil time.Time
	bursts    *rand.Rand
	slowAt    []bool
	cached    map[uint64]bool
}

// slowdown returns how much longer than usual work takes at a time.
func (e *paceEngine) slowdown(at time.Time) float64 {
	slot := int(max(at.Sub(epoch), 0) / paceBurst)
	for len(e.slowAt) <= slot {
		e.slowAt = append(e.slowAt, e.bursts.Float64() < paceBurstShare)
	}
	if e.slowAt[slot] {
		return paceBurstFactor
	}
	return 1
}

// prefill queues the tokens and returns when they are prefilled.
func (e *paceEngine) prefill(now time.Time, tokens float64) time.Time {
	at := now
	if e.busyUntil.After(at) {
		at = e.busyUntil
	}
	const step = time.Millisecond
	for left := tokens; left > 0; at = at.Add(step) {
		left -= e.rate / e.slowdown(at)
	}
	e.busyUntil = at
	return at
}

// paceFleet is the routers and engines.
type paceFleet struct {
	virtualtime.Queue
	rng     *rand.Rand
	routers []*State
	engines map[string]*paceEngine
	shares  bool
	digests time.Duration
	// longs and largest count the long prompts and those of the largest tenth, and which of them
	// got their first token in time.
	longs, largest, shorts paceCount
}

// paceCount counts requests and those whose first token came in time.
type paceCount struct{ all, inTime, refused int }

func (c paceCount) share() float64 { return float64(c.inTime) / float64(max(c.all, 1)) }

// paceSetting says what the routers of a model know.
type paceSetting struct {
	mode   pace.Mode
	shares bool
	// digests is the time between two digests of a router.
	digests time.Duration
}

func newPaceFleet(seed uint64, set paceSetting) *paceFleet {
	f := &paceFleet{rng: rand.New(rand.NewPCG(seed, 1)), engines: make(map[string]*paceEngine), shares: set.shares, digests: set.digests}
	f.Now = epoch
	cfg := DefaultConfig()
	cfg.Pace.Mode = set.mode
	for range paceRouters {
		s := New(cfg)
		s.SetRouters(paceRouters)
		s.SetService("llm", Traits{Engine: true, Objective: 500 * time.Millisecond})
		f.routers = append(f.routers, s)
	}
	for i := range paceServers {
		id, rate := fmt.Sprintf("i-%d", i), paceFast
		if i%4 == 0 {
			rate = paceSlow
		}
		f.engines[id] = &paceEngine{rate: rate, bursts: rand.New(rand.NewPCG(seed, uint64(100+i))), cached: make(map[uint64]bool)}
		for _, s := range f.routers {
			s.Add(id, 0, "llm", "", 64)
		}
	}
	for i, s := range f.routers {
		f.At(epoch.Add(set.digests*time.Duration(i)/paceRouters), func() { f.sendDigest(i, s) })
		f.At(epoch.Add(paceSharePeriod*time.Duration(i)/paceRouters), func() { f.sendReport(i, s) })
	}
	return f
}

func (f *paceFleet) sendDigest(from int, s *State) {
	d := s.Digest(f.Now, true, false)
	for i, other := range f.routers {
		if i != from {
			other.ReceiveDigest(f.Now, fmt.Sprint("r-", from), d)
		}
	}
	f.After(f.digests, func() { f.sendDigest(from, s) })
}

func (f *paceFleet) sendReport(from int, s *State) {
	if f.shares {
		report := s.TakePaceReport(f.Now)
		for i, other := range f.routers {
			if i != from {
				other.ReceivePaceReport(f.Now, report)
			}
		}
	}
	f.After(paceSharePeriod, func() { f.sendReport(from, s) })
}

// arrivals lets requests of one kind come until the end, more of them in the upper half of each wave.
func (f *paceFleet) arrivals(perSecond float64, end time.Time, arrive func(now time.Time)) {
	rate := perSecond * paceCrowd
	if f.Now.Sub(epoch)%paceWave < paceWave/2 {
		rate = perSecond * (2 - paceCrowd)
	}
	f.After(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.Now.After(end) {
			return
		}
		arrive(f.Now)
		f.arrivals(perSecond, end, arrive)
	})
}

// size returns a log-normal number of tokens with a mean and a relative deviation.
func (f *paceFleet) size(mean, deviation, most float64) int {
	variance := math.Log(1 + deviation*deviation)
	return int(min(mean*math.Exp(f.rng.NormFloat64()*math.Sqrt(variance)-variance/2), most))
}

// long sends a question on one of the documents, whose own part is sometimes very long.
func (f *paceFleet) long(now time.Time) {
	own, document := f.size(6600, 1.4, 54_600), f.rng.IntN(paceDocuments)
	req := prompt(own+paceDocument, Prefix{ID: uint64(1000 + document), Tokens: paceDocument})
	req.Objective = paceObjective
	counts := []*paceCount{&f.longs}
	if own > 15_000 {
		counts = append(counts, &f.largest)
	}
	f.send(now, req, counts)
}

func (f *paceFleet) short(now time.Time) {
	req := prompt(f.size(1300, 1.2, 6800))
	req.Objective = 500 * time.Millisecond
	f.send(now, req, []*paceCount{&f.shorts})
}

func (f *paceFleet) send(now time.Time, req Request, counts []*paceCount) {
	s := f.routers[f.rng.IntN(len(f.routers))]
	d := s.Place(now, req)
	for _, c := range counts {
		c.all++
		if d.Run == nil {
			c.refused++
		}
	}
	if d.Run == nil {
		return
	}
	e, tokens := f.engines[d.Server], float64(req.Prompt)
	for _, prefix := range req.SharedPrefixes {
		if e.cached[prefix.ID] {
			tokens -= float64(prefix.Tokens)
		}
		e.cached[prefix.ID] = true
	}
	f.At(e.prefill(now, tokens).Add(paceOverhead), func() {
		first := f.Now
		for _, c := range counts {
			if first.Sub(now) <= req.Objective {
				c.inTime++
			}
		}
		slowdown := int(100 * e.slowdown(first.Add(-paceReportLag)))
		s.Reported(first, d.Run, Load{Running: 1, Slots: 64, SlowdownPercent: slowdown})
		s.FirstByte(first, d.Run)
		f.After(paceRunTime, func() { s.Ended(f.Now, d.Run, health.Success) })
	})
}

// playPace lets the load come for the time and returns the fleet.
func playPace(seed uint64, set paceSetting, span time.Duration) *paceFleet {
	f := newPaceFleet(seed, set)
	end := epoch.Add(span)
	f.arrivals(210, end, f.long)
	f.arrivals(700, end, f.short)
	f.RunUntil(end.Add(2 * time.Second))
	return f
}

// estimates returns the mean estimated rates of slow and fast engines in relation to the true ones.
func (f *paceFleet) estimates(now time.Time) (slow, fast float64) {
	var n [2]float64
	for _, s := range f.routers {
		for id, srv := range s.servers {
			e := f.engines[id]
			if e.rate < 60 {
				slow, n[0] = slow+1/srv.pace.TokenTime(now)/e.rate, n[0]+1
			} else {
				fast, n[1] = fast+1/srv.pace.TokenTime(now)/e.rate, n[1]+1
			}
		}
	}
	return slow / n[0], fast / n[1]
}

// paceResults are the outcomes of the same load over some seeds.
type paceResults struct {
	longs, largest, shorts paceCount
	slow, fast             float64
}

func (c *paceCount) add(other paceCount) {
	c.all, c.inTime, c.refused = c.all+other.all, c.inTime+other.inTime, c.refused+other.refused
}

func playPaceSeeds(t *testing.T, name string, set paceSetting) paceResults {
	const seeds, span = 2, 20 * time.Second
	var sum paceResults
	for seed := range uint64(seeds) {
		f := playPace(seed, set, span)
		sum.longs.add(f.longs)
		sum.largest.add(f.largest)
		sum.shorts.add(f.shorts)
		slow, fast := f.estimates(epoch.Add(span))
		sum.slow, sum.fast = sum.slow+slow/seeds, sum.fast+fast/seeds
	}
	t.Logf("%s, digests each %v: in time %.3f of the long prompts, %.3f of the largest, %.3f of the short ones; estimated rate %.2f of the slow, %.2f of the fast engines",
		name, set.digests, sum.longs.share(), sum.largest.share(), sum.shorts.share(), sum.slow, sum.fast)
	return sum
}

// Guards against one rate for engines of unequal speed: long prompts go to engines where their prefill fits into
// their objective, also where a router alone sees too few answers to learn the speed of each engine.
func TestUnevenEnginesServeLongPromptsInTime(t *testing.T) {
	const digests = 130 * time.Millisecond
	constant := playPaceSeeds(t, "one rate", paceSetting{pace.Off, false, digests})
	alone := playPaceSeeds(t, "learnt alone", paceSetting{pace.Auto, false, digests})
	shared := playPaceSeeds(t, "learnt and shared", paceSetting{pace.Auto, true, digests})
	qt.Check(t, shared.longs.share() > constant.longs.share(), qt.IsTrue)
	qt.Check(t, shared.largest.share() > constant.largest.share(), qt.IsTrue)
	qt.Check(t, shared.longs.share() >= alone.longs.share(), qt.IsTrue)
	qt.Check(t, shared.slow > 0.75 && shared.slow < 1.35, qt.IsTrue)
	qt.Check(t, shared.fast > 0.75 && shared.fast < 1.35, qt.IsTrue)
	qt.Check(t, alone.slow > shared.slow, qt.IsTrue)
}

// Guards against an estimate that does harm where the queues are known late: what others sent lengthens the
// observed times, and must not pass for slow engines.
func TestPaceIsLearntBehindQueuesThatAreKnownLate(t *testing.T) {
	constant := playPaceSeeds(t, "one rate", paceSetting{pace.Off, false, time.Second})
	shared := playPaceSeeds(t, "learnt and shared", paceSetting{pace.Auto, true, time.Second})
	qt.Check(t, shared.longs.share() >= constant.longs.share(), qt.IsTrue)
	qt.Check(t, shared.largest.share() >= constant.largest.share(), qt.IsTrue)
	qt.Check(t, shared.slow < shared.fast*1.35, qt.IsTrue)
}
