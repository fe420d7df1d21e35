package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestport/coordination/backoff"
	"goldcrestport/coordination/fairshare"
	"goldcrestport/coordination/health"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/selfcheck"
	"goldcrestport/coordination/throttle"
	"goldcrestport/coordination/warmup"
)

// State holds the servers and this router's runs. Invariant: the counts of a
// server are the sums over the runs that have not ended.
type State struct {
	cfg     Config
	servers map[string]*server
	numbers map[ServerID]*server
	pools   map[string]*pool
	// unannounced are the holdings that the next digests hold.
	unannounced []Holding
	// routers is the number of routers that share the servers, at least 1.
	routers int
	peers   map[string]*peer
	// others is the sum of what the peers told.
	others map[ServerID]Use
	teams  *fairshare.Meter
	// throttle bounds the rates of teams that are ahead of the least served, as of
	// throttled.
	throttle  *throttle.State[fairshare.TeamID]
	throttled time.Time
	outputs   outputs
	// warmup bounds what cold servers get; warmupSeen is the number of its changes
	// that the servers know.
	warmup     *warmup.State
	warmupSeen int
	// parted are the servers that asked for no requests and were taken out: one that
	// comes back wants no more than before. By their identities.
	parted map[string]*backoff.Server
	// refusals counts the requests whose callers are told moments that lie apart.
	refusals uint64
	// capacity is the tokens that all engines produce in the teams' window;
	// 0: unknown.
	capacity float64
	// check tells whether this router is impaired, isImpaired what it said last.
	check      *selfcheck.State
	isImpaired bool
}

// pool holds the servers of one service.
type pool struct {
	servers []*server
	traits  Traits
	// runTime is the mean time from a run's first event to its end.
	runTime time.Duration
}

// New returns a state without servers. The config must be valid.
func New(cfg Config) *State {
	return &State{
		cfg: cfg, servers: make(map[string]*server), numbers: make(map[ServerID]*server), pools: make(map[string]*pool), routers: 1,
		peers: make(map[string]*peer), others: make(map[ServerID]Use), teams: fairshare.NewMeter(cfg.Window), throttle: throttle.New[fairshare.TeamID](cfg.Throttle), outputs: make(outputs),
		check:  selfcheck.New(cfg.SelfCheck),
		parted: make(map[string]*backoff.Server),
		warmup: warmup.New(warmup.DefaultConfig(), ""),
	}
}

// SetCapacity tells how many tokens all engines produce in a second; a token
// read counts once, a generated one twice. 0: unknown.
func (s *State) SetCapacity(tokensPerSecond float64) {
	s.capacity = tokensPerSecond * s.cfg.Window.Seconds()
}

// SetRouters tells how many routers share the servers.
func (s *State) SetRouters(n int) { s.routers = max(n, 1) }

// Routers returns the number of routers that share the servers.
func (s *State) Routers() int { return s.routers }

// Traits says what the servers of a service are.
type Traits struct {
	// Engine tells that they are model engines.
	Engine bool
	// FetchRate is the prompt tokens whose memory one of them takes from
	// another in a millisecond; 0: it cannot.
	FetchRate float64
	// Objective is the shortest time in which an answer of the service has to
	// begin, over its routes; 0: unknown.
	Objective time.Duration
}

// SetService tells what the service's servers are.
func (s *State) SetService(service string, traits Traits) { s.pool(service).traits = traits }

// Add takes an incarnation of a server in a region in. Nothing that is known of an
// earlier one under its id is believed of it; a later one stays.
func (s *State) Add(id string, incarnation roster.Incarnation, service, region string, slots int) {
	if before := s.servers[id]; before != nil {
		if before.incarnation >= incarnation {
			return
		}
		s.Remove(id)
	}
	one := &server{
		id: id, incarnation: incarnation, number: NumberOf(id, incarnation),
		identity: roster.Identity(id, incarnation), service: service, region: region, slots: max(slots, 1),
		seed: xxhash.Sum64String(id), health: health.New(s.cfg.Health), parts: make(map[uint64]partUse),
	}
	one.cold = s.warmup.Server(one.identity)
	s.rejoin(one)
	s.servers[id], s.numbers[one.number] = one, one
	p := s.pool(service)
	p.servers = append(p.servers, one)
	slices.SortFunc(p.servers, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
}

// Remove takes a server out; its runs go on.
func (s *State) Remove(id string) {
	one := s.servers[id]
	if one == nil {
		return
	}
	delete(s.servers, id)
	delete(s.numbers, one.number)
	s.part(one)
	p := s.pool(one.service)
	p.servers = slices.DeleteFunc(p.servers, func(o *server) bool { return o == one })
}

func (s *State) pool(service string) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{runTime: firstRunTime}
		s.pools[service] = p
	}
	return p
}

// firstRunTime is presumed until runs have ended.
const firstRunTime = time.Second

// Place decides where the request goes.
func (s *State) Place(now time.Time, req Request) Decision {
	p := s.pool(req.Service)
	s.followWarmup()
	usable, others := s.usable(now, p, req)
	var d Decision
	switch {
	case len(usable) == 0:
		d = s.placeNowhere(others)
	case p.traits.Engine:
		d = s.placeEngine(now, req, usable)
	default:
		d = s.placePlain(now, usable)
	}
	d.BackingOff, d.SinceBackoff = others.backingOff, -time.Millisecond
	if d.Run != nil {
		d.Cold = !d.Run.sendBy.IsZero()
		d.SinceBackoff = d.Run.server.backoff.Age(now)
	}
	return d
}

// usable returns the servers that may get work: those that are not ejected, want
// requests, bear more if they are cold, and did not just refuse any, or the ones that
// are due first when all did, and what keeps the others from it.
func (s *State) usable(now time.Time, p *pool, req Request) (out []*server, others held) {
	out = make([]*server, 0, len(p.servers))
	for _, one := range p.servers {
		if !one.isHome(req.Homes) {
			continue
		}
		if wait := one.backoff.Wait(now); wait > 0 {
			others.backsOff(wait)
			continue
		}
		if slices.Contains(req.Avoid, one.id) {
			others.avoided(max(one.refusedUntil.Sub(now), s.cfg.ReturnLeast))
			continue
		}
		if one.health.Ejected() && !mayProbe(now, one, req) {
			continue
		}
		if wait := s.coldWait(now, one); wait > 0 {
			others.isCold(wait)
			continue
		}
		out = append(out, one)
	}
	return willing(now, out), others
}

// mayProbe reports whether the request may try an ejected server. One that may be
// repeated loses little by it; others only do when no such request came for as
// long as the server was left alone.
func mayProbe(now time.Time, one *server, req Request) bool {
	if req.Repeatable {
		return one.health.ProbeDue(now)
	}
	return one.health.ProbeOverdue(now)
}

// willing returns the servers that did not just refuse work; when all did, the
// one that may be asked again first.
func willing(now time.Time, all []*server) []*server {
	if !slices.ContainsFunc(all, func(one *server) bool { return now.Before(one.refusedUntil) }) {
		return all
	}
	out := make([]*server, 0, len(all))
	for _, one := range all {
		if !now.Before(one.refusedUntil) {
			out = append(out, one)
		}
	}
	if len(out) > 0 {
		return out
	}
	first := slices.MinFunc(all, func(a, b *server) int { return a.refusedUntil.Compare(b.refusedUntil) })
	return []*server{first}
}

// placePlain takes the server with the least work in relation to its slots.
// The other routers are presumed to send as this one does.
func (s *State) placePlain(now time.Time, usable []*server) Decision {
	best := slices.MinFunc(usable, func(a, b *server) int { return cmp.Compare(s.busy(now, a), s.busy(now, b)) })
	return Decision{Verdict: Send, Run: s.start(now, best, 0, nil), Server: best.id}
}

// placeEngine takes the candidate of least price and admits the request when
// the wait there is within its patience.
func (s *State) placeEngine(now time.Time, req Request, usable []*server) Decision {
	team, tokens := fairshare.IDOf(req.Team), s.tokens(req)
	if !req.Sent && !req.Asked {
		// A request that comes back counts again: its team asks for what it
		// did not get, and whether it comes back is only a guess.
		s.ask(now, team, tokens)
	}
	standing := s.standing(now, team)
	candidates := s.candidates(now, req, usable)
	best := slices.MinFunc(candidates, byPrice)
	limit := s.limit(req, best, standing)
	if best.wait > limit && standing.share < s.cfg.Wider {
		if other, ok := s.elsewhere(now, req, usable, standing); ok {
			best, limit = other.candidate, other.limit
		}
	}
	d := Decision{
		Server: best.server.id, Wait: best.wait, Limit: limit, Rank: best.rank, Standing: standing.share, Served: standing.served,
		Unread: int(best.unread), QueueTokens: int(best.queue.unread), QueueRuns: int(best.queue.runs),
	}
	admitted, after := req.Sent, time.Duration(0)
	if !req.Sent {
		admitted, after = s.throttle.Admits(now, team)
	}
	if (best.wait > limit || !admitted) && !req.Again {
		d.Verdict, d.Reason, d.Throttled = Refuse, ReasonWait, !admitted
		d.RetryAfter = s.returnAfter(max(best.wait-limit, after), !admitted)
		if best.wait <= limit {
			s.teams.Throttled(now, team, tokens)
		}
		return d
	}
	d.Verdict = Send
	d.Source = s.sourceOf(now, req, best, usable)
	if !req.Sent {
		s.teams.RecordStart(now, team, tokens)
		s.throttle.Sent(now, team, tokens)
	}
	d.Run = s.start(now, best.server, best.unread, req.Shared)
	d.Run.class, d.Run.output, d.Run.estimate = req.Class, req.Output, best.estimate
	return d
}

// returnAfter bounds the time after which a refused caller is asked to come back. Those of a
// throttled team are told moments that lie apart, so that they do not come all at once.
func (s *State) returnAfter(after time.Duration, throttled bool) time.Duration {
	after = max(after, s.cfg.ReturnLeast)
	if throttled {
		after += s.spread()
	}
	return min(after, s.cfg.ReturnMost)
}
