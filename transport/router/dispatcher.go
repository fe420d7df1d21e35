package router

import (
	"context"
	"time"

	"goldcrestport/coordination/dispatch"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/config"
	"goldcrestport/transport/duty"
)

// Bounds of the rings between duties.
const (
	eventRing   = 4096
	controlRing = 1024
)

// tickEvery is the period in which deadlines are looked at.
const tickEvery = 20 * time.Millisecond

// publishEvery is the period of the metrics' snapshots and of the look for
// changed shares.
const publishEvery = 250 * time.Millisecond

// decision is what the dispatcher tells a request's handler: to send an
// attempt, or that the request is refused.
type decision struct {
	send *dispatch.Send
	addr string
	// incarnation of the sidecar that the attempt is meant for.
	incarnation string
	refuse      *dispatch.Refuse
}

// message is what other duties hand to the dispatcher.
type message struct {
	event dispatch.Event
	call  *call
	link  *sidecarLink
	// beat goes to every linked sidecar.
	beat *wire.RouterBeat
	// snapshot asks for the state; it has room for one.
	snapshot chan<- dispatch.Snapshot
}

// dispatcher is the duty that owns the dispatch core.
type dispatcher struct {
	core     *dispatch.State
	messages chan message
	calls    map[string]*call
	links    map[string]*sidecarLink
	// doc returns the configuration in force, or nil.
	doc       func() *config.Document
	seen      *config.Document
	published time.Time
	vars      *dispatchVars
}

func newDispatcher(core *dispatch.State, doc func() *config.Document, vars *dispatchVars) *dispatcher {
	return &dispatcher{
		core:     core,
		doc:      doc,
		vars:     vars,
		messages: make(chan message, eventRing),
		calls:    map[string]*call{},
		links:    map[string]*sidecarLink{},
	}
}

// post hands a message to the duty, waiting while its ring is full.
func (d *dispatcher) post(ctx context.Context, m message) {
	duty.Post(ctx, d.messages, m)
}

// run is the duty's loop.
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

// publish hands changed shares to the core and shows its metrics.
func (d *dispatcher) publish(now time.Time) {
	if now.Sub(d.published) < publishEvery {
		return
	}
	d.published = now
	if doc := d.doc(); doc != nil && doc != d.seen {
		d.seen = doc
		shares := make(map[string]float64, len(doc.Teams))
		for name, team := range doc.Teams {
			shares[name] = team.Share
		}
		d.step(dispatch.SharesSet{Shares: shares})
	}
	d.vars.set(d.core.WaitingByTeam(), d.core.Stats())
}

func (d *dispatcher) handle(m message) {
	if m.beat != nil {
		for _, l := range d.links {
			l.send(&wire.ControlUp{Beat: m.beat})
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
			ev.Pull = c.unstarted()
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
