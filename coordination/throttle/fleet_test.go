package throttle

import (
	"fmt"
	"math/rand/v2"
	"time"

	"goldcrestport/coordination/fairshare"
)

// A model of a fleet in virtual time. Routers count what teams request and start there and
// report it to the others, which receive it after a delay. Backend servers process a
// number of tokens per second and share one queue. Teams send their usual load, and two
// flood: one through all routers, one through a few, which can pass on a limited rate
// only. Refused clients retry once.

// Parameters of the model.
const (
	modelStep          = 10 * time.Millisecond
	modelWindow        = 4 * time.Second
	modelReportPeriod  = 250 * time.Millisecond
	modelMessageRate   = 200 // messages per second that a router sends
	modelWarmUp        = 5 * time.Second
	modelFloodTime     = 16 * time.Second
	modelMovePeriod    = 4 * time.Second // period after which a narrow flood arrives at other routers
	modelRetryFraction = 0.8             // fraction of the refused clients that retry
	modelUsualLoad     = 0.3             // load of the usual teams, as a fraction of the configured capacity
	modelRouterRate    = 60_000.0
	modelUsualTeams    = 10 // number of usual teams
)

// scenario holds what varies between runs of the model.
type scenario struct {
	routers int
	// delay is the age of another router's report when it is received.
	delay time.Duration
	// real is the real capacity of the backend servers as a fraction of the configured
	// one.
	real float64
	// wide and narrow are the loads of the two floods, and delivers is the rate that the
	// routers of the narrow one can pass on, as fractions of the configured capacity; 0 if
	// it arrives at all routers. The narrow flood starts later by lag, or the wide one
	// later by lead.
	wide, narrow, delivers float64
	lag, lead              time.Duration
	seed                   uint64
}

func (s scenario) String() string {
	return fmt.Sprintf("%d routers, %v, real %.1f, lag %v, lead %v, seed %d", s.routers, s.delay, s.real, s.lag, s.lead, s.seed)
}

// workload is what a team's clients send.
type workload struct {
	team    string
	id      fairshare.TeamID
	rate    float64 // tokens per second
	weights []float64
	// delivers limits what its routers pass on, in tokens per second; 0 for no limit.
	delivers, budget   float64
	from               time.Duration
	backlog            float64
	sentPerSecond      []float64
	requestedPerSecond []float64
}

// router is one router of the fleet.
type router struct {
	id         string
	meter      *fairshare.Meter
	limiter    limiter
	nextReport time.Duration
}

// limiter is the part in which the designs differ.
type limiter interface {
	// admits reports whether a request of the team may be sent. If not, after is when to
	// retry.
	admits(now time.Time, team fairshare.TeamID) (ok bool, after time.Duration)
	recordRequest(now time.Time, team fairshare.TeamID, tokens float64)
	recordSent(now time.Time, team fairshare.TeamID, tokens float64)
}

// usageReport is a report in transit from a router.
type usageReport struct {
	from string
	at   time.Duration
	use  map[fairshare.TeamID]fairshare.Use
}

// retry is a refused client's second attempt.
type retry struct {
	at       time.Duration
	workload *workload
	tokens   float64
}

type fleet struct {
	scenario   scenario
	rand       *rand.Rand
	now        time.Duration
	configured float64
	queue      float64
	routers    []*router
	workloads  []*workload
	reports    []usageReport
	retries    []retry
	period     time.Duration
	refused    int
	messages   int
}

func newFleet(s scenario, design func(*router) limiter) *fleet {
	f := &fleet{scenario: s, rand: rand.New(rand.NewPCG(s.seed, 7)), configured: modelRouterRate * float64(s.routers)}
	f.period = max(modelReportPeriod, time.Duration(s.routers-1)*time.Second/modelMessageRate)
	for i := range s.routers {
		r := &router{id: fmt.Sprint("r-", i), meter: fairshare.NewMeter(modelWindow), nextReport: time.Duration(f.rand.Int64N(int64(f.period)))}
		r.limiter = design(r)
		f.routers = append(f.routers, r)
	}
	for i := range modelUsualTeams {
		f.add(&workload{team: fmt.Sprint("usual-", i), rate: modelUsualLoad * f.configured / modelUsualTeams}, s.routers)
	}
	f.add(&workload{team: "wide", rate: s.wide * f.configured, from: modelWarmUp + s.lead}, s.routers)
	count := s.routers
	if s.delivers > 0 {
		count = max(s.routers/15, 1)
	}
	f.add(&workload{team: "narrow", rate: s.narrow * f.configured, delivers: s.delivers * f.configured, from: modelWarmUp + s.lag}, count)
	return f
}

// add spreads a workload over the first routers, unevenly.
func (f *fleet) add(load *workload, count int) {
	load.id = fairshare.IDOf(load.team)
	load.weights = make([]float64, len(f.routers))
	sum := 0.0
	for i := range count {
		load.weights[i] = 0.2 + f.rand.Float64()
		sum += load.weights[i]
	}
	for i := range load.weights {
		load.weights[i] /= sum
	}
	f.workloads = append(f.workloads, load)
}

// move sends a workload to the next routers, as when its present ones have left the
// rotation.
func (f *fleet) move(load *workload) {
	n := len(load.weights)
	count := max(n/15, 1)
	load.weights = append(load.weights[n-count:], load.weights[:n-count]...)
}

func (f *fleet) clock() time.Time { return time.Unix(1000, 0).Add(f.now) }

// size draws the size of a request; few are large.
func (f *fleet) size() float64 {
	base := 1400.0
	switch p := f.rand.Float64(); {
	case p < 0.15:
		base = 12000
	case p < 0.4:
		base = 2400
	}
	return base * (0.5 + f.rand.Float64())
}

// meanSize is the mean of size.
const meanSize = 0.15*12000 + 0.25*2400 + 0.6*1400

func (f *fleet) run() {
	for ; f.now < modelWarmUp+modelFloodTime; f.now += modelStep {
		f.queue = max(f.queue-f.scenario.real*f.configured*modelStep.Seconds(), 0)
		f.receiveReports()
		for _, load := range f.workloads {
			f.arrive(load)
		}
		f.retryDue()
		f.sendReports()
	}
}

func (f *fleet) arrive(load *workload) {
	if f.now < load.from {
		return
	}
	if load.delivers > 0 && f.now%modelMovePeriod == 0 {
		f.move(load)
	}
	load.budget = min(load.budget+load.delivers*modelStep.Seconds(), load.delivers/10)
	for load.backlog += load.rate * modelStep.Seconds() / meanSize * (0.5 + f.rand.Float64()); load.backlog >= 1; load.backlog-- {
		f.attempt(load, f.size(), false)
	}
}

// pick chooses a router as a load balancer does.
func (f *fleet) pick(load *workload) *router {
	at := f.rand.Float64()
	for i, w := range load.weights {
		if at -= w; at < 0 {
			return f.routers[i]
		}
	}
	return f.routers[0]
}

func (f *fleet) attempt(load *workload, tokens float64, isRetry bool) {
	r, now := f.pick(load), f.clock()
	r.meter.Ask(now, load.id, tokens)
	r.limiter.recordRequest(now, load.id, tokens)
	addToSecond(&load.requestedPerSecond, f.now, tokens)
	standing := r.meter.Standing(now, load.id, f.configured*modelWindow.Seconds())
	ok, after := true, 50*time.Millisecond
	switch {
	case load.delivers > 0 && load.budget < 0:
		ok = false
	case f.queue/(f.scenario.real*f.configured) > maxWait(standing)*servedFactor(standing, r.meter.ServedStanding(load.id)):
		ok = false
	default:
		if ok, after = r.limiter.admits(now, load.id); !ok {
			r.meter.Throttled(now, load.id, tokens)
		}
	}
	if !ok {
		f.refused++
		if !isRetry && f.rand.Float64() < modelRetryFraction {
			f.retries = append(f.retries, retry{f.now + after, load, tokens})
		}
		return
	}
	load.budget -= tokens
	r.meter.RecordStart(now, load.id, tokens)
	r.limiter.recordSent(now, load.id, tokens)
	f.queue += tokens
	addToSecond(&load.sentPerSecond, f.now, tokens)
}

// maxWait returns the wait limit for admission in seconds.
func maxWait(standing float64) float64 {
	const base, belowFactor, beyondFactor = 0.18, 1.5, 0.2
	switch {
	case standing >= 1.3:
		return base * beyondFactor * 1.3 / standing
	case standing > 0.7:
		return base * (belowFactor + (standing-0.7)/0.6*(beyondFactor-belowFactor))
	default:
		return base * belowFactor
	}
}

// servedFactor returns the factor of the wait limit that evens out what teams are served
// when backend servers are full below the configured capacity.
func servedFactor(standing, served float64) float64 {
	if standing > 1 || served <= 1 {
		return 1
	}
	return max(1/(served*served), 0.4)
}

func addToSecond(to *[]float64, now time.Duration, tokens float64) {
	second := int(now / time.Second)
	for len(*to) <= second {
		*to = append(*to, 0)
	}
	(*to)[second] += tokens
}

func (f *fleet) retryDue() {
	later := f.retries[:0]
	due := []retry{}
	for _, a := range f.retries {
		if a.at <= f.now {
			due = append(due, a)
		} else {
			later = append(later, a)
		}
	}
	f.retries = later
	for _, a := range due {
		f.attempt(a.workload, a.tokens, true)
	}
}

func (f *fleet) sendReports() {
	for _, r := range f.routers {
		if f.now >= r.nextReport {
			r.nextReport += f.period
			f.reports = append(f.reports, usageReport{r.id, f.now + f.scenario.delay, r.meter.Own(f.clock())})
			f.messages += len(f.routers) - 1
		}
	}
}

func (f *fleet) receiveReports() {
	for len(f.reports) > 0 && f.reports[0].at <= f.now {
		w := f.reports[0]
		f.reports = f.reports[1:]
		for _, r := range f.routers {
			if r.id != w.from {
				r.meter.SetPeerUse(f.clock(), w.from, w.use)
			}
		}
	}
}
