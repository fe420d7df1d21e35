package resumed

import (
	"math"
	"slices"
	"time"

	"goldcrestport/coordination/vouching"
)

// never is later than any time.
const never = time.Duration(math.MaxInt64)

// Times of connections, as the product has them.
const (
	minWitnessLife, maxWitnessLife = 300 * time.Millisecond, 30 * time.Second
	dialTime                       = 2 * time.Millisecond
)

// conn is a connection of a router to a process.
type conn struct {
	peer            *peer
	process         *server
	openedAt, since time.Duration
	idleSince       time.Duration
	generation      int
	busy, isWitness bool
	// ended means that the server ended it, closed that the router did.
	ended, closed bool
}

// peer is what a router knows of the process behind the entry of one server.
type peer struct {
	r          *router
	entry      vouching.Entry
	generation int
	conns      []*conn
	// Witnesses are connections without requests; witnessLimit bounds the interval between two.
	oldest, newest *conn
	witnessLimit   time.Duration
	keeps          bool
}

// peerOf returns what is known of the server, by its identity.
func (r *router) peerOf(identity string) *peer {
	one := r.peers[identity]
	if one == nil {
		one = &peer{r: r}
		r.peers[identity] = one
	}
	return one
}

// entered records that the server's entry is new.
func (p *peer) entered() {
	p.entry = vouching.Entry{SeenAt: p.r.w.now}
	p.generation++
}

// known returns the entry with the confirmations of this router.
func (p *peer) known() vouching.Entry {
	e := p.entry
	e.ConfirmedAt, e.ResumedAt = p.r.confirmations.ConfirmedAt, p.r.confirmations.ResumedAt
	return e
}

// openSince returns since when the process is known to which connections are open, other than one.
func (p *peer) openSince(except *conn) time.Duration {
	since := never
	for _, c := range p.conns {
		if c != except && !c.ended && !c.closed && c.generation == p.generation {
			since = min(since, c.since)
		}
	}
	return since
}

// knownSince is openSince, and notices the end of the process if none is open.
func (p *peer) knownSince() time.Duration {
	since := p.openSince(nil)
	if since == never {
		for _, c := range p.conns {
			if c.ended && !c.closed {
				p.endSeen(c)
			}
		}
	}
	return since
}

// endSeen records that the server ended the connection, which was to stay open.
func (p *peer) endSeen(c *conn) {
	if p.openSince(c) > c.since {
		p.entry = p.entry.EndSeen(c.since)
	}
}

// offers reports whether a connection of the trust is likely.
func (p *peer) offers(need trust) bool {
	if need == anyProcess {
		return true
	}
	since := min(p.knownSince(), p.r.w.now)
	if vouches.Vouches(p.known(), since) {
		return true
	}
	return need == noSuspect && !vouches.IsSuspect(p.known())
}

// vouches is the product's choice.
var vouches = vouching.DefaultConfig()

// trust is what a request needs to know of the process that gets it.
type trust int

const (
	anyProcess trust = iota
	noSuspect
	vouchedFor
)

func (c *conn) isVouched() bool {
	return c.generation == c.peer.generation && vouches.Vouches(c.peer.known(), c.since)
}

// allows reports whether the connection may carry a request that needs the trust.
func (c *conn) allows(need trust) bool {
	switch need {
	case anyProcess:
		return true
	case noSuspect:
		return c.isVouched() || !vouches.IsSuspect(c.peer.known())
	default:
		return c.isVouched()
	}
}

// dial opens a connection to the process, nil if it refuses.
func (p *peer) dial(process *server) *conn {
	if process.gone {
		p.entry = p.entry.DeathSeen(p.r.w.now)
		return nil
	}
	c := &conn{peer: p, process: process, openedAt: p.r.w.now, since: min(p.r.w.now, p.knownSince()), generation: p.generation}
	p.conns = append(p.conns, c)
	c.watchIdle()
	return c
}

// take returns a connection for a request, an idle one if there is one; nil if the process refuses, or
// none is trusted.
func (p *peer) take(process *server, need trust) *conn {
	for i := len(p.conns) - 1; i >= 0; i-- {
		c := p.conns[i]
		if c.busy || c.isWitness || c.closed {
			continue
		}
		if c.ended {
			p.endSeen(c)
			c.close()
			continue
		}
		if c.allows(need) {
			c.busy = true
			return c
		}
	}
	c := p.dial(process)
	if c == nil || !c.allows(need) {
		return nil
	}
	c.busy = true
	return c
}

// free ends the use of a connection by a request.
func (c *conn) free(keep bool) {
	c.busy = false
	if c.closed {
		return
	}
	if !keep {
		c.close()
		return
	}
	c.watchIdle()
}

// close closes the connection and forgets it.
func (c *conn) close() {
	c.closed = true
	c.peer.conns = slices.DeleteFunc(c.peer.conns, func(one *conn) bool { return one == c })
}

// watchIdle lets the server end the connection when it has been idle for long enough.
func (c *conn) watchIdle() {
	w := c.peer.r.w
	since := w.now
	c.idleSince = since
	w.after(c.process.idleLimit, func() {
		if !c.busy && c.idleSince == since {
			c.ended = true
		}
	})
}

// forget closes the connections without requests, as the server may get none any more.
func (p *peer) forget() {
	for _, c := range slices.Clone(p.conns) {
		if !c.busy {
			c.close()
		}
	}
	p.oldest, p.newest, p.keeps = nil, nil, false
}

// endConnections ends all connections to a process that has ended.
func (w *world) endConnections(s *server) {
	for _, r := range w.routers {
		for _, c := range r.peerOf(s.entry.Identity()).conns {
			c.ended = true
		}
	}
}

// keepVouched keeps witnesses to the server, as the product does while versions are mixed.
func (p *peer) keepVouched(process *server) {
	if !p.keeps {
		p.keeps = true
		if !vouches.IsSuspect(p.known()) {
			p.entry = vouching.Entry{SeenAt: p.r.w.now}
		}
	}
	for _, c := range []*conn{p.oldest, p.newest} {
		if c != nil && c.ended && !c.closed {
			p.witnessEnded(c)
		}
	}
	if !p.needsWitness() {
		return
	}
	if c := p.dial(process); c != nil {
		c.isWitness = true
		p.addWitness(c)
	}
}

// witnessEnded drops a witness that the server ended.
func (p *peer) witnessEnded(c *conn) {
	p.endSeen(c)
	if limit := (p.r.w.now - c.openedAt) / 2; p.witnessLimit == 0 || limit < p.witnessLimit {
		p.witnessLimit = limit
	}
	switch {
	case p.oldest == c && p.newest == c:
		p.oldest, p.newest = nil, nil
	case p.oldest == c:
		p.oldest = p.newest
	default:
		p.newest = p.oldest
	}
	c.close()
}

func (p *peer) needsWitness() bool {
	if p.newest == nil {
		return true
	}
	interval := min((p.r.w.now-p.oldest.openedAt)/2, maxWitnessLife)
	if p.witnessLimit > 0 {
		interval = min(interval, p.witnessLimit)
	}
	return p.r.w.now-p.newest.openedAt >= max(interval, minWitnessLife)
}

func (p *peer) addWitness(c *conn) {
	former := p.newest
	p.newest = c
	if p.oldest == nil {
		p.oldest = c
	}
	if former != nil && former != p.oldest {
		former.close()
	}
}
