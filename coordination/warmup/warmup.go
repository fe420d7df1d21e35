package warmup

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Service describes how a service's servers warm up.
type Service struct {
	// Rate is the number of requests a second that a cold server can handle; 0: any number.
	Rate float64
	// ColdFor is for how long a server stays cold after it turned cold.
	ColdFor time.Duration
}

// State tracks the cold servers and this router's share of each one's rate. It must be used
// by one goroutine at a time.
type State struct {
	cfg  Config
	self string
	// routers maps the registered routers to the store's revisions of their registrations;
	// epoch counts the changes that affect shares.
	routers  map[string]uint64
	epoch    int
	services map[string]Service
	servers  map[string]*Server
	// changes counts the servers that were added or removed.
	changes int
	// registered is true if this router's registration is certainly valid.
	registered bool
}

// Server is one that is or was cold.
type Server struct {
	id, service string
	// coldUntil is until when the server is cold according to its entry, presumedUntil until
	// when it may be cold though its entry does not say so yet.
	coldUntil, presumedUntil time.Time
	// coldRevision is the store's revision by which the server had turned cold.
	coldRevision uint64
	// sends are the times of the last sends, the oldest first.
	sends []time.Time
	// bound is what all routers together may send in a second, 0 for any number, and share
	// this router's part of it, both as of the epoch.
	bound, share int
	epoch        int
}

// New returns the state of the router. The config must be valid.
func New(cfg Config, self string) *State {
	return &State{
		cfg: cfg, self: self, routers: make(map[string]uint64), services: make(map[string]Service),
		servers: make(map[string]*Server),
	}
}

// SetConfig changes the bounds. Sends that are already counted stay so. The config must be
// valid.
func (s *State) SetConfig(cfg Config) {
	s.cfg = cfg
	s.epoch++
}

// SetService sets how the service's servers warm up.
func (s *State) SetService(name string, service Service) {
	s.services[name] = service
	s.epoch++
}

// SetRouters sets the registered routers with the revisions of their registrations.
func (s *State) SetRouters(registered map[string]uint64) {
	s.routers = registered
	s.epoch++
}

// SetRegistered sets whether this router's registration is certainly valid, and stays so
// until the requests that are decided on now are sent.
func (s *State) SetRegistered(valid bool) { s.registered = valid }

// Entered takes from a server's entry for how much longer the server is cold, 0 if it is
// not. revision is that of the entry.
func (s *State) Entered(now time.Time, id, service string, coldFor time.Duration, revision uint64) {
	server := s.servers[id]
	if coldFor <= 0 {
		if server != nil {
			server.coldUntil = now
		}
		return
	}
	if server == nil || !now.Before(server.coldUntil) {
		// All routers divide the rate by this revision, also those that presumed the server
		// cold at an earlier one: a router that registered in between may know this revision
		// only.
		server = s.markCold(id, service, revision)
	}
	server.coldUntil = now.Add(coldFor)
}

// Presume records that the server may have turned cold by the revision though its entry
// does not say so yet.
func (s *State) Presume(now time.Time, id, service string, revision uint64) {
	server := s.servers[id]
	if server == nil || !s.isCold(now, server) {
		server = s.markCold(id, service, revision)
	}
	server.presumedUntil = now.Add(s.services[service].ColdFor)
}

// markCold records that the server turned cold. Sends that are already counted stay so.
func (s *State) markCold(id, service string, revision uint64) *Server {
	server := &Server{id: id, service: service, coldRevision: revision, epoch: -1}
	if before := s.servers[id]; before != nil {
		server.sends, server.presumedUntil = before.sends, before.presumedUntil
	}
	s.servers[id] = server
	s.changes++
	return server
}

// Tick drops the servers that are warm.
func (s *State) Tick(now time.Time) {
	for id, server := range s.servers {
		if !s.isCold(now, server) {
			delete(s.servers, id)
			s.changes++
		}
	}
}

func (s *State) isCold(now time.Time, server *Server) bool {
	return now.Before(server.coldUntil) || now.Before(server.presumedUntil)
}

// Any reports whether a server may be cold.
func (s *State) Any() bool { return len(s.servers) > 0 }

// Server returns the server, or nil if it is known to be warm. The result is valid until
// the value of Changes differs.
func (s *State) Server(id string) *Server { return s.servers[id] }

// Changes counts the servers that were added or removed.
func (s *State) Changes() int { return s.changes }

// Cold returns the number of cold servers.
func (s *State) Cold(now time.Time) int {
	n := 0
	for _, server := range s.servers {
		if s.isCold(now, server) {
			n++
		}
	}
	return n
}

// Wait returns how long this router must wait before it may send to the server: 0 if it may
// send now. bounded is true if the send must be counted by Take.
func (s *State) Wait(now time.Time, server *Server) (wait time.Duration, bounded bool) {
	if server == nil || !s.isCold(now, server) {
		return 0, false
	}
	s.refresh(server)
	switch {
	case server.bound == 0:
		return 0, false
	case server.share == 0 || !s.registered:
		return max(server.coldUntil.Sub(now), server.presumedUntil.Sub(now)), true
	case len(server.sends) < server.share:
		return 0, true
	default:
		return max(server.sends[len(server.sends)-server.share].Add(s.cfg.Window).Sub(now), 0), true
	}
}

// Take counts a request that is to be sent to the server now, and returns the time by which
// it must be sent.
func (s *State) Take(now time.Time, server *Server) (sendBy time.Time) {
	server.sends = append(server.sends, now)
	if excess := len(server.sends) - server.bound; excess > 0 {
		server.sends = append(server.sends[:0], server.sends[excess:]...)
	}
	return now.Add(s.cfg.SendWithin)
}

// bound is the number of requests that a cold server of the service may get in a second; 0:
// any.
func (s *State) bound(service string) int {
	rate := s.services[service].Rate
	if rate == 0 || s.cfg.Overrun == 0 && s.cfg.Slack == 0 {
		return 0
	}
	return max(int(rate*s.cfg.Overrun+s.cfg.Slack), 1)
}

// refresh recomputes the server's bound and this router's share after a change of routers
// or services.
func (s *State) refresh(server *Server) {
	if server.epoch != s.epoch {
		server.bound, server.epoch = s.bound(server.service), s.epoch
		server.share = s.rateShare(server)
	}
}

// rateShare returns this router's share: the bound is divided among the first routers of
// the server's order, and those that come first get one request more.
func (s *State) rateShare(server *Server) int {
	registered, known := s.routers[s.self]
	if !known || registered >= server.coldRevision {
		return 0
	}
	own, rank, n := rendezvousHash(server.id, s.self), 0, 0
	for id, revision := range s.routers {
		if revision >= server.coldRevision {
			continue
		}
		n++
		if id != s.self && rendezvousHash(server.id, id) > own {
			rank++
		}
	}
	sharing := min(n, server.bound)
	if s.cfg.Parts > 0 {
		sharing = min(sharing, s.cfg.Parts)
	}
	if rank >= sharing {
		return 0
	}
	share := server.bound / sharing
	if rank < server.bound%sharing {
		share++
	}
	return share
}

// rendezvousHash orders the routers that share the server's rate: the greatest comes first.
func rendezvousHash(server, router string) uint64 { return xxhash.Sum64String(server + "/" + router) }
