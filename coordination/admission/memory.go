package admission

import (
	"time"

	"goldcrestport/coordination/enginememory"
)

// Limits of the bound on engines' memory.
const (
	// freshRuns is the age up to which other routers' runs count: most runs of some seconds go on then.
	freshRuns = 500 * time.Millisecond
	// memoryRetryShare is the Retry-After of a request that finds all engines full, as a fraction of the mean
	// time of a run: some of the many runs of a full engine have ended by then.
	memoryRetryShare = 0.25
	// tooLargeRetryAfter is the Retry-After of a request that no engine can run: none will before the service
	// has other engines.
	tooLargeRetryAfter = time.Minute
)

// needOf returns what the request would occupy.
func (s *State) needOf(req Request) enginememory.Need {
	n := enginememory.Need{Own: req.Prompt, Output: int(s.outputs.expectedTokens(req.Class, req.Output))}
	if len(req.SharedPrefixes) == 0 {
		return n
	}
	n.Parts = make([]enginememory.Part, len(req.SharedPrefixes))
	for i, part := range req.SharedPrefixes {
		n.Parts[i] = enginememory.Part(part)
		n.Own -= part.Tokens
	}
	n.Own = max(n.Own, 0)
	return n
}

// holdMemory counts the run at its server, if the service's engines declare their memory.
func (s *State) holdMemory(r *Run, req Request) {
	p := s.pool(req.Service)
	if p.traits.Memory <= 0 {
		return
	}
	r.need, r.holdsMemory = s.needOf(req), true
	p.meanRun.Add(s.cfg.Memory, r.need)
	r.server.memory.Add(r.need)
}

// releaseMemory removes the run, which ended.
func (s *State) releaseMemory(r *Run) {
	if !r.holdsMemory {
		return
	}
	r.holdsMemory = false
	s.pool(r.server.service).meanRun.Remove(r.need)
	r.server.memory.Remove(r.need)
}

// isTooLarge reports whether the request fits into no engine of the service, also an empty one. A run that
// began somewhere did fit.
func (p *pool) isTooLarge(req Request) bool {
	return p.traits.Engine && !req.MayHaveRun && !req.Bound.resumes() && enginememory.TooLarge(p.traits.Memory, req.Prompt)
}

// withRoom returns the servers into whose memory the request fits. A request that a server may have run, or
// whose caller came back for the rest of a stream, may go to all: a refusal would lose more than the
// preemption of a run.
func (s *State) withRoom(now time.Time, p *pool, req Request, usable []*server) []*server {
	if p.traits.Memory <= 0 || req.MayHaveRun || req.Bound.resumes() {
		return usable
	}
	b := roomBound{s: s, now: now, memory: p.traits.Memory, mean: p.meanRun.Tokens(s.cfg.Memory), need: s.needOf(req)}
	for i, srv := range usable {
		if b.fits(srv) {
			continue
		}
		out := append(make([]*server, 0, len(usable)), usable[:i]...)
		for _, other := range usable[i+1:] {
			if b.fits(other) {
				out = append(out, other)
			}
		}
		return out
	}
	return usable
}

// refuseFull refuses a request that fits into no engine beside what runs.
func (s *State) refuseFull(p *pool) Decision {
	return Decision{Verdict: Refuse, Reason: ReasonMemory, RetryAfter: s.retryAfter(time.Duration(memoryRetryShare*float64(p.runTime)), true)}
}

// roomBound decides for one request which servers have room.
type roomBound struct {
	s      *State
	now    time.Time
	memory int
	mean   float64
	need   enginememory.Need
	// peersChecked and peersFresh say whether the other routers' runs are known well enough to count.
	peersChecked, peersFresh bool
}

func (b *roomBound) fits(srv *server) bool {
	others := enginememory.Others{Runs: srv.peerRuns, Mean: b.mean}
	if b.s.cfg.Memory.Fits(b.memory, &srv.memory, others, b.need) {
		return true
	}
	if others.Runs == 0 || b.countsPeers() {
		return false
	}
	return b.s.cfg.Memory.Fits(b.memory, &srv.memory, enginememory.Others{}, b.need)
}

// countsPeers reports whether the other routers' runs are known well enough. It is called only where they
// decide, as it reads the state of each router.
func (b *roomBound) countsPeers() bool {
	if !b.peersChecked {
		b.peersChecked = true
		b.peersFresh = !b.s.isImpaired && b.s.PeerStaleness(b.now) <= freshRuns
	}
	return b.peersFresh
}
