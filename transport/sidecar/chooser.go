package sidecar

import (
	"context"
	"time"

	"goldcrestport/coordination/report"
	"goldcrestport/coordination/share"
	"goldcrestport/protocol/wire"
	"goldcrestport/transport/duty"
)

// Bounds of the rings between duties.
const (
	eventRing   = 1024
	controlRing = 256
)

// tickEvery is the period in which running costs are charged.
const tickEvery = 20 * time.Millisecond

// showEvery is the period in which the metrics are set.
const showEvery = 100 * time.Millisecond

// verdict is the answer to an offered attempt.
type verdict int

const (
	verdictStart verdict = iota + 1
	verdictDecline
)

// message is what other duties hand to the chooser: an event of the core, or
// a change of the chooser's own tables.
type message struct {
	event   share.Event
	attempt *attempt
	joined  *router
	parted  *router
	// query reads the core between two events.
	query func(*share.State)
	// announce tells every router the room and revision at once.
	announce bool
}

// chooser is the duty that owns the share core.
type chooser struct {
	core     *share.State
	messages chan message
	attempts map[uint64]*attempt
	routers  map[string]*router
	revision revisionHolder
	address  string
	// ordersLeft tells the orders to the engine that are left to give.
	ordersLeft func() int
	// reports decides which routers hear of the room last handed to it.
	reports *report.State
	room    share.Report
	// lastShown is when the metrics were last set.
	lastShown time.Time
	// show sets the metrics.
	show func(*share.State)
	// recent prefixes that were started here.
	recent recent
	// ejected tells that the backend server fails.
	ejected func() bool
}

// revisionHolder tells which configuration is in force, and how long ago it
// was known to be the newest.
type revisionHolder interface {
	Revision() uint64
	Age() time.Duration
}

func newChooser(core *share.State, revision revisionHolder, address string) *chooser {
	return &chooser{
		core:     core,
		messages: make(chan message, eventRing),
		attempts: map[uint64]*attempt{},
		routers:  map[string]*router{},
		revision: revision,
		address:  address,
		ejected:  func() bool { return false },
		reports:  report.New(report.DefaultConfig()),
		room:     core.Capacity(),
		show:     func(*share.State) {},
	}
}

// post hands a message to the duty, waiting while its ring is full.
func (c *chooser) post(ctx context.Context, m message) {
	duty.Post(ctx, c.messages, m)
}

// ask runs a query of the core in the duty and reports whether it was run.
func (c *chooser) ask(ctx context.Context, query func(*share.State)) bool {
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

// run is the duty's loop.
func (c *chooser) run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
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

func (c *chooser) handle(m message) {
	switch {
	case m.announce:
		c.inform(report.Announced{})
		return
	case m.query != nil:
		m.query(c.core)
		return
	case m.attempt != nil:
		c.attempts[m.attempt.key] = m.attempt
	case m.joined != nil:
		c.routers[m.joined.id] = m.joined
		c.inform(report.Connected{Router: m.joined.id})
		return
	case m.parted != nil:
		if c.routers[m.parted.id] != m.parted {
			return
		}
		delete(c.routers, m.parted.id)
		c.inform(report.Disconnected{Router: m.parted.id})
	}
	c.step(m.event)
	if e, ok := m.event.(share.Ended); ok {
		delete(c.attempts, e.Attempt)
	}
}

func (c *chooser) tick() {
	for key, a := range c.attempts {
		if cost := a.meter.cost(); cost > 0 {
			c.step(share.Progressed{Attempt: key, Cost: cost})
		}
	}
	c.step(share.Ticked{})
	if now := time.Now(); now.Sub(c.lastShown) >= showEvery {
		c.lastShown = now
		c.show(c.core)
	}
	c.broadcast(c.core.Capacity())
}

func (c *chooser) step(ev share.Event) {
	var failed []uint64
	for _, a := range c.core.Step(time.Now(), ev) {
		switch a := a.(type) {
		case share.Start:
			if started := c.attempts[a.Attempt]; started != nil {
				c.recent.add(started.prefix)
			}
			c.tell(a.Attempt, verdictStart)
		case share.Decline:
			c.tell(a.Attempt, verdictDecline)
			delete(c.attempts, a.Attempt)
		case share.Pull:
			if !c.pull(a) {
				failed = append(failed, a.ID)
			}
		case share.Report:
			c.broadcast(a)
		}
	}
	for _, id := range failed {
		c.step(share.PullFailed{Pull: id})
	}
}

func (c *chooser) tell(key uint64, v verdict) {
	if a := c.attempts[key]; a != nil {
		a.verdict <- v
	}
}

func (c *chooser) pull(p share.Pull) bool {
	r := c.routers[p.Router]
	if r == nil {
		return false
	}
	return r.send(&wire.ControlDown{Pulls: []*wire.Pull{{Pull: p.ID, Team: p.Team, Prefixes: c.recent.names()}}})
}

func (c *chooser) load(room share.Report) *wire.Load {
	return &wire.Load{
		Slots:       int32(room.Slots),
		Free:        int32(room.Free),
		Leaving:     room.Draining,
		Waiting:     int32(room.Waiting),
		Ejected:     c.ejected(),
		Revision:    c.revision.Revision(),
		Address:     c.address,
		ConfigAgeMs: c.revision.Age().Milliseconds(),
		OrdersLeft:  int32(c.ordersLeft()),
	}
}

// router is one connected router as the chooser sees it.
type router struct {
	id  string
	out chan *wire.ControlDown
	// full is closed when the ring overflowed: the stream must end.
	full   chan struct{}
	closed bool
}

func newRouter(id string) *router {
	return &router{
		id:   id,
		out:  make(chan *wire.ControlDown, controlRing),
		full: make(chan struct{}),
	}
}

// send queues a message or, when the ring is full, gives the stream up. It is
// called by the chooser only.
func (r *router) send(m *wire.ControlDown) bool {
	select {
	case r.out <- m:
		return true
	default:
	}
	if !r.closed {
		r.closed = true
		close(r.full)
	}
	return false
}
