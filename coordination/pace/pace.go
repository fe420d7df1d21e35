package pace

import (
	"math"
	"time"
)

// ServerID identifies an incarnation of a server in reports between routers.
type ServerID uint32

// State holds what is known of the services and servers. It must be used by one goroutine at a time.
type State struct {
	cfg      Config
	services map[string]*service
	servers  map[ServerID]*Server
}

// New returns a state without servers. The config must be valid.
func New(cfg Config) *State {
	return &State{cfg: cfg, services: make(map[string]*service), servers: make(map[ServerID]*Server)}
}

// SetMode sets for which services the estimate is used.
func (s *State) SetMode(mode Mode) { s.cfg.Mode = mode }

// Add adds an incarnation of a server, at the pace of its service.
func (s *State) Add(id ServerID, name string) *Server {
	srv := &Server{state: s, service: s.service(name), id: id}
	s.servers[id] = srv
	return srv
}

// Remove removes a server. Its service keeps what was learnt from it.
func (s *State) Remove(id ServerID) { delete(s.servers, id) }

func (s *State) service(name string) *service {
	one := s.services[name]
	if one == nil {
		one = &service{name: name, overhead: s.cfg.Overhead, slowdown: 1}
		s.services[name] = one
	}
	return one
}

// service is what is known of all servers of a service.
type service struct {
	name string
	// prefills is the evidence from all its servers.
	prefills evidence
	overhead time.Duration
	// slowdown is the mean of the reported slowdowns, reportedAt the time of the last one; zero: none.
	slowdown   float64
	reportedAt time.Time
	// tokenTime is the time per prompt token in milliseconds as of tokenTimeAt: it is needed for
	// each server of a placement.
	tokenTime   float64
	tokenTimeAt time.Time
	errors      errorMean
}

// tokenTimeOf returns the service's time per prompt token in milliseconds.
func (c Config) tokenTimeOf(now time.Time, one *service) float64 {
	if !one.tokenTimeAt.Equal(now) || one.tokenTime == 0 {
		one.tokenTime = one.prefills.mean(now, c.Decay, c.ServicePrior, 1/c.Rate)
		one.tokenTimeAt = now
	}
	return one.tokenTime
}

// Server is one incarnation of a server.
type Server struct {
	state    *State
	service  *service
	id       ServerID
	prefills evidence
	// unsent is this router's evidence that is in no report yet.
	unsent evidence
	// slowdown is what the server reported at reportedAt; zero: nothing.
	slowdown   float64
	reportedAt time.Time
}

// InUse reports whether the estimate is to be used for the server.
func (s *Server) InUse(now time.Time) bool {
	switch s.state.cfg.Mode {
	case On:
		return true
	case Off:
		return false
	default:
		return s.service.reporting(now, s.state.cfg.ReportingTTL)
	}
}

func (one *service) reporting(now time.Time, ttl time.Duration) bool {
	return !one.reportedAt.IsZero() && now.Sub(one.reportedAt) <= ttl
}

// TokenTime returns the time in milliseconds in which the server usually prefills a prompt token.
func (s *Server) TokenTime(now time.Time) float64 {
	cfg := &s.state.cfg
	usual := cfg.tokenTimeOf(now, s.service)
	own := s.prefills.mean(now, cfg.Decay, cfg.ServerPrior, usual)
	return min(max(own, usual/cfg.MaxRatio), usual*cfg.MaxRatio)
}

// ServiceTokenTime returns the same for the servers of its service together.
func (s *Server) ServiceTokenTime(now time.Time) float64 {
	return s.state.cfg.tokenTimeOf(now, s.service)
}

// Overhead returns the time to a first token without queue and prefill.
func (s *Server) Overhead() time.Duration { return s.service.overhead }

// Slowdown returns how much longer than usual work is expected to take there now, by its last report.
func (s *Server) Slowdown(now time.Time) float64 {
	if s.reportedAt.IsZero() {
		return 1
	}
	weight := max(1-float64(now.Sub(s.reportedAt))/float64(s.state.cfg.ReportTTL), 0)
	return 1 + weight*(s.slowdown-1)
}

// Limits of a reported slowdown, and the weight of one report in the mean of the service.
const (
	minSlowdown  = 0.2
	maxSlowdown  = 20
	slowdownGain = 0.01
)

// Reported records a slowdown that the server reported, 1 being as usual.
func (s *Server) Reported(now time.Time, slowdown float64) {
	s.slowdown, s.reportedAt = min(max(slowdown, minSlowdown), maxSlowdown), now
	s.service.reportedAt = now
	s.service.slowdown += slowdownGain * (s.slowdown - s.service.slowdown)
}

// Observation is the time to a first token and what it was spent on.
type Observation struct {
	// Own is the run's own prefill and Queue what waited before it, in prompt tokens.
	Own, Queue float64
	// Uncertain is the part of Own that may have been cached.
	Uncertain float64
	// Slowdown is what the server reported with the answer; 0: nothing.
	Slowdown float64
	// Took is the time to the first token.
	Took time.Duration
}

// Observe records an observation. One whose queue or prefill is not well known is ignored.
func (s *Server) Observe(now time.Time, o Observation) {
	cfg := &s.state.cfg
	slowdown := o.Slowdown
	if slowdown <= 0 {
		slowdown = 1
	}
	slowdown = min(max(slowdown, minSlowdown), maxSlowdown)
	tokens := o.Own + o.Queue
	if tokens <= cfg.ShortTokens {
		s.observeOverhead(now, tokens, slowdown, o.Took)
		return
	}
	if o.Own < cfg.MinTokens || o.Queue > cfg.QueueShare*o.Own || o.Uncertain > cfg.UncertainShare*o.Own {
		return
	}
	tokenTime := s.plausible(now, millis(o.Took-s.service.overhead)/slowdown/tokens)
	if tokenTime > s.TokenTime(now) {
		tokens *= cfg.LaterWeight
	}
	s.add(now, tokens, tokenTime)
	s.unsent.add(now, cfg.Decay, tokens, tokenTime, cfg.MaxServerEvidence)
}

// plausible limits an observed time per token to what is near the estimate: an outlier, such as a run behind a
// queue that was not known, moves the estimate by a bounded amount.
func (s *Server) plausible(now time.Time, tokenTime float64) float64 {
	expected, outlier := s.TokenTime(now), s.state.cfg.Outlier
	return min(max(tokenTime, expected/outlier), expected*outlier)
}

// add records evidence from this router or another one.
func (s *Server) add(now time.Time, tokens, tokenTime float64) {
	cfg := &s.state.cfg
	s.prefills.add(now, cfg.Decay, tokens, tokenTime, cfg.MaxServerEvidence)
	s.service.prefills.add(now, cfg.Decay, tokens, tokenTime, cfg.MaxServiceEvidence)
	s.service.tokenTime = 0
}

// Steps and limit of the estimated overhead. It is a low quantile, as a queue that is not known can only
// lengthen an observed time.
const (
	overheadStep     = time.Millisecond
	overheadQuantile = 0.3
	maxOverhead      = 250 * time.Millisecond
)

func (s *Server) observeOverhead(now time.Time, tokens, slowdown float64, took time.Duration) {
	rest := millis(took) - tokens*s.TokenTime(now)*slowdown
	step := -(1 - overheadQuantile) * float64(overheadStep)
	if rest > millis(s.service.overhead) {
		step = overheadQuantile * float64(overheadStep)
	}
	s.service.overhead = min(max(s.service.overhead+time.Duration(step), 0), maxOverhead)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// evidence is a decaying sum of prefilled tokens and of the time that they took.
type evidence struct {
	tokens, ms float64
	at         time.Time
}

func (e *evidence) weight(now time.Time, decay time.Duration) float64 {
	if e.at.IsZero() {
		return 0
	}
	return math.Exp(-float64(max(now.Sub(e.at), 0)) / float64(decay))
}

// add adds tokens at a time per token, and limits the sum of tokens.
func (e *evidence) add(now time.Time, decay time.Duration, tokens, tokenTime, limit float64) {
	w := e.weight(now, decay)
	e.tokens, e.ms, e.at = e.tokens*w+tokens, e.ms*w+tokens*tokenTime, now
	if e.tokens > limit {
		e.ms *= limit / e.tokens
		e.tokens = limit
	}
}

// mean returns the time per token, with a prior of the given weight in tokens.
func (e *evidence) mean(now time.Time, decay time.Duration, priorTokens, prior float64) float64 {
	w := e.weight(now, decay)
	return (e.ms*w + priorTokens*prior) / (e.tokens*w + priorTokens)
}
