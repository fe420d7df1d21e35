package dispatch

import (
	"maps"
	"slices"
	"time"
)

// Snapshot is the state of the queues and sidecars at one time, for display to
// operators.
type Snapshot struct {
	Queues   []QueueState
	Sidecars []SidecarState
}

// QueueState describes the queued work of one team for one service.
type QueueState struct {
	Service string
	Team    string
	Waiting int
	Bytes   int64
	// Oldest is how long the oldest request has waited.
	Oldest time.Duration
}

// SidecarState describes a sidecar with an open control stream.
type SidecarState struct {
	Sidecar  string
	Service  string
	Slots    int
	Free     int
	Draining bool
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
				Oldest:  q.oldestWait(now),
			})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.sidecars)) {
		sc := s.sidecars[id]
		out.Sidecars = append(out.Sidecars, SidecarState{Sidecar: id, Service: sc.service, Slots: sc.slots, Free: sc.free, Draining: sc.draining})
	}
	return out
}
