package direct

import (
	"context"
	"sync"
	"time"

	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/roster"
	"goldcrestport/transport/backend"
)

// maxDoubts bounds the streams whose evidence is kept: a router of the largest fleet begins some
// hundreds while the processes behind the entries of a few servers are not known.
const maxDoubts = 4096

// doubts keeps the evidence about streams whose origin is doubted and that this router relays or
// relayed, until each is settled, can never be, or is remembered no more.
type doubts struct {
	r  *Router
	mu sync.Mutex
	// open are the doubts by stream.
	open map[origin.ID]*doubt
	// opening are the servers to which a witness is being opened, by their identities.
	opening map[string]bool
}

// doubt is the evidence about one stream.
type doubt struct {
	stream   string
	server   roster.Server
	evidence backend.Evidence
}

func newDoubts(r *Router) *doubts {
	return &doubts{r: r, open: make(map[origin.ID]*doubt), opening: make(map[string]bool)}
}

// add keeps the evidence about a stream whose first event the answer has brought, and a witness of the
// server: what is known of its process outlasts the stream.
func (d *doubts) add(stream string, server roster.Server, answer *backend.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.open) >= maxDoubts {
		d.r.origins.lost(origin.IDOf(stream))
		return
	}
	d.open[origin.IDOf(stream)] = &doubt{stream: stream, server: server, evidence: answer.Evidence()}
	identity := server.Identity()
	if d.opening[identity] || len(d.opening) >= maxVouched {
		return
	}
	d.opening[identity] = true
	go d.keep(server)
}

// keep keeps a witness of the server.
func (d *doubts) keep(server roster.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), sweepInterval)
	defer cancel()
	// What the error says of the server is known by then; the next review tries again.
	_ = d.r.pool.KeepKnown(ctx, backend.Target{ID: server.Identity(), Address: server.Address})
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.opening, server.Identity())
}

// review settles the doubts that have ended, and keeps witnesses for the others.
func (d *doubts) review() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.open) == 0 {
		return
	}
	ids, evidence := make([]origin.ID, 0, len(d.open)), make([]*backend.Evidence, 0, len(d.open))
	for id, one := range d.open {
		known, isKnown := d.r.origins.lookup(id)
		if !isKnown || !known.MayEnd {
			delete(d.open, id)
			continue
		}
		ids, evidence = append(ids, id), append(evidence, &one.evidence)
	}
	for i, finding := range d.r.pool.Review(evidence) {
		d.found(ids[i], finding)
	}
	d.keepAll()
}

// found records what became of the doubt. The caller holds mu.
func (d *doubts) found(id origin.ID, finding backend.Finding) {
	if finding == backend.Open {
		return
	}
	stream := d.open[id].stream
	delete(d.open, id)
	if finding == backend.Settled {
		d.r.origins.settled(id)
	} else {
		d.r.origins.lost(id)
	}
	if allowed, dropped := d.r.streamLines.Allow("stream_doubt_ended", time.Now()); allowed {
		d.r.event("stream_doubt_ended", "stream", stream, "settled", finding == backend.Settled, "left_out", dropped)
	}
}

// keepAll keeps a witness of each server of an open doubt, of maxVouched at most. The caller holds mu.
func (d *doubts) keepAll() {
	for _, one := range d.open {
		if identity := one.server.Identity(); !d.opening[identity] && len(d.opening) < maxVouched {
			d.opening[identity] = true
			go d.keep(one.server)
		}
	}
}
