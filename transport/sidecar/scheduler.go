package sidecar

import (
	"context"
	"time"

	"goldcrestport/coordination/report"
	"goldcrestport/coordination/share"
	"goldcrestport/protocol/wire"
	"goldcrestport/transport/duty"
)

// Capacities of the queues between event loops.
const (
	eventQueueSize   = 1024
	controlQueueSize = 256
)

// tickInterval is the interval at which the cost of running attempts is charged.
const tickInterval = 20 * time.Millisecond

// metricsInterval is the interval at which the metrics are updated.
const metricsInterval = 100 * time.Millisecond

// decision is the scheduler's response to an offered attempt.
type decision int

const (
	decisionStart decision = iota + 1
	decisionDecline
)

// message is sent to the scheduler by other event loops: an event for the
// core, a change of the scheduler's own tables, or both.
type message struct {
	event        share.Event
	attempt      *attempt
	connected    *router
	disconnected *router
	// query reads the core between two events.
	query func(*share.State)
	// reportNow sends the capacity and the revision to every router immediately.
	reportNow bool
}

// scheduler is the event loop that owns the fair-share core.
type scheduler struct {
	core     *share.State
	messages chan message
	attempts map[uint64]*attempt
	routers  map[string]*router
	revision revisionSource
	address  string
	// ordersRemaining returns the number of orders not yet carried out by the engine.
	ordersRemaining func() int
	// reports decides which routers receive the current capacity, and when.
	reports  *report.State
	capacity share.Report
	// lastPublished is when the metrics were last updated.
	lastPublished time.Time
	// publish updates the metrics.
	publish func(*share.State)
	// recent holds the prompt prefixes of recently started attempts.
	recent prefixHistory
	// ejected reports whether the backend server is ejected as failing.
	ejected func() bool
}

// revisionSource returns the configuration revision in effect and its
// staleness: how long ago it was confirmed as current.
type revisionSource interface {
	Revision() uint64
	Age() time.Duration
}

func newScheduler(core *share.State, revision revisionSource, address string) *scheduler {
	return &scheduler{
		core:     core,
		messages: make(chan message, eventQueueSize),
		attempts: map[uint64]*attempt{},
		routers:  map[string]*router{},
		revision: revision,
		address:  address,
		ejected:  func() bool { return false },
		reports:  report.New(report.DefaultConfig()),
		capacity: core.Capacity(),
		publish:  func(*share.State) {},
	}
}

// post sends a message to the event loop, blocking while its queue is full.
func (c *scheduler) post(ctx context.Context, m message) {
	duty.Post(ctx, c.messages, m)
}

// runQuery runs a query of the core in the event loop and reports whether it
// was run.
func (c *scheduler) runQuery(ctx context.Context, query func(*share.State)) bool {
	done := make(chan struct{})
	c.post(ctx, message{query: func(core *share.State) {
		query(core)
		close(done)
	}})
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// run processes messages and ticks until ctx ends.
func (c *scheduler) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.messages:
			c.handle(m)
		case <-ticker.C:
			c.tick()
		}
	}
}

func (c *scheduler) handle(m message) {
	switch {
	case m.reportNow:
		c.sendReports(report.Announced{})
		return
	case m.query != nil:
		m.query(c.core)
		return
	case m.attempt != nil:
		c.attempts[m.attempt.key] = m.attempt
	case m.connected != nil:
		c.routers[m.connected.id] = m.connected
		c.sendReports(report.Connected{Router: m.connected.id})
		return
	case m.disconnected != nil:
		if c.routers[m.disconnected.id] != m.disconnected {
			return
		}
		delete(c.routers, m.disconnected.id)
		c.sendReports(report.Disconnected{Router: m.disconnected.id})
	}
	c.step(m.event)
	if e, ok := m.event.(share.Ended); ok {
		delete(c.attempts, e.Attempt)
	}
}

func (c *scheduler) tick() {
	for key, a := range c.attempts {
		if cost := a.meter.cost(); cost > 0 {
			c.step(share.Progressed{Attempt: key, Cost: cost})
		}
	}
	c.step(share.Ticked{})
	if now := time.Now(); now.Sub(c.lastPublished) >= metricsInterval {
		c.lastPublished = now
		c.publish(c.core)
	}
	c.updateCapacity(c.core.Capacity())
}

func (c *scheduler) step(ev share.Event) {
	var failed []uint64
	for _, a := range c.core.Step(time.Now(), ev) {
		switch a := a.(type) {
		case share.Start:
			if started := c.attempts[a.Attempt]; started != nil {
				c.recent.add(started.prefix)
			}
			c.sendDecision(a.Attempt, decisionStart)
		case share.Decline:
			c.sendDecision(a.Attempt, decisionDecline)
			delete(c.attempts, a.Attempt)
		case share.Pull:
			if !c.pull(a) {
				failed = append(failed, a.ID)
			}
		case share.Report:
			c.updateCapacity(a)
		}
	}
	for _, id := range failed {
		c.step(share.PullFailed{Pull: id})
	}
}

func (c *scheduler) sendDecision(key uint64, v decision) {
	if a := c.attempts[key]; a != nil {
		a.decision <- v
	}
}

func (c *scheduler) pull(p share.Pull) bool {
	r := c.routers[p.Router]
	if r == nil {
		return false
	}
	return r.send(&wire.ControlDown{Pulls: []*wire.Pull{{Pull: p.ID, Team: p.Team, Prefixes: c.recent.list()}}})
}

func (c *scheduler) loadMessage(capacity share.Report) *wire.Load {
	return &wire.Load{
		Slots:       int32(capacity.Slots),
		Free:        int32(capacity.Free),
		Leaving:     capacity.Draining,
		Waiting:     int32(capacity.Waiting),
		Ejected:     c.ejected(),
		Revision:    c.revision.Revision(),
		Address:     c.address,
		ConfigAgeMs: c.revision.Age().Milliseconds(),
		OrdersLeft:  int32(c.ordersRemaining()),
	}
}

// router is the scheduler's view of one connected router.
type router struct {
	id    string
	queue chan *wire.ControlDown
	// overflowed is closed when the queue has overflowed: the stream must end.
	overflowed chan struct{}
	closed     bool
}

func newRouter(id string) *router {
	return &router{
		id:         id,
		queue:      make(chan *wire.ControlDown, controlQueueSize),
		overflowed: make(chan struct{}),
	}
}

// send queues a message. If the queue is full, it marks the stream for closing
// and returns false. It is called by the scheduler only.
func (r *router) send(m *wire.ControlDown) bool {
	select {
	case r.queue <- m:
		return true
	default:
	}
	if !r.closed {
		r.closed = true
		close(r.overflowed)
	}
	return false
}
