package claims

import (
	"context"
	"sync"
	"time"

	"goldcrestport/coordination/claim"
)

// maxTries is the number of routers that a call is tried at: the home, the
// next in rank and this process itself.
const maxTries = 3

// homes knows which routers write which shard, and which did not answer.
type homes struct {
	self     string
	suspect  time.Duration
	mu       sync.Mutex
	address  map[string]string
	rank     [shards][]string
	suspects map[string]time.Time
}

func newHomes(self string, suspectFor time.Duration) *homes {
	h := &homes{self: self, suspect: suspectFor, suspects: map[string]time.Time{}}
	h.set(nil)
	return h
}

// set takes the routers of the instance list; it returns which shards have
// their home here.
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
		h.rank[s] = ranked[:min(len(ranked), maxTries-1)]
	}
	return out
}

// tries returns the routers to try for a shard, in order; this process has an
// empty address and is always the last.
func (h *homes) tries(shard int, now time.Time) []Peer {
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

// failed remembers that a router did not answer.
func (h *homes) failed(id string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspects[id] = now.Add(h.suspect)
	for other, until := range h.suspects {
		if now.After(until) {
			delete(h.suspects, other)
		}
	}
}

// ask makes the call at the shard's home or, if that router does not answer,
// at the next. The answer of a router that did answer is final. A call that
// went unanswered may still take effect; that is safe, since it names the
// same attempt wherever it is made.
func (g *Guard) ask(ctx context.Context, c claim.Call) claim.Answer {
	for _, p := range g.homes.tries(c.Key.Shard(), time.Now()) {
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

// answerMargin is the part of a wait that is left to the way back.
const answerMargin = 5

func (g *Guard) askPeer(ctx context.Context, p Peer, c claim.Call) (claim.Answer, bool) {
	limit := g.cfg.PeerWait
	if c.Kind == claim.Finish {
		limit = g.cfg.FinishWait
	}
	sub, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	wait := time.Until(deadline(sub))
	m, err := g.peers.Claims(sub, p.Address).Apply(sub, toWire(c, wait-wait/answerMargin))
	if err == nil {
		return answerFromWire(m), true
	}
	g.metrics.suspects.Add(1)
	g.homes.failed(p.ID, time.Now())
	return claim.Answer{}, false
}

// deadline returns the context's deadline, which every caller here has set.
func deadline(ctx context.Context) time.Time {
	d, _ := ctx.Deadline()
	return d
}
