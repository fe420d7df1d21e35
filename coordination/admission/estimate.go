package admission

import (
	"cmp"
	"slices"
	"time"
)

// reportedLoadTTL is how long the load that a server reported is used. The report
// was true when an answer left the server, and a request of a plain service takes
// some tens of milliseconds.
const reportedLoadTTL = 100 * time.Millisecond

// utilisation returns the load of the server in relation to its slots.
func (s *State) utilisation(now time.Time, srv *server) float64 {
	load := float64(srv.running + srv.awaiting)
	if now.Sub(srv.loadAt) < reportedLoadTTL {
		load = max(load, float64(srv.load.Running+srv.load.Waiting))
	}
	return load / float64(srv.slots)
}

// candidate is a server with the estimates for the request there.
type candidate struct {
	server *server
	rank   int
	// prefillTokens is the number of prompt tokens that the engine would have to
	// prefill.
	prefillTokens float64
	// fetched and uncertain are the tokens of its shared prefixes that come from another server's
	// cache, and those among prefillTokens that may be cached.
	fetched, uncertain float64
	// wait is the wait for the first token before the request's own prefill.
	wait time.Duration
	// prefill is the time of the request's own prefill there.
	prefill time.Duration
	// estimate is the time to its first token without the server's slowdown; 0 if
	// it would also wait for a slot.
	estimate time.Duration
	// cost is the wait and the prefill, plus what the repeated prefill of shared
	// prefixes costs other requests.
	cost time.Duration
	// queue is the work that the server has before this request, over all routers.
	queue queueLoad
	// source is a server from whose cache this one may fetch shared prefixes; nil
	// for none.
	source *server
}

// queueLoad is the work at a server as this router knows it: prompt tokens that wait
// for prefill, and generations that run or wait.
type queueLoad struct {
	pendingTokens float64
	runs          float64
}

// candidates returns the first servers by rank for the request's last shared prefix.
// Without shared prefixes every server is a candidate.
func (s *State) candidates(now time.Time, req Request, usable []*server) []candidate {
	order := usable
	var source *server
	if n := len(req.SharedPrefixes); n > 0 {
		last := req.SharedPrefixes[n-1].ID
		source = s.prefixSource(now, req.Service, last, usable)
		count := s.cfg.Candidates
		if source != nil {
			count = max(count, s.cfg.FetchCandidates)
		}
		order = topRanked(usable, last, count)
	}
	out := make([]candidate, len(order))
	for i, srv := range order {
		out[i] = s.assess(now, req, srv, i, source)
	}
	return out
}

func byCost(a, b candidate) int { return cmp.Compare(a.cost, b.cost) }

// admissible is a candidate that may take a request, with the wait limit there.
type admissible struct {
	candidate
	limit time.Duration
}

// widerCandidate looks for a server beyond the candidates of a request that would be
// refused there although its team is within its share: repeating the prefill of its
// shared prefixes costs less than refusing it.
func (s *State) widerCandidate(now time.Time, req Request, usable []*server, standing standing) (admissible, bool) {
	if len(req.SharedPrefixes) == 0 {
		return admissible{}, false
	}
	last := req.SharedPrefixes[len(req.SharedPrefixes)-1].ID
	source := s.prefixSource(now, req.Service, last, usable)
	var best admissible
	for i, srv := range topRanked(usable, last, s.cfg.FetchCandidates) {
		c := s.assess(now, req, srv, i, source)
		limit := s.admissionLimit(now, req, c, standing)
		if c.wait <= limit && (best.server == nil || c.cost < best.cost) {
			best = admissible{c, limit}
		}
	}
	return best, best.server != nil
}

// topRanked returns the first n servers by rank for the prefix.
func topRanked(servers []*server, prefix uint64, n int) []*server {
	type ranked struct {
		server *server
		rank   uint64
	}
	best := make([]ranked, 0, n+1)
	for _, srv := range servers {
		rank := srv.rank(prefix)
		if len(best) == n && rank <= best[n-1].rank {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, rank, func(r ranked, rank uint64) int { return cmp.Compare(rank, r.rank) })
		best = slices.Insert(best, at, ranked{srv, rank})
		best = best[:min(len(best), n)]
	}
	out := make([]*server, len(best))
	for i, r := range best {
		out[i] = r.server
	}
	return out
}

// assess estimates what the request meets at the server. source is a server from
// whose cache it may fetch shared prefixes, or nil.
func (s *State) assess(now time.Time, req Request, srv *server, rank int, source *server) candidate {
	c := candidate{server: srv, rank: rank}
	if srv != source {
		c.source = source
	}
	shared := s.splitPrefixes(now, req, srv, rank, c.source)
	c.prefillTokens = max(float64(req.Prompt)-shared.cached-shared.fetched, 0)
	c.queue = s.queueAt(srv)
	c.fetched, c.uncertain = shared.fetched, shared.uncertain
	speed := s.speedOf(now, srv)
	queue, slot := s.queueWait(srv, c.queue, speed.rate)
	prefill := prefillTime(c.prefillTokens, speed.rate) + s.fetchTime(req.Service, shared.fetched)
	if slot == 0 {
		c.estimate = queue + prefill
	}
	c.wait = scaled(queue, speed.factor) + slot
	c.prefill = scaled(prefill, speed.factor)
	c.cost = c.wait + c.prefill + prefillTime(shared.repeated*s.cfg.SpillWeight+shared.fetched*s.cfg.FetchWeight, speed.serviceRate)
	return c
}

func scaled(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// queueAt returns the work at the server. Routers without a recent digest are
// assumed to have sent as much as the others on average.
func (s *State) queueAt(srv *server) queueLoad {
	total := s.peersInFlight[srv.number]
	total.Unread += srv.pendingTokens
	total.Runs += srv.running + srv.awaiting
	reporting := 1 + len(s.peers)
	scale := max(float64(s.routers)/float64(reporting), 1)
	return queueLoad{pendingTokens: total.Unread * scale, runs: float64(total.Runs) * scale}
}

// queueWait estimates the time to the first token of a request that arrives now:
// queue is the time for the prompts that wait for prefill and the running
// generations, at a prefill rate, and slot is the time until a slot is free.
func (s *State) queueWait(srv *server, l queueLoad, rate float64) (queue, slot time.Duration) {
	runCost := time.Duration(l.runs * float64(s.cfg.RunCost))
	return prefillTime(l.pendingTokens, rate) + runCost, s.slotWait(srv, l.runs)
}

// slotWait returns the time until a slot is free for one more run: waiting runs are
// admitted in turn, and one run ends every runTime / slots.
func (s *State) slotWait(srv *server, runs float64) time.Duration {
	excess := runs + 1 - float64(srv.slots)
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess * float64(s.pool(srv.service).runTime) / float64(srv.slots))
}

// prefillTime returns the time in which an engine prefills the tokens at the configured rate.
func (s *State) prefillTime(tokens float64) time.Duration {
	return prefillTime(tokens, s.cfg.PrefillRate)
}

// prefillTime returns the time in which tokens are prefilled at a rate per millisecond.
func prefillTime(tokens, rate float64) time.Duration {
	return time.Duration(tokens / rate * float64(time.Millisecond))
}

// demand returns the part of the shared capacity that the request uses, in tokens.
func (s *State) demand(r Request) float64 {
	return float64(r.Prompt) + outputWeight*s.outputs.expectedTokens(r.Class, r.Output)
}

// outputWeight is the weight of a generated token in relation to a prompt token.
const outputWeight = 2
