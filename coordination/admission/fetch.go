package admission

import "time"

// prefixSource returns a server that has the prefix cached and from whose cache
// others may fetch it, the first of them by rank; nil for none.
//
// The same document is often requested again while the server that has it cached
// prefills another long prompt. At another server its prefill would have to be
// repeated, whereas a fetch from the first server takes a small fraction of that
// time. So the request goes to the server with the least wait.
func (s *State) prefixSource(now time.Time, service string, prefix uint64, usable []*server) *server {
	if s.cfg.FetchCandidates == 0 || s.pool(service).traits.FetchRate == 0 {
		return nil
	}
	var best *server
	var rank uint64
	for _, srv := range usable {
		if !srv.hasCached(now, prefix, s.cfg.PrefixTTL) {
			continue
		}
		if r := srv.rank(prefix); best == nil || r > rank {
			best, rank = srv, r
		}
	}
	return best
}

// sourceFor returns the id of the server from whose cache the candidate may fetch
// shared prefixes: one that is known to have them cached, or else the first by rank,
// to which routers send the prefix when they know of no server with it. A prefix
// that is not cached there costs only the time to reach that server.
func (s *State) sourceFor(now time.Time, req Request, c candidate, usable []*server) string {
	if c.source != nil {
		return c.source.id
	}
	n := len(req.SharedPrefixes)
	if n == 0 || s.cfg.FetchCandidates == 0 || s.pool(req.Service).traits.FetchRate == 0 {
		return ""
	}
	last := req.SharedPrefixes[n-1].ID
	preferred := topRanked(usable, last, 1)[0]
	if preferred == c.server || c.server.hasCached(now, last, s.cfg.PrefixTTL) {
		return ""
	}
	return preferred.id
}

// prefixTokens divides the tokens of a request's shared prefixes by where a server
// gets them from. The tokens that are in none of the fields are assumed to be
// prefilled there.
type prefixTokens struct {
	// cached is in the server's own cache.
	cached float64
	// fetched comes from another server's cache.
	fetched float64
	// uncertain is the part of the tokens that count as neither cached nor fetched, but may be cached.
	uncertain float64
	// repeated is prefilled although another server may have it cached.
	repeated float64
}

// unknownPrefixShare is the fraction of a shared prefix that is assumed to need a
// prefill at the first server by rank if this router has not sent it there lately:
// another router may have.
const unknownPrefixShare = 0.5

// splitPrefixes divides the request's shared prefixes for a server that may fetch
// some of them from the source, nil for none.
func (s *State) splitPrefixes(now time.Time, req Request, srv *server, rank int, source *server) prefixTokens {
	var out prefixTokens
	for _, prefix := range req.SharedPrefixes {
		tokens := float64(prefix.Tokens)
		switch {
		case srv.hasCached(now, prefix.ID, s.cfg.PrefixTTL):
			out.cached += tokens
		case source != nil && source.hasCached(now, prefix.ID, s.cfg.PrefixTTL):
			out.fetched += tokens
		case rank == 0:
			out.cached += tokens * (1 - unknownPrefixShare)
			out.uncertain += tokens * unknownPrefixShare
		default:
			out.repeated += tokens
		}
	}
	return out
}

// fetchSetup is the time to reach the other server's cache, in addition to the
// transfer.
const fetchSetup = 5 * time.Millisecond

// fetchTime returns the time in which a server fetches the cache entries of the
// tokens from another server.
func (s *State) fetchTime(service string, tokens float64) time.Duration {
	rate := s.pool(service).traits.FetchRate
	if tokens == 0 || rate == 0 {
		return 0
	}
	return fetchSetup + time.Duration(tokens/rate*float64(time.Millisecond))
}
