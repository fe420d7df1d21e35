package claims

import (
	"context"
	"sync"
	"time"

	"goldcrestport/coordination/claim"
)

// maxCandidates is the number of routers that a call is sent to: the shard's home, the
// next router in rank and this process itself.
const maxCandidates = 3

// homes maps each shard to the routers that write it, and tracks routers that did
// not answer recently. A shard's home is the router that ranks first for it.
type homes struct {
	self       string
	suspectFor time.Duration
	mu         sync.Mutex
	address    map[string]string
	rank       [shards][]string
	suspects   map[string]time.Time
}

func newHomes(self string, suspectFor time.Duration) *homes {
	h := &homes{self: self, suspectFor: suspectFor, suspects: map[string]time.Time{}}
	h.set(nil)
	return h
}

// set replaces the routers of the instance list and returns the shards whose home
// is this process.
func (h *homes) set(peers []Peer) claim.HomesChanged {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.address = map[string]string{}
	ids := []string{h.self}
	for _, p := range peers {
		if p.ID != h.self {
			h.address[p.ID] = p.Address
			ids = append(ids, p.ID)
		}
	}
	out := claim.HomesChanged{Routers: len(ids)}
	for s := range h.rank {
		ranked := claim.Rank(s, ids)
		out.Home[s] = ranked[0] == h.self
		h.rank[s] = ranked[:min(len(ranked), maxCandidates-1)]
	}
	return out
}

// candidates returns the routers to try for a shard, in order. This process has an
// empty address and always comes last.
func (h *homes) candidates(shard int, now time.Time) []Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Peer
	for _, id := range h.rank[shard] {
		if id == h.self {
			break
		}
		if now.After(h.suspects[id]) {
			out = append(out, Peer{ID: id, Address: h.address[id]})
		}
	}
	return append(out, Peer{ID: h.self})
}

// markSuspect marks a router that did not answer as suspect and removes expired marks.
func (h *homes) markSuspect(id string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspects[id] = now.Add(h.suspectFor)
	for other, until := range h.suspects {
		if now.After(until) {
			delete(h.suspects, other)
		}
	}
}

// ask sends the call to the shard's home or, if that router does not answer, to
// the next one. The first answer is final. A call without an answer may still
// take effect; that is safe, since it names the same attempt at every router.
func (g *Guard) ask(ctx context.Context, c claim.Call) claim.Answer {
	for _, p := range g.homes.candidates(c.Key.Shard(), time.Now()) {
		if ctx.Err() != nil {
			break
		}
		if p.Address == "" {
			c.Deadline = deadline(ctx)
			return g.writer.ask(ctx, c)
		}
		if a, ok := g.askPeer(ctx, p, c); ok {
			return a
		}
	}
	return claim.Answer{Verdict: claim.Unavailable}
}

// answerMarginDivisor is the divisor of a wait that gives the time reserved for the
// answer to travel back: a fifth.
const answerMarginDivisor = 5

func (g *Guard) askPeer(ctx context.Context, p Peer, c claim.Call) (claim.Answer, bool) {
	limit := g.cfg.PeerWait
	if c.Kind == claim.Finish {
		limit = g.cfg.FinishWait
	}
	sub, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	wait := time.Until(deadline(sub))
	m, err := g.peers.Claims(sub, p.Address).Apply(sub, toWire(c, wait-wait/answerMarginDivisor))
	if err == nil {
		return answerFromWire(m), true
	}
	g.metrics.suspects.Add(1)
	g.homes.markSuspect(p.ID, time.Now())
	return claim.Answer{}, false
}

// deadline returns the context's deadline; every caller in this package sets one.
func deadline(ctx context.Context) time.Time {
	d, _ := ctx.Deadline()
	return d
}
