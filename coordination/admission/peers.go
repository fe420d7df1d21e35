package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestport/coordination/fairshare"
	"goldcrestport/coordination/roster"
)

// ServerID identifies an incarnation of a server in messages between routers.
type ServerID uint32

// InFlight is the work that one router has in flight at one server.
type InFlight struct {
	// Unread is the number of prompt tokens that were sent and have had no first
	// event yet.
	Unread float64
	// Runs is the number of requests that have not ended.
	Runs int
}

// Digest is what a router sends to the others of its own state. Its figures are
// absolute, not differences, so that a lost message only delays an update.
type Digest struct {
	// All is set if nothing is in flight at servers that are not listed.
	All     bool
	Servers map[ServerID]InFlight
	// Teams holds the usage of every team, or is nil if it is left out.
	Teams map[fairshare.TeamID]fairshare.Use
	// CachedPrefixes are the shared prefixes that servers prefilled since the last
	// digest.
	CachedPrefixes []CachedPrefix
	// ShuttingDown are the servers that announced their shutdown to the sender
	// itself.
	ShuttingDown []ServerID
}

// peer is what another router sent last.
type peer struct {
	receivedAt time.Time
	inFlight   map[ServerID]InFlight
}

// peerTTL is how long the digest of another router is used. Routers send several
// digests a second; one that is silent for longer is partitioned or gone, and is
// assumed to have as much in flight as the others on average.
const peerTTL = time.Second

// impairedPeerTTL replaces peerTTL while this router is impaired: it then receives
// nothing whoever sends, and the others do not have as much in flight as a flooded
// router.
const impairedPeerTTL = 10 * time.Second

// Digest returns what this router sends to the others: the servers whose in-flight
// work changed since the last digest, or all of them.
func (s *State) Digest(now time.Time, all, teams bool) Digest {
	d := Digest{All: all, Servers: make(map[ServerID]InFlight), CachedPrefixes: s.takeAnnouncements()}
	if teams {
		d.Teams = s.teams.Own(now)
	}
	for _, srv := range s.servers {
		inFlight := InFlight{Unread: srv.pendingTokens, Runs: srv.running + srv.awaiting}
		if all && inFlight.Runs > 0 || !all && inFlight != srv.lastSent {
			d.Servers[srv.number] = inFlight
		}
		srv.lastSent = inFlight
	}
	return d
}

// ReceiveDigest takes another router's digest.
func (s *State) ReceiveDigest(now time.Time, router string, d Digest) {
	p := s.peers[router]
	if p == nil {
		p = &peer{inFlight: make(map[ServerID]InFlight)}
		s.peers[router] = p
	}
	p.receivedAt = now
	s.selfCheck.Heard(now, router)
	s.receiveAnnouncements(now, d.CachedPrefixes)
	if d.All {
		for id := range p.inFlight {
			if _, listed := d.Servers[id]; !listed {
				s.setPeerInFlight(p, id, InFlight{})
			}
		}
	}
	for id, inFlight := range d.Servers {
		s.setPeerInFlight(p, id, inFlight)
	}
	if d.Teams != nil {
		s.teams.SetPeerUse(now, router, d.Teams)
	}
}

// NumberOf returns the number that identifies an incarnation of a server in
// messages.
func NumberOf(id string, incarnation roster.Incarnation) ServerID {
	return ServerID(xxhash.Sum64String(roster.Identity(id, incarnation)))
}

// ServerByNumber returns the known server with the number.
func (s *State) ServerByNumber(number ServerID) (id string, incarnation roster.Incarnation, known bool) {
	srv := s.numbers[number]
	if srv == nil {
		return "", 0, false
	}
	return srv.id, srv.incarnation, true
}

// setPeerInFlight replaces the peer's in-flight work at a server in the sum over all
// peers.
func (s *State) setPeerInFlight(p *peer, id ServerID, inFlight InFlight) {
	before := p.inFlight[id]
	sum := s.peersInFlight[id]
	sum.Unread = max(sum.Unread+inFlight.Unread-before.Unread, 0)
	sum.Runs += inFlight.Runs - before.Runs
	if inFlight == (InFlight{}) {
		delete(p.inFlight, id)
	} else {
		p.inFlight[id] = inFlight
	}
	if srv := s.numbers[id]; srv != nil {
		srv.peerRuns = max(sum.Runs, 0)
	}
	if sum.Runs <= 0 {
		delete(s.peersInFlight, id)
	} else {
		s.peersInFlight[id] = sum
	}
}

// PeerStaleness returns the time since the last digest of the router that has been
// silent for the longest; 0 without other routers.
func (s *State) PeerStaleness(now time.Time) time.Duration {
	var oldest time.Duration
	for _, p := range s.peers {
		oldest = max(oldest, now.Sub(p.receivedAt))
	}
	return oldest
}

// Tick drops the state of routers that are silent, and the ended back-offs of
// servers that were removed. It is to be called several times a second.
func (s *State) Tick(now time.Time) {
	s.dropExpiredBackoffs(now)
	s.SelfCheck(now)
	ttl := peerTTL
	if s.isImpaired {
		ttl = impairedPeerTTL
	}
	for router, p := range s.peers {
		if now.Sub(p.receivedAt) <= ttl {
			continue
		}
		for id := range p.inFlight {
			s.setPeerInFlight(p, id, InFlight{})
		}
		delete(s.peers, router)
	}
}
