package warmup

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Service says how a service's servers warm up.
type Service struct {
	// Rate is the requests that a cold server bears in a second; 0: any number.
	Rate float64
	// ColdFor is how long a server is cold after it turned so.
	ColdFor time.Duration
}

// State knows the cold servers and this router's part of each one's rate. It must
// be used by one goroutine at a time.
type State struct {
	cfg  Config
	self string
	// routers maps the registered routers to the store's revisions of their
	// registrations; epoch counts its changes.
	routers  map[string]uint64
	epoch    int
	services map[string]Service
	servers  map[string]*Server
	// changes counts the servers that came or went.
	changes int
	// registered tells that this router's registration surely stands.
	registered bool
}

// Server is one that is or was cold.
type Server struct {
	id, service string
	// told is until when its entry says that it is cold, presumed until when it
	// may be though its entry does not say so yet.
	told, presumed time.Time
	// since is the store's revision by which it had turned cold.
	since uint64
	// sent are the last sends, the oldest first.
	sent []time.Time
	// bound is what all routers together may send in a second, 0 for any number,
	// and part this router's share of it, both as of the epoch.
	bound, part int
	epoch       int
}

// New returns the state of the router. The config must be valid.
func New(cfg Config, self string) *State {
	return &State{
		cfg: cfg, self: self, routers: make(map[string]uint64), services: make(map[string]Service),
		servers: make(map[string]*Server),
	}
}

// SetConfig changes the bounds. What was sent counts on. The config must be valid.
func (s *State) SetConfig(cfg Config) {
	s.cfg = cfg
	s.epoch++
}

// SetService tells how the service's servers warm up.
func (s *State) SetService(name string, service Service) {
	s.services[name] = service
	s.epoch++
}

// SetRouters takes the registered routers with the revisions of their
// registrations.
func (s *State) SetRouters(registered map[string]uint64) {
	s.routers = registered
	s.epoch++
}

// SetRegistered tells whether this router's registration surely stands, and will
// until what is decided now was sent.
func (s *State) SetRegistered(surely bool) { s.registered = surely }

// Entered takes what a server's entry says: for how long the server is cold yet, 0
// if it is not. Revision is that of the entry.
func (s *State) Entered(now time.Time, id, service string, coldFor time.Duration, revision uint64) {
	one := s.servers[id]
	if coldFor <= 0 {
		if one != nil {
			one.told = now
		}
		return
	}
	if one == nil || !now.Before(one.told) {
		// All routers deal its rate out by this revision: one that registered after the server
		// was presumed to be cold may go by it alone.
		one = s.turn(id, service, revision)
	}
	one.told = now.Add(coldFor)
}

// Presume notes that the server may have turned cold by the revision though its
// entry does not say so yet.
func (s *State) Presume(now time.Time, id, service string, revision uint64) {
	one := s.servers[id]
	if one == nil || !s.cold(now, one) {
		one = s.turn(id, service, revision)
	}
	one.presumed = now.Add(s.services[service].ColdFor)
}

// turn notes that the server turned cold. Sends that are counted already stay so.
func (s *State) turn(id, service string, revision uint64) *Server {
	one := &Server{id: id, service: service, since: revision, epoch: -1}
	if before := s.servers[id]; before != nil {
		one.sent, one.presumed = before.sent, before.presumed
	}
	s.servers[id] = one
	s.changes++
	return one
}

// Tick drops the servers that are warm.
func (s *State) Tick(now time.Time) {
	for id, one := range s.servers {
		if !s.cold(now, one) {
			delete(s.servers, id)
			s.changes++
		}
	}
}

func (s *State) cold(now time.Time, one *Server) bool {
	return now.Before(one.told) || now.Before(one.presumed)
}

// Any reports whether a server may be cold.
func (s *State) Any() bool { return len(s.servers) > 0 }

// Server returns the server, or nil if it is known to be warm. What it returns holds
// until Changes does.
func (s *State) Server(id string) *Server { return s.servers[id] }

// Changes counts the servers that came or went.
func (s *State) Changes() int { return s.changes }

// Cold returns the number of cold servers.
func (s *State) Cold(now time.Time) int {
	n := 0
	for _, one := range s.servers {
		if s.cold(now, one) {
			n++
		}
	}
	return n
}

// Wait returns how long this router must wait before it may send to the server: 0
// if it may now. Bounded tells that the send is to be counted by Take.
func (s *State) Wait(now time.Time, one *Server) (wait time.Duration, bounded bool) {
	if one == nil || !s.cold(now, one) {
		return 0, false
	}
	s.refresh(one)
	switch {
	case one.bound == 0:
		return 0, false
	case one.part == 0 || !s.registered:
		return max(one.told.Sub(now), one.presumed.Sub(now)), true
	case len(one.sent) < one.part:
		return 0, true
	default:
		return max(one.sent[len(one.sent)-one.part].Add(s.cfg.Window).Sub(now), 0), true
	}
}

// Take counts a request that is to be sent to the server now, and returns until
// when it must have left.
func (s *State) Take(now time.Time, one *Server) (sendBy time.Time) {
	one.sent = append(one.sent, now)
	if excess := len(one.sent) - one.bound; excess > 0 {
		one.sent = append(one.sent[:0], one.sent[excess:]...)
	}
	return now.Add(s.cfg.SendWithin)
}

// bound is the number of requests that a cold server of the service may get in a
// second; 0: any.
func (s *State) bound(service string) int {
	rate := s.services[service].Rate
	if rate == 0 || s.cfg.Overrun == 0 && s.cfg.Slack == 0 {
		return 0
	}
	return max(int(rate*s.cfg.Overrun+s.cfg.Slack), 1)
}

// refresh works out the server's bound and this router's part anew when routers or
// services changed.
func (s *State) refresh(one *Server) {
	if one.epoch != s.epoch {
		one.bound, one.epoch = s.bound(one.service), s.epoch
		one.part = s.deal(one)
	}
}

// deal works out this router's part: the bound is dealt out to the first routers of
// the server's order, one request more to those that come before.
func (s *State) deal(one *Server) int {
	registered, known := s.routers[s.self]
	if !known || registered >= one.since {
		return 0
	}
	own, rank, n := order(one.id, s.self), 0, 0
	for id, revision := range s.routers {
		if revision >= one.since {
			continue
		}
		n++
		if id != s.self && order(one.id, id) > own {
			rank++
		}
	}
	parts := min(n, one.bound)
	if s.cfg.Parts > 0 {
		parts = min(parts, s.cfg.Parts)
	}
	if rank >= parts {
		return 0
	}
	part := one.bound / parts
	if rank < one.bound%parts {
		part++
	}
	return part
}

// order is the place of a router among those that share the server's rate: the
// greatest first.
func order(server, router string) uint64 { return xxhash.Sum64String(server + "/" + router) }
