package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestport/coordination/fairshare"
	"goldcrestport/coordination/roster"
)

// ServerID names an incarnation of a server in messages between routers.
type ServerID uint32

// Use is what one router has at one server.
type Use struct {
	// Unread are the prompt tokens sent and not answered by a first event.
	Unread float64
	// Runs are the requests that have not ended.
	Runs int
}

// Digest is what a router tells the others of its own state. The figures are
// whole, not differences, so that a lost message costs nothing but time.
type Digest struct {
	// All tells that servers that are not named have no use.
	All     bool
	Servers map[ServerID]Use
	// Teams holds the use of every team, or is nil when it is left out.
	Teams map[fairshare.TeamID]fairshare.Use
	// Holdings are the shared parts that servers read, since the last digest.
	Holdings []Holding
	// Leaving are the servers that told the sender itself that they leave.
	Leaving []ServerID
}

// peer is what another router told last.
type peer struct {
	at      time.Time
	servers map[ServerID]Use
}

// peerTime is how long another router's word counts. Routers tell each other
// several times a second; one that is silent for longer is cut off or gone, and
// is presumed to be like the others.
const peerTime = time.Second

// deafTime is how long it counts at an impaired router: that hears nothing whoever speaks,
// and a flood's router is like no other.
const deafTime = 10 * time.Second

// Digest returns what this router tells the others: the servers whose use
// changed since the last digest, or all of them.
func (s *State) Digest(now time.Time, all, teams bool) Digest {
	d := Digest{All: all, Servers: make(map[ServerID]Use), Holdings: s.dueHoldings()}
	if teams {
		d.Teams = s.teams.Own(now)
	}
	for _, one := range s.servers {
		use := Use{Unread: one.unread, Runs: one.running + one.awaiting}
		if all && use.Runs > 0 || !all && use != one.told {
			d.Servers[one.number] = use
		}
		one.told = use
	}
	return d
}

// Told takes another router's digest.
func (s *State) Told(now time.Time, router string, d Digest) {
	p := s.peers[router]
	if p == nil {
		p = &peer{servers: make(map[ServerID]Use)}
		s.peers[router] = p
	}
	p.at = now
	s.check.Heard(now, router)
	s.learnHoldings(now, d.Holdings)
	if d.All {
		for id := range p.servers {
			if _, named := d.Servers[id]; !named {
				s.setOther(p, id, Use{})
			}
		}
	}
	for id, use := range d.Servers {
		s.setOther(p, id, use)
	}
	if d.Teams != nil {
		s.teams.SetPeerUse(now, router, d.Teams)
	}
}

// NumberOf returns the number by which messages name an incarnation of a server.
func NumberOf(id string, incarnation roster.Incarnation) ServerID {
	return ServerID(xxhash.Sum64String(roster.Identity(id, incarnation)))
}

// Numbered returns the known server of the number.
func (s *State) Numbered(number ServerID) (id string, incarnation roster.Incarnation, known bool) {
	one := s.numbers[number]
	if one == nil {
		return "", 0, false
	}
	return one.id, one.incarnation, true
}

// setOther replaces the peer's use of a server in the sum of all.
func (s *State) setOther(p *peer, id ServerID, use Use) {
	before := p.servers[id]
	sum := s.others[id]
	sum.Unread = max(sum.Unread+use.Unread-before.Unread, 0)
	sum.Runs += use.Runs - before.Runs
	if use == (Use{}) {
		delete(p.servers, id)
	} else {
		p.servers[id] = use
	}
	if sum.Runs <= 0 {
		delete(s.others, id)
	} else {
		s.others[id] = sum
	}
}

// PeersAge is how long ago the router that is silent for the longest told
// something; 0 without others.
func (s *State) PeersAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, p := range s.peers {
		oldest = max(oldest, now.Sub(p.at))
	}
	return oldest
}

// Tick drops the word of routers that are silent, and what servers asked for that are
// out. It is to be called several times a second.
func (s *State) Tick(now time.Time) {
	s.forgetParted(now)
	s.SelfCheck(now)
	most := peerTime
	if s.isImpaired {
		most = deafTime
	}
	for router, p := range s.peers {
		if now.Sub(p.at) <= most {
			continue
		}
		for id := range p.servers {
			s.setOther(p, id, Use{})
		}
		delete(s.peers, router)
	}
}
