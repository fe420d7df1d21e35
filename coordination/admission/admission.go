package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestport/coordination/fairshare"
	"goldcrestport/coordination/health"
)

// State holds the servers and this router's runs. Invariant: the counts of a
// server are the sums over the runs that have not ended.
type State struct {
	cfg     Config
	servers map[string]*server
	pools   map[string]*pool
	// routers is the number of routers that share the servers, at least 1.
	routers int
	peers   map[string]*peer
	// others is the sum of what the peers told.
	others  map[ServerID]Use
	teams   *fairshare.Meter
	outputs outputs
	// capacity is the tokens that all engines produce in the teams' window;
	// 0: unknown.
	capacity float64
}

// pool holds the servers of one service.
type pool struct {
	servers []*server
	engine  bool
	// runTime is the mean time from a run's first event to its end.
	runTime time.Duration
}

// New returns a state without servers. The config must be valid.
func New(cfg Config) *State {
	return &State{
		cfg: cfg, servers: make(map[string]*server), pools: make(map[string]*pool), routers: 1,
		peers: make(map[string]*peer), others: make(map[ServerID]Use), teams: fairshare.NewMeter(cfg.Window), outputs: make(outputs),
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

// SetEngine tells whether the service's servers are model engines.
func (s *State) SetEngine(service string, engine bool) { s.pool(service).engine = engine }

// Add takes a server in.
func (s *State) Add(id, service string, slots int) {
	if s.servers[id] != nil {
		return
	}
	one := &server{
		id: id, service: service, slots: max(slots, 1),
		seed: xxhash.Sum64String(id), health: health.New(s.cfg.Health), parts: make(map[uint64]time.Time),
	}
	one.number = ServerID(one.seed)
	s.servers[id] = one
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
	usable := s.usable(now, p, req.Avoid)
	if len(usable) == 0 {
		return Decision{Verdict: NoServer, Reason: ReasonNoServer, RetryAfter: s.cfg.ReturnLeast}
	}
	if p.engine {
		return s.placeEngine(now, req, usable)
	}
	return s.placePlain(now, usable)
}

// usable returns the servers that may get work: those that are not ejected,
// one that is due a probe, and all when every one is ejected.
func (s *State) usable(now time.Time, p *pool, avoid []string) []*server {
	out := make([]*server, 0, len(p.servers))
	for _, one := range p.servers {
		if slices.Contains(avoid, one.id) {
			continue
		}
		if one.health.Ejected() && !one.health.ProbeDue(now) {
			continue
		}
		out = append(out, one)
	}
	return out
}

// placePlain takes the server with the least work in relation to its slots.
// The other routers are presumed to send as this one does.
func (s *State) placePlain(now time.Time, usable []*server) Decision {
	best := slices.MinFunc(usable, func(a, b *server) int { return cmp.Compare(s.busy(now, a), s.busy(now, b)) })
	return Decision{Verdict: Send, Run: s.start(now, best, 0, nil), Server: best.id}
}

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
	// price is the wait plus what reading shared parts again costs others.
	price time.Duration
}

// placeEngine takes the candidate of least price and admits the request when
// the wait there is within its patience.
func (s *State) placeEngine(now time.Time, req Request, usable []*server) Decision {
	team, tokens := fairshare.IDOf(req.Team), s.tokens(req)
	if !req.Sent {
		// A request that comes back counts again: its team asks for what it
		// did not get, and whether it comes back is only a guess.
		s.teams.Ask(now, team, tokens)
	}
	standing := s.teams.Standing(now, team, s.capacity)
	candidates := s.candidates(now, req, usable)
	best := slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.price, b.price) })
	limit := s.patience(req, best, standing)
	d := Decision{Server: best.server.id, Wait: best.wait, Limit: limit, Rank: best.rank, Standing: standing}
	if best.wait > limit && !req.Again {
		d.Verdict, d.Reason = Refuse, ReasonWait
		d.RetryAfter = min(max(best.wait-limit, s.cfg.ReturnLeast), s.cfg.ReturnMost)
		return d
	}
	d.Verdict = Send
	if !req.Sent {
		s.teams.Begin(now, team, tokens)
	}
	d.Run = s.start(now, best.server, best.unread, req.Shared)
	d.Run.class, d.Run.output = req.Class, req.Output
	return d
}

// candidates returns the first servers in the order of the request's last
// shared part. Without shared parts every server is a candidate.
func (s *State) candidates(now time.Time, req Request, usable []*server) []candidate {
	order := usable
	if n := len(req.Shared); n > 0 {
		order = first(usable, req.Shared[n-1].ID, s.cfg.Candidates)
	}
	out := make([]candidate, len(order))
	for i, one := range order {
		out[i] = s.assess(now, req, one, i)
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

// unknownShare is the part of a shared prompt part that is presumed to be read
// at its first server when this router has not sent it there lately: another
// one may have.
const unknownShare = 0.5

// assess estimates what the request meets at the server.
func (s *State) assess(now time.Time, req Request, one *server, rank int) candidate {
	c := candidate{server: one, rank: rank, unread: float64(req.Prompt), wait: s.wait(one)}
	var again float64
	for _, part := range req.Shared {
		tokens := float64(part.Tokens)
		switch {
		case one.holds(now, part.ID, s.cfg.BeliefTime):
			c.unread -= tokens
		case rank == 0:
			c.unread -= tokens * (1 - unknownShare)
		default:
			again += tokens
		}
	}
	c.unread = max(c.unread, 0)
	c.price = c.wait + s.reading(c.unread) + s.reading(again*s.cfg.SpillWeight)
	return c
}

// wait estimates the time to the first token of a request that arrives now,
// from the prompts that are not read yet and the generations that run. Routers
// that told nothing lately are presumed to have sent as much as the others do
// on average.
func (s *State) wait(one *server) time.Duration {
	total := s.others[one.number]
	total.Unread += one.unread
	total.Runs += one.running + one.awaiting
	told := 1 + len(s.peers)
	scale := max(float64(s.routers)/float64(told), 1)
	runs := float64(total.Runs) * scale
	crowd := time.Duration(runs * float64(s.cfg.RunCost))
	return s.reading(total.Unread*scale) + crowd + s.slotWait(one, runs)
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

func (s *State) start(now time.Time, one *server, unread float64, shared []Part) *Run {
	r := &Run{server: one, unread: unread}
	if one.health.Ejected() {
		one.health.ProbeSent()
		r.probe = true
	}
	one.awaiting++
	one.unread += unread
	one.use(now, shared, s.cfg.BeliefTime)
	return r
}

// runTimeGain is the weight of one run in the mean time of runs.
const runTimeGain = 0.02

// FirstByte notes that the answer of the run began.
func (s *State) FirstByte(now time.Time, r *Run) {
	if r.first || r.ended {
		return
	}
	r.first, r.began = true, now
	r.server.unread -= r.unread
	r.server.awaiting--
	r.server.running++
}

// Ended notes that the run ended. It reports whether the server was ejected or
// taken in again.
func (s *State) Ended(now time.Time, r *Run, result health.Result) (changed bool) {
	if r.ended {
		return false
	}
	s.FirstByte(now, r)
	r.ended = true
	if result == health.Success {
		p := s.pool(r.server.service)
		p.runTime += time.Duration(runTimeGain * float64(now.Sub(r.began)-p.runTime))
	}
	r.server.running--
	before := r.server.health.Ejected()
	s.record(now, r, result)
	return r.server.health.Ejected() != before
}

// Generated notes the tokens of a complete answer.
func (s *State) Generated(r *Run, tokens int) { s.outputs.learn(r.class, r.output, float64(tokens)) }

// Reported takes the server's own word on its load.
func (s *State) Reported(now time.Time, r *Run, load Load) {
	r.server.load, r.server.loadAt = load, now
	if load.Slots > 0 {
		r.server.slots = load.Slots
	}
}

func (s *State) record(now time.Time, r *Run, result health.Result) {
	one := r.server
	if r.probe {
		one.health.ProbeEnded(now, result)
		return
	}
	one.health.Record(result)
	if one.health.Suspect() && s.mayEject(one) {
		one.health.Eject(now)
	}
}

// mayEject bounds the share of ejected servers.
func (s *State) mayEject(one *server) bool {
	p := s.pool(one.service)
	ejected := 1
	for _, other := range p.servers {
		if other != one && other.health.Ejected() {
			ejected++
		}
	}
	return float64(ejected) <= s.cfg.EjectShare*float64(len(p.servers))
}

// Ejected returns the ids of the ejected servers, sorted.
func (s *State) Ejected() []string {
	var out []string
	for id, one := range s.servers {
		if one.health.Ejected() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
