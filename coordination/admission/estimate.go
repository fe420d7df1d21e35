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
	c.price = c.wait + scaled(own, slower) + s.reading(parts.again*s.cfg.SpillWeight+parts.fetched*s.cfg.FetchWeight)
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

// patience is the wait up to which the request is admitted.
func (s *State) patience(req Request, c candidate, standing float64) time.Duration {
	patience := float64(s.cfg.Patience)
	own := s.cfg.OwnReading * float64(s.reading(c.unread))
	patience -= min(own, s.cfg.OwnReadingMost*patience)
	patience *= s.turn(standing)
	if req.Elapsed > 0 && standing <= 1 {
		patience *= s.cfg.Returned
	}
	return time.Duration(patience)
}

// Standings between which a team's turn goes from that of one well below its
// share to that of one beyond it. Between two that are beyond, the one that got
// less goes first.
const (
	wellBelow  = 0.7
	wellBeyond = 1.3
)

// turn is the factor of the patience for a team's standing.
func (s *State) turn(standing float64) float64 {
	switch {
	case standing <= wellBelow:
		return s.cfg.Below
	case standing >= wellBeyond:
		return s.cfg.Beyond * wellBeyond / standing
	default:
		part := (standing - wellBelow) / (wellBeyond - wellBelow)
		return s.cfg.Below + part*(s.cfg.Beyond-s.cfg.Below)
	}
}

// tokens is what the request takes of the capacity that teams share.
func (s *State) tokens(r Request) float64 {
	return float64(r.Prompt) + outputWeight*s.outputs.expect(r.Class, r.Output)
}

// outputWeight is what a generated token counts against one that is read.
const outputWeight = 2
