package direct

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestport/coordination/rotation"
	"goldcrestport/coordination/saturation"
	"goldcrestport/transport/lateness"
)

// load tracks how late this process reads its input.
type load struct {
	// saturated means that the processor has more work than it can do.
	saturated atomic.Bool
	// outOfRotation means that the router is out of the load balancer's rotation.
	outOfRotation atomic.Bool
	// meanLateness is the mean lateness in nanoseconds.
	meanLateness atomic.Int64
	// maxStreams is the maximum number of streams; 0 for no bound.
	maxStreams atomic.Int64
	// gcTarget is the garbage collector's current target. Only the task that measures uses it.
	gcTarget int

	mu sync.Mutex
	// streams is the number of open streams in total, and byTeam that of each team.
	streams int
	byTeam  map[string]int
	// rotation decides, with the neighbours' messages, whether the router is out of rotation.
	rotation *rotation.State
}

// setPeriod sets how often routers send gossip.
func (r *Router) setPeriod(period time.Duration) {
	r.load.mu.Lock()
	r.load.rotation.SetPeriod(period)
	r.load.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admission.SetGossipPeriod(period)
}

// receiveRotation processes the rotation state that a router of the same data centre sent.
func (l *load) receiveRotation(now time.Time, router string, w rotation.Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotation.Receive(now, router, w)
}

// rotationMessage returns the rotation state that this router sends its neighbours. A router that
// is unready for another reason than its load is out of rotation, and does not return in exchange
// for another router.
func (r *Router) rotationMessage(now time.Time) rotation.Status {
	if r.ready() != nil && !r.load.outOfRotation.Load() {
		return rotation.Status{Away: time.Millisecond, Late: true}
	}
	r.load.mu.Lock()
	defer r.load.mu.Unlock()
	return r.load.rotation.Status(now)
}

// updateRotation applies the state of the processor. It reports whether the router left the
// rotation or returned to it.
func (l *load) updateRotation(now time.Time, late, calm bool) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed = l.rotation.Observe(now, late, calm)
	l.outOfRotation.Store(l.rotation.OutOfRotation())
	return changed
}

// acquireStream opens one more stream of the team if the limits allow it.
func (l *load) acquireStream(team string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !saturation.Admits(int(l.maxStreams.Load()), l.streams, l.byTeam[team]) {
		return false
	}
	l.streams++
	if l.byTeam == nil {
		l.byTeam = make(map[string]int)
	}
	l.byTeam[team]++
	return true
}

// releaseStream closes one stream of the team.
func (l *load) releaseStream(team string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams--
	l.byTeam[team]--
	if l.byTeam[team] == 0 {
		delete(l.byTeam, team)
	}
}

// openStreams returns the number of open streams.
func (l *load) openStreams() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams
}

// watchLoad measures the load until ctx ends.
func (r *Router) watchLoad(ctx context.Context) {
	tracker, limit := saturation.New(saturation.DefaultConfig()), saturation.NewLimit(saturation.DefaultLimitConfig())
	err := lateness.Watch(ctx, func(now time.Time, late time.Duration) { r.observeLoad(tracker, limit, now, late) })
	if err != nil {
		r.event("load_unknown", "err", err)
	}
}

// observeLoad applies one measurement.
func (r *Router) observeLoad(tracker *saturation.Tracker, limit *saturation.Limit, now time.Time, late time.Duration) {
	changed := tracker.Observe(late)
	r.load.saturated.Store(tracker.Saturated())
	limit.Adjust(now, tracker.Mean(), r.load.openStreams())
	r.load.meanLateness.Store(int64(tracker.Mean()))
	streams := r.load.openStreams()
	if r.gate.Observe(now, late, streams >= limit.Most()) {
		r.event("intake", "chooses", r.gate.Chooses(), "lateness", tracker.Mean(), "streams", streams, "most", limit.Most())
	}
	r.selfCheck(now, !tracker.OnTime())
	r.load.maxStreams.Store(int64(limit.Most()))
	if growth := saturation.HeapGrowth(r.load.gcTarget, tracker.Mean()); growth != r.load.gcTarget {
		r.load.gcTarget = growth
		debug.SetGCPercent(growth)
	}
	if r.load.updateRotation(now, tracker.Saturated(), tracker.OnTime()) {
		r.event("rotation", "away", r.load.outOfRotation.Load(), "lateness", tracker.Mean())
	}
	if changed {
		r.event("load", "saturated", tracker.Saturated(), "lateness", tracker.Mean(), "streams", r.load.openStreams(), "most", limit.Most(), "held", r.inFlight.Load(), "connections", r.callers.Open(), "shed", r.metrics.shed.Value())
	}
}

// selfCheck lets the admission check whether this router is impaired, by whether it reads late
// and by what it receives.
func (r *Router) selfCheck(now time.Time, late bool) {
	r.mu.Lock()
	r.admission.SetLate(late)
	signs, changed := r.admission.SelfCheck(now)
	impaired := r.admission.Impaired()
	r.mu.Unlock()
	if changed {
		r.event("self_check", "impaired", impaired, "late", signs.Late, "deaf", signs.ReceivesNothing, "cut", signs.Partitioned)
	}
}

// gatherPerLate is how long events are gathered for each unit of the mean lateness: a router
// under low load relays them at once.
const gatherPerLate = 12

// gatherDelayShare is the share of the allowed event delay for which an event may be gathered; the
// rest covers the network and the router's lateness.
const gatherDelayShare = 0.6

// gatherTime is how long events of a stream are currently gathered.
func (r *Router) gatherTime() time.Duration {
	late := time.Duration(r.load.meanLateness.Load())
	return min(gatherPerLate*late, time.Duration(gatherDelayShare*float64(r.set.EventDelay.D())))
}
