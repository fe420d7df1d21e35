package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestport/coordination/backoff"
	"goldcrestport/coordination/fairshare"
	"goldcrestport/coordination/health"
	"goldcrestport/coordination/pace"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/selfcheck"
	"goldcrestport/coordination/throttle"
	"goldcrestport/coordination/warmup"
)

// State holds the servers and the runs of this router. Invariant: the counts of a
// server are the sums over its runs that have not ended.
type State struct {
	cfg     Config
	servers map[string]*server
	numbers map[ServerID]*server
	pools   map[string]*pool
	// pendingAnnouncements are the cached prefixes that the next digests announce.
	pendingAnnouncements []CachedPrefix
	// routers is the number of routers that share the servers, at least 1.
	routers int
	peers   map[string]*peer
	// peersInFlight is the sum of the in-flight work that the peers reported, by
	// server.
	peersInFlight map[ServerID]InFlight
	teams         *fairshare.Meter
	// throttle limits the rates of teams that have received more than the least
	// served team. throttleUpdated is the time of the team totals that it observed
	// last.
	throttle        *throttle.State[fairshare.TeamID]
	throttleUpdated time.Time
	outputs         outputShares
	// warmup limits the rate of requests to cold servers. warmupSeen is the change
	// count of warmup at which the servers' cold states were last updated.
	warmup     *warmup.State
	warmupSeen int
	// departedBackoffs keeps the back-offs requested by servers that were removed,
	// by server identity: a server that is added again within its back-off still
	// gets no requests.
	departedBackoffs map[string]*backoff.Server
	// spreadCount is the number of retry times that were spread out so far.
	spreadCount uint64
	// capacity is the number of tokens that all engines produce in the window over
	// which teams share it; 0: unknown.
	capacity float64
	// selfCheck decides whether this router is impaired; isImpaired is its latest
	// result.
	selfCheck  *selfcheck.State
	isImpaired bool
	// pace holds how fast the servers prefill; isLate means that this router reads its input late.
	pace   *pace.State
	isLate bool
}

// New returns a state without servers. The config must be valid.
func New(cfg Config) *State {
	return &State{
		cfg: cfg, servers: make(map[string]*server), numbers: make(map[ServerID]*server), pools: make(map[string]*pool), routers: 1,
		peers: make(map[string]*peer), peersInFlight: make(map[ServerID]InFlight), teams: fairshare.NewMeter(cfg.Window), throttle: throttle.New[fairshare.TeamID](cfg.Throttle), outputs: make(outputShares),
		selfCheck:        selfcheck.New(cfg.SelfCheck),
		pace:             pace.New(cfg.Pace),
		departedBackoffs: make(map[string]*backoff.Server),
		warmup:           warmup.New(warmup.DefaultConfig(), ""),
	}
}

// SetCapacity sets the number of tokens that all engines produce per second. A
// prompt token counts once, a generated token twice. 0: unknown.
func (s *State) SetCapacity(tokensPerSecond float64) {
	s.capacity = tokensPerSecond * s.cfg.Window.Seconds()
}

// SetRouters sets the number of routers that share the servers.
func (s *State) SetRouters(n int) { s.routers = max(n, 1) }

// Routers returns the number of routers that share the servers.
func (s *State) Routers() int { return s.routers }

// Add adds an incarnation of a server in a region. Nothing known of an earlier
// incarnation with the same id carries over to it. Add does nothing if this or a
// later incarnation is known already.
func (s *State) Add(id string, incarnation roster.Incarnation, service, region string, slots int) {
	if earlier := s.servers[id]; earlier != nil {
		if earlier.incarnation >= incarnation {
			return
		}
		s.Remove(id)
	}
	srv := &server{
		id: id, incarnation: incarnation, number: NumberOf(id, incarnation),
		identity: roster.Identity(id, incarnation), service: service, region: region, slots: max(slots, 1),
		seed: xxhash.Sum64String(id), health: health.New(s.cfg.Health), prefixes: make(map[uint64]prefixUse),
	}
	srv.cold, srv.peerRuns = s.warmup.Server(srv.identity), s.peersInFlight[srv.number].Runs
	srv.pace = s.pace.Add(pace.ServerID(srv.number), service)
	s.restoreBackoff(srv)
	s.servers[id], s.numbers[srv.number] = srv, srv
	p := s.pool(service)
	p.servers = append(p.servers, srv)
	slices.SortFunc(p.servers, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
}

// Remove removes a server. Its runs continue.
func (s *State) Remove(id string) {
	srv := s.servers[id]
	if srv == nil {
		return
	}
	delete(s.servers, id)
	delete(s.numbers, srv.number)
	s.pace.Remove(pace.ServerID(srv.number))
	s.keepBackoff(srv)
	p := s.pool(srv.service)
	p.servers = slices.DeleteFunc(p.servers, func(other *server) bool { return other == srv })
}

// Place decides where the request goes.
func (s *State) Place(now time.Time, req Request) Decision {
	p := s.pool(req.Service)
	s.syncWarmup()
	usable, excluded := s.usable(now, p, req)
	usable = req.Isolation.choose(usable)
	var d Decision
	switch {
	case p.isTooLarge(req):
		d = Decision{Verdict: Refuse, Reason: ReasonTooLarge, RetryAfter: tooLargeRetryAfter}
	case len(usable) == 0:
		d = s.refuseUnplaceable(excluded)
	case p.traits.Engine:
		d = s.placeEngine(now, req, usable)
	default:
		d = s.placePlain(now, usable)
	}
	d.Fitness, d.BackingOff, d.SinceBackoff = excluded.fitness, excluded.fitness.BackingOff, -time.Millisecond
	if d.Run != nil {
		d.Cold = !d.Run.sendBy.IsZero()
		d.SinceBackoff = d.Run.server.backoff.Age(now)
	}
	return d
}

// usable returns the servers that may get the request: those in an allowed region
// that are not ejected, requested no back-off, have rate left if they are cold, and
// refused nothing recently. If all of these refused recently, it returns the one
// whose pause ends first. It also returns why others were excluded.
func (s *State) usable(now time.Time, p *pool, req Request) (out []*server, excluded exclusions) {
	out = make([]*server, 0, len(p.servers))
	for _, srv := range p.servers {
		if !srv.isInRegions(req.Homes) || !req.Bound.allows(srv) {
			continue
		}
		excluded.fitness.Known++
		if wait := srv.backoff.Wait(now); wait > 0 {
			excluded.addBackoff(wait)
			continue
		}
		if slices.Contains(req.Avoid, srv.id) {
			excluded.fitness.Avoided++
			excluded.addAvoided(max(srv.refusedUntil.Sub(now), s.cfg.RetryAfterMin))
			continue
		}
		if srv.health.Ejected() && !mayProbe(now, srv, req) {
			excluded.fitness.Ejected++
			continue
		}
		if wait := s.coldWait(now, srv); wait > 0 {
			excluded.addCold(wait)
			continue
		}
		if !req.Bound.trusts(srv) {
			excluded.fitness.Untrusted++
			excluded.addUntrusted(max(req.Bound.trustedIn(srv), s.cfg.RetryAfterMin))
			continue
		}
		out = append(out, srv)
	}
	return withoutRefusing(now, out), excluded
}

// mayProbe reports whether the request may probe an ejected server. A repeatable
// request loses little by it. Other requests probe only if no repeatable one has
// come for as long as the server was left without requests.
func mayProbe(now time.Time, srv *server, req Request) bool {
	if req.Repeatable {
		return srv.health.ProbeDue(now)
	}
	return srv.health.ProbeOverdue(now)
}

// withoutRefusing returns the servers that are not paused after a refusal. If all
// are, it returns the one whose pause ends first.
func withoutRefusing(now time.Time, servers []*server) []*server {
	if !slices.ContainsFunc(servers, func(srv *server) bool { return now.Before(srv.refusedUntil) }) {
		return servers
	}
	out := make([]*server, 0, len(servers))
	for _, srv := range servers {
		if !now.Before(srv.refusedUntil) {
			out = append(out, srv)
		}
	}
	if len(out) > 0 {
		return out
	}
	first := slices.MinFunc(servers, func(a, b *server) int { return a.refusedUntil.Compare(b.refusedUntil) })
	return []*server{first}
}

// placePlain chooses the server with the least load in relation to its slots. The
// other routers are assumed to distribute their requests in the same way.
func (s *State) placePlain(now time.Time, usable []*server) Decision {
	best := slices.MinFunc(usable, func(a, b *server) int { return cmp.Compare(s.utilisation(now, a), s.utilisation(now, b)) })
	return Decision{Verdict: Send, Run: s.startRun(now, best, 0, nil), Server: best.id}
}

// placeEngine chooses the candidate of least cost and admits the request if the
// estimated wait there is within its limit.
func (s *State) placeEngine(now time.Time, req Request, usable []*server) Decision {
	team, tokens := fairshare.IDOf(req.Team), s.demand(req)
	if !req.Sent && !req.Counted {
		// A request that comes back is counted again: its team still demands what it
		// did not get, and whether a refused caller comes back cannot be known in
		// advance.
		s.countDemand(now, team, tokens)
	}
	if usable = s.withRoom(now, s.pool(req.Service), req, usable); len(usable) == 0 {
		return s.refuseFull(s.pool(req.Service))
	}
	standing := s.standing(now, team)
	candidates := s.candidates(now, req, usable)
	best := s.leastCost(now, req, candidates, standing)
	limit := s.admissionLimit(now, req, best, standing)
	if best.wait > limit && standing.share < s.cfg.WideStanding {
		if wider, ok := s.widerCandidate(now, req, usable, standing); ok {
			best, limit = wider.candidate, wider.limit
		}
	}
	d := Decision{
		Server: best.server.id, Wait: best.wait, Limit: limit, Rank: best.rank, Standing: standing.share, Served: standing.served,
		Size: s.sizeOf(req, standing), Estimate: best.wait + best.prefill,
		Unread: int(best.prefillTokens), QueueTokens: int(best.queue.pendingTokens), QueueRuns: int(best.queue.runs),
	}
	admitted, throttleWait := req.Sent, time.Duration(0)
	if !req.Sent {
		admitted, throttleWait = s.throttle.Admits(now, team)
	}
	if (best.wait > limit || !admitted) && !req.MayHaveRun {
		d.Verdict, d.Reason, d.Throttled = Refuse, ReasonWait, !admitted
		d.RetryAfter = s.retryAfter(max(best.wait-limit, throttleWait), !admitted)
		if best.wait <= limit {
			s.teams.Throttled(now, team, tokens)
		}
		return d
	}
	d.Verdict = Send
	d.Source = s.sourceFor(now, req, best, usable)
	if !req.Sent {
		s.teams.RecordStart(now, team, tokens)
		s.throttle.Sent(now, team, tokens)
	}
	d.Run = s.startRun(now, best.server, best.prefillTokens, req.SharedPrefixes)
	d.Run.class, d.Run.output, d.Run.estimate = req.Class, req.Output, best.estimate
	s.expect(now, req, d.Run, best)
	s.holdMemory(d.Run, req)
	return d
}
