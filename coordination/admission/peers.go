package admission

import (
	"time"

	"goldcrestport/coordination/fairshare"
)

// Use is what one router has at one server.
type Use struct {
	// Unread are the prompt tokens sent and not answered by a first event.
	Unread float64
	// Runs are the requests that have not ended.
	Runs int
}

// Digest is what routers tell each other: their own state, whole, so that a
// lost message costs nothing but time.
type Digest struct {
	// Servers maps the hash of a server's id to the use of it. Servers without
	// use are left out.
	Servers map[uint64]Use
	Teams   map[fairshare.TeamID]fairshare.Use
}

// peer is another router's last digest.
type peer struct {
	at      time.Time
	servers map[uint64]Use
}

// peerTime is how long another router's word counts. Routers tell each other
// several times a second; one that is silent for longer is cut off or gone, and
// is presumed to be like the others.
const peerTime = time.Second

// Digest returns what this router tells the others.
func (s *State) Digest(now time.Time) Digest {
	d := Digest{Servers: make(map[uint64]Use), Teams: s.teams.Own(now)}
	for _, one := range s.servers {
		if runs := one.running + one.awaiting; runs > 0 {
			d.Servers[one.seed] = Use{Unread: one.unread, Runs: runs}
		}
	}
	return d
}

// Told takes another router's digest.
func (s *State) Told(now time.Time, router string, d Digest) {
	s.peers[router] = peer{at: now, servers: d.Servers}
	s.teams.Reported(now, router, d.Teams)
	for id, p := range s.peers {
		if now.Sub(p.at) > forgetPeer {
			delete(s.peers, id)
		}
	}
}

// forgetPeer is when a silent router's word is dropped.
const forgetPeer = 10 * time.Second
