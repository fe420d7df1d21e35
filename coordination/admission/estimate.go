package admission

import (
	"cmp"
	"slices"
	"time"
)

// loadTime is how long a server's own word on its load counts. It was true
// when an answer left the server; a request of a plain service takes some tens
// of milliseconds.
const loadTime = 100 * time.Millisecond

// busy is the server's load in relation to its slots.
func (s *State) busy(now time.Time, one *server) float64 {
	own := float64(one.running + one.awaiting)
	if now.Sub(one.loadAt) < loadTime {
		own = max(own, float64(one.load.Running+one.load.Waiting))
	}
	return own / float64(one.slots)
}

// candidate is a server with what the request would meet there.
type candidate struct {
	server *server
	rank   int
	// unread are the tokens that the engine would have to read for it.
	unread float64
	// wait for the first token before its own reading.
	wait time.Duration
	// reading is how long its own prompt takes there.
	reading time.Duration
	// estimate is how long its first token takes at the presumed rate; 0 when
	// it would wait for a slot, too.
	estimate time.Duration
	// price is the wait plus what reading shared parts again costs others.
	price time.Duration
	// queue is what the server has to do before, over all routers.
	queue load
	// source is a server from whose memory this one may take shared parts; nil
	// for none.
	source *server
}

// load is the work at a server as this router knows it: prompt tokens that are
// not read yet, and generations that run or wait.
type load struct {
	unread float64
	runs   float64
}

// candidates returns the first servers in the order of the request's last
// shared part. Without shared parts every server is a candidate.
func (s *State) candidates(now time.Time, req Request, usable []*server) []candidate {
	order := usable
	var source *server
	if n := len(req.Shared); n > 0 {
		last := req.Shared[n-1].ID
		source = s.source(now, req.Service, last, usable)
		count := s.cfg.Candidates
		if source != nil {
			count = max(count, s.cfg.Fetchers)
		}
		order = first(usable, last, count)
	}
	out := make([]candidate, len(order))
	for i, one := range order {
		out[i] = s.assess(now, req, one, i, source)
	}
	return out
}

func byPrice(a, b candidate) int { return cmp.Compare(a.price, b.price) }

// admissible is a candidate that may take a request, with its limit.
type admissible struct {
	candidate
	limit time.Duration
}

// elsewhere looks for a server outside the candidates of a request that would
// be refused there though its team is within its share: reading its shared
// parts again costs less than turning it away.
func (s *State) elsewhere(now time.Time, req Request, usable []*server, standing standing) (admissible, bool) {
	if len(req.Shared) == 0 {
		return admissible{}, false
	}
	last := req.Shared[len(req.Shared)-1].ID
	source := s.source(now, req.Service, last, usable)
	var best admissible
	for i, one := range first(usable, last, s.cfg.Fetchers) {
		c := s.assess(now, req, one, i, source)
		limit := s.limit(req, c, standing)
		if c.wait <= limit && (best.server == nil || c.price < best.price) {
			best = admissible{c, limit}
		}
	}
	return best, best.server != nil
}

// first returns the first n servers in the order of the part.
func first(servers []*server, part uint64, n int) []*server {
	type ranked struct {
		server *server
		rank   uint64
	}
	best := make([]ranked, 0, n+1)
	for _, one := range servers {
		rank := one.rank(part)
		if len(best) == n && rank <= best[n-1].rank {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, rank, func(r ranked, rank uint64) int { return cmp.Compare(rank, r.rank) })
		best = slices.Insert(best, at, ranked{one, rank})
		best = best[:min(len(best), n)]
	}
	out := make([]*server, len(best))
	for i, r := range best {
		out[i] = r.server
	}
	return out
}

// assess estimates what the request meets at the server. Source is a server
// from whose memory it may take shared parts, or nil.
func (s *State) assess(now time.Time, req Request, one *server, rank int, source *server) candidate {
	c := candidate{server: one, rank: rank}
	if one != source {
		c.source = source
	}
	parts := s.sharedParts(now, req, one, rank, c.source)
	c.unread = max(float64(req.Prompt)-parts.held-parts.fetched, 0)
	c.queue = s.load(one)
	queue, slot := s.wait(one, c.queue)
	own := s.reading(c.unread) + s.fetching(req.Service, parts.fetched)
	if slot == 0 {
		c.estimate = queue + own
	}
	slower := one.pace.factor(now)
	c.wait = scaled(queue, slower) + slot
	c.reading = scaled(own, slower)
	c.price = c.wait + c.reading + s.reading(parts.again*s.cfg.SpillWeight+parts.fetched*s.cfg.FetchWeight)
	return c
}

func scaled(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// load is the work at the server. Routers that told nothing lately are presumed
// to have sent as much as the others do on average.
func (s *State) load(one *server) load {
	total := s.others[one.number]
	total.Unread += one.unread
	total.Runs += one.running + one.awaiting
	told := 1 + len(s.peers)
	scale := max(float64(s.routers)/float64(told), 1)
	return load{unread: total.Unread * scale, runs: float64(total.Runs) * scale}
}

// wait estimates the time to the first token of a request that arrives now:
// queue is from the prompts that are not read yet and the generations that run,
// at the presumed rate, and slot is the time until a slot is free.
func (s *State) wait(one *server, l load) (queue, slot time.Duration) {
	crowd := time.Duration(l.runs * float64(s.cfg.RunCost))
	return s.reading(l.unread) + crowd, s.slotWait(one, l.runs)
}

// slotWait is the time until a slot is free for one more run: runs that wait
// for one are admitted in turn, and one ends each runTime / slots.
func (s *State) slotWait(one *server, runs float64) time.Duration {
	excess := runs + 1 - float64(one.slots)
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess * float64(s.pool(one.service).runTime) / float64(one.slots))
}

// reading is the time in which an engine reads the tokens.
func (s *State) reading(tokens float64) time.Duration {
	return time.Duration(tokens / s.cfg.ReadRate * float64(time.Millisecond))
}

// tokens is what the request takes of the capacity that teams share.
func (s *State) tokens(r Request) float64 {
	return float64(r.Prompt) + outputWeight*s.outputs.expect(r.Class, r.Output)
}

// outputWeight is what a generated token counts against one that is read.
const outputWeight = 2
