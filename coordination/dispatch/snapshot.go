package dispatch

import (
	"maps"
	"slices"
	"time"
)

// Snapshot is what the router holds and knows at one time, for people.
type Snapshot struct {
	Queues []QueueState
	Peers  []PeerState
}

// QueueState is the waiting work of one team for one service.
type QueueState struct {
	Service string
	Team    string
	Waiting int
	Bytes   int64
	Oldest  time.Duration
}

// PeerState is one sidecar with an open control stream.
type PeerState struct {
	Sidecar string
	Service string
	Slots   int
	Free    int
	Leaving bool
}

// Snapshot returns the non-empty queues and the sidecars, sorted by name.
func (s *State) Snapshot(now time.Time) Snapshot {
	var out Snapshot
	for _, p := range s.sortedPools() {
		for _, q := range p.active {
			if q.len() == 0 {
				continue
			}
			out.Queues = append(out.Queues, QueueState{
				Service: p.service,
				Team:    q.team,
				Waiting: q.len(),
				Bytes:   q.bytes,
				Oldest:  q.wait(now),
			})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.peers)) {
		c := s.peers[id]
		out.Peers = append(out.Peers, PeerState{Sidecar: id, Service: c.service, Slots: c.slots, Free: c.free, Leaving: c.leaving})
	}
	return out
}
