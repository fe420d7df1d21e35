package router

import (
	"context"
	"time"

	"goldcrestport/coordination/dispatch"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/config"
	"goldcrestport/transport/duty"
)

// Capacities of the channels between goroutines.
const (
	eventQueueSize   = 4096
	controlQueueSize = 1024
)

// tickEvery is the interval at which the core checks deadlines.
const tickEvery = 20 * time.Millisecond

// publishEvery is the interval at which metrics are published and the
// configuration is checked for changed shares.
const publishEvery = 250 * time.Millisecond

// decision is a message from the dispatcher to a request's handler: either to
// send an attempt, or that the request is refused.
type decision struct {
	send *dispatch.Send
	addr string
	// incarnation is that of the sidecar the attempt is addressed to.
	incarnation string
	refuse      *dispatch.Refuse
}

// message is sent by other goroutines to the dispatcher.
type message struct {
	event dispatch.Event
	call  *call
	link  *sidecarLink
	// heartbeat is sent to every linked sidecar.
	heartbeat *wire.RouterBeat
	// snapshot receives the core's state; it must have capacity for one.
	snapshot chan<- dispatch.Snapshot
}

// dispatcher owns the dispatch core; only its goroutine uses the core.
type dispatcher struct {
	core     *dispatch.State
	messages chan message
	calls    map[string]*call
	links    map[string]*sidecarLink
	// doc returns the configuration in force, or nil if there is none yet.
	doc         func() *config.Document
	appliedDoc  *config.Document
	publishedAt time.Time
	vars        *dispatchVars
}

func newDispatcher(core *dispatch.State, doc func() *config.Document, vars *dispatchVars) *dispatcher {
	return &dispatcher{
		core:     core,
		doc:      doc,
		vars:     vars,
		messages: make(chan message, eventQueueSize),
		calls:    map[string]*call{},
		links:    map[string]*sidecarLink{},
	}
}

// post sends a message to the dispatcher and blocks while its channel is full.
func (d *dispatcher) post(ctx context.Context, m message) {
	duty.Post(ctx, d.messages, m)
}

// run handles messages and ticks until ctx ends.
func (d *dispatcher) run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.messages:
			d.handle(m)
		case <-ticker.C:
			d.step(dispatch.Ticked{})
			d.publish(time.Now())
		}
	}
}

// publish passes changed shares to the core and publishes its metrics.
func (d *dispatcher) publish(now time.Time) {
	if now.Sub(d.publishedAt) < publishEvery {
		return
	}
	d.publishedAt = now
	if doc := d.doc(); doc != nil && doc != d.appliedDoc {
		d.appliedDoc = doc
		shares := make(map[string]float64, len(doc.Teams))
		for name, team := range doc.Teams {
			shares[name] = team.Share
		}
		d.step(dispatch.SharesSet{Shares: shares})
	}
	d.vars.set(d.core.WaitingByTeam(), d.core.Stats())
}

func (d *dispatcher) handle(m message) {
	if m.heartbeat != nil {
		for _, l := range d.links {
			l.send(&wire.ControlUp{Beat: m.heartbeat})
		}
		return
	}
	if m.snapshot != nil {
		m.snapshot <- d.core.Snapshot(time.Now())
		return
	}
	switch ev := m.event.(type) {
	case dispatch.Arrived:
		d.calls[ev.Request.ID] = m.call
	case dispatch.Ended:
		delete(d.calls, ev.ID)
	case dispatch.Cancelled:
		if c := d.calls[ev.ID]; c != nil {
			ev.Pull = c.unstartedPull()
			m.event = ev
		}
		delete(d.calls, ev.ID)
	case dispatch.SidecarUp:
		d.links[ev.Sidecar] = m.link
	case dispatch.SidecarDown:
		if d.links[ev.Sidecar] != m.link {
			return
		}
		delete(d.links, ev.Sidecar)
	}
	d.step(m.event)
}

func (d *dispatcher) step(ev dispatch.Event) {
	for _, a := range d.core.Step(time.Now(), ev) {
		switch a := a.(type) {
		case dispatch.Send:
			d.send(a)
		case dispatch.Refuse:
			d.refuse(a)
		case dispatch.Register:
			d.control(a.Sidecar, &wire.ControlUp{Interests: []*wire.Interest{{
				Team:     a.Team,
				Count:    uint32(a.Count),
				OldestMs: a.Oldest.Milliseconds(),
				Spread:   uint32(a.Spread),
			}}})
		case dispatch.Empty:
			d.control(a.Sidecar, &wire.ControlUp{Empties: []*wire.PullEmpty{{Pull: a.Pull}}})
		}
	}
}

func (d *dispatcher) send(a dispatch.Send) {
	c, l := d.calls[a.ID], d.links[a.Sidecar]
	if c == nil || l == nil {
		return
	}
	c.decisions <- decision{send: &a, addr: l.addr, incarnation: l.incarnation}
}

func (d *dispatcher) refuse(a dispatch.Refuse) {
	if c := d.calls[a.ID]; c != nil {
		delete(d.calls, a.ID)
		c.decisions <- decision{refuse: &a}
	}
}

func (d *dispatcher) control(sidecar string, m *wire.ControlUp) {
	if l := d.links[sidecar]; l != nil {
		l.send(m)
	}
}
