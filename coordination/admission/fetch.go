package admission

import "time"

// source returns a server that is known to hold the part and from whose memory
// others may take it, the first in the part's order among those; nil for none.
//
// The pattern that it answers: one document is asked about again and again, and
// the server that holds it reads another long prompt. Elsewhere the document
// would have to be read again; its memory comes from the first server in a small
// part of that time. So the request goes where the wait is least.
func (s *State) source(now time.Time, service string, part uint64, usable []*server) *server {
	if s.cfg.Fetchers == 0 || s.pool(service).traits.FetchRate == 0 {
		return nil
	}
	var best *server
	var rank uint64
	for _, one := range usable {
		if !one.holds(now, part, s.cfg.BeliefTime) {
			continue
		}
		if r := one.rank(part); best == nil || r > rank {
			best, rank = one, r
		}
	}
	return best
}

// sourceOf returns the id of the server from whose memory the candidate may
// take shared parts: one that is known to hold them, or else the first of the
// part's order, where routers send it when they know of none. What that one
// does not hold costs the time to reach it only.
func (s *State) sourceOf(now time.Time, req Request, c candidate, usable []*server) string {
	if c.source != nil {
		return c.source.id
	}
	n := len(req.Shared)
	if n == 0 || s.cfg.Fetchers == 0 || s.pool(req.Service).traits.FetchRate == 0 {
		return ""
	}
	last := req.Shared[n-1].ID
	home := first(usable, last, 1)[0]
	if home == c.server || c.server.holds(now, last, s.cfg.BeliefTime) {
		return ""
	}
	return home.id
}

// sharedParts are the tokens of a request's shared parts by where a server has
// them from; what is in none of them it is presumed to read.
type sharedParts struct {
	// held by the server's own memory.
	held float64
	// fetched from another server's.
	fetched float64
	// again are read though another server may hold them.
	again float64
}

// unknownShare is the part of a shared prompt part that is presumed to be read
// at its first server when this router has not sent it there lately: another
// one may have.
const unknownShare = 0.5

// sharedParts sorts the request's shared parts for a server that may take some
// from the source, nil for none.
func (s *State) sharedParts(now time.Time, req Request, one *server, rank int, source *server) sharedParts {
	var out sharedParts
	for _, part := range req.Shared {
		tokens := float64(part.Tokens)
		switch {
		case one.holds(now, part.ID, s.cfg.BeliefTime):
			out.held += tokens
		case source != nil && source.holds(now, part.ID, s.cfg.BeliefTime):
			out.fetched += tokens
		case rank == 0:
			out.held += tokens * (1 - unknownShare)
		default:
			out.again += tokens
		}
	}
	return out
}

// fetchSetup is the time to reach the other server's memory, in addition to the
// transfer.
const fetchSetup = 5 * time.Millisecond

// fetching is the time in which a server takes the tokens' memory from another.
func (s *State) fetching(service string, tokens float64) time.Duration {
	rate := s.pool(service).traits.FetchRate
	if tokens == 0 || rate == 0 {
		return 0
	}
	return fetchSetup + time.Duration(tokens/rate*float64(time.Millisecond))
}
