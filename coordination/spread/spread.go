package spread

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the distribution state of one process. It must be used by one
// goroutine at a time.
//
// Invariant: the current revision never decreases, because an accepted
// configuration never reverts.
type State struct {
	cfg         Config
	rng         *rand.Rand
	current     uint64
	confirmedAt time.Time
	stale       bool
	started     bool
	ready       bool
	// failedAt is the first platform failure before the process was ready.
	failedAt time.Time

	// peers holds the latest revision that each peer reported.
	peers map[string]uint64
	// fetchPeer is the peer of the fetch in flight, empty for none.
	fetchPeer            string
	fetchStartedAt       time.Time
	fetchAt              time.Time
	platformCallInFlight bool
	watcher              bool
	processes            int
	nextRead             time.Time
	backoff              time.Duration
	actions              []Action
}

// New returns a state without a revision. The config must be valid.
func New(cfg Config) *State {
	return &State{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(cfg.Self))),
		peers: map[string]uint64{},
		stale: true,
	}
}

// Step applies one event at the time now and returns the actions to perform,
// in order. The slice is valid until the next call.
func (s *State) Step(now time.Time, ev Event) []Action {
	s.actions = s.actions[:0]
	switch ev := ev.(type) {
	case PeerReported:
		s.peerReported(now, ev)
	case Fetched:
		s.fetched(now, ev)
	case FetchFailed:
		s.fetchFailed(ev.Peer)
	case PlatformAnswered:
		s.platformAnswered(now, ev.Revision)
	case PlatformFailed:
		s.platformFailed(now)
	case Accepted:
		s.adopt(ev.Revision)
		s.confirm(now)
	case InstancesListed:
		s.listed(ev)
	}
	s.fetch(now)
	s.callPlatform(now)
	s.updateFreshness(now)
	s.updateReady(now)
	return s.actions
}

// Ready reports whether the process may serve: its revision was confirmed as the
// newest within StaleAfter, or the platform is down and no peer has reported a
// newer one. Once true, it stays true.
func (s *State) Ready() bool { return s.ready }

// Revision returns the current revision of this process.
func (s *State) Revision() uint64 { return s.current }

// Age returns the time since the current revision was last confirmed as the
// newest.
func (s *State) Age(now time.Time) time.Duration { return now.Sub(s.confirmedAt) }

// Stale reports whether Age exceeded StaleAfter at the last step.
func (s *State) Stale() bool { return s.stale }

// Watcher reports whether this process watches the platform for changes.
func (s *State) Watcher() bool { return s.watcher }

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

// adopt sets the current revision if the given one is newer.
func (s *State) adopt(revision uint64) {
	if revision <= s.current {
		return
	}
	s.current = revision
	s.emit(Announce{Revision: revision})
}

// confirm records that the current revision was the newest at the time t.
func (s *State) confirm(t time.Time) {
	if t.After(s.confirmedAt) {
		s.confirmedAt = t
	}
}

func (s *State) peerReported(now time.Time, ev PeerReported) {
	s.peers[ev.Peer] = ev.Revision
	if ev.Revision == s.current {
		s.confirm(now.Add(-ev.Age))
	}
	if ev.Revision > s.current && s.fetchAt.IsZero() {
		s.fetchAt = now.Add(s.jitter(s.cfg.FetchJitter))
	}
}

func (s *State) fetched(now time.Time, ev Fetched) {
	if s.fetchPeer == ev.Peer {
		s.fetchPeer = ""
	}
	s.adopt(ev.Revision)
	if ev.Revision == s.current {
		s.confirm(now.Add(-ev.Age))
	}
}

func (s *State) fetchFailed(peer string) {
	if s.fetchPeer == peer {
		s.fetchPeer = ""
	}
	// Other peers are tried until this one announces a revision again.
	delete(s.peers, peer)
}

// fetch requests the newer revision from one of the peers that are ahead, with
// one fetch in flight at a time.
func (s *State) fetch(now time.Time) {
	if s.fetchPeer != "" && now.Sub(s.fetchStartedAt) > s.cfg.FetchTimeout {
		s.fetchFailed(s.fetchPeer)
	}
	ahead := s.ahead()
	if len(ahead) == 0 {
		s.fetchAt = time.Time{}
		return
	}
	if s.fetchPeer != "" || now.Before(s.fetchAt) {
		return
	}
	s.fetchPeer = ahead[s.rng.IntN(len(ahead))]
	s.fetchStartedAt = now
	s.emit(Fetch{Peer: s.fetchPeer})
}

// ahead returns the peers that reported a newer revision, sorted.
func (s *State) ahead() []string {
	var out []string
	for p, r := range s.peers {
		if r > s.current {
			out = append(out, p)
		}
	}
	sort.Strings(out)
	return out
}

func (s *State) platformAnswered(now time.Time, revision uint64) {
	s.platformCallInFlight = false
	s.backoff = 0
	s.adopt(revision)
	s.confirm(now)
	s.nextRead = now
	if !s.watcher {
		s.nextRead = now.Add(s.readInterval())
	}
}

func (s *State) platformFailed(now time.Time) {
	s.platformCallInFlight = false
	if s.failedAt.IsZero() {
		s.failedAt = now
	}
	s.backoff = min(max(2*s.backoff, s.cfg.BackoffMin), s.cfg.BackoffMax)
	delay := s.backoff
	if !s.watcher {
		// Spreads the reads of the processes that are not watchers, so that
		// they don't all arrive at once when the platform recovers.
		delay = max(delay, s.readInterval()/2)
	}
	s.nextRead = now.Add(delay/2 + s.jitter(delay))
}

// readInterval returns a random interval until the next periodic read; its mean
// keeps the reads of all processes together within the read budget.
func (s *State) readInterval() time.Duration {
	budgeted := time.Duration(float64(s.processes) / s.cfg.ReadBudget * float64(time.Second))
	interval := max(budgeted, s.cfg.MinReadEvery)
	return interval*3/4 + s.jitter(interval/2)
}

func (s *State) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(limit)))
}

// callPlatform watches the platform if this process is a watcher. Otherwise it
// reads the platform periodically, as a fallback for messages from peers. At most
// one call is in flight.
func (s *State) callPlatform(now time.Time) {
	if s.nextRead.IsZero() {
		s.nextRead = now.Add(s.jitter(s.cfg.StartJitter))
	}
	if s.platformCallInFlight || now.Before(s.nextRead) {
		return
	}
	if !s.watcher && s.current > 0 && s.Age(now) < s.cfg.StaleAfter/2 {
		// A recent confirmation by a peer replaces the read.
		s.nextRead = now.Add(s.readInterval())
		return
	}
	s.platformCallInFlight = true
	if s.watcher && s.started {
		s.emit(Watch{})
		return
	}
	s.started = true
	s.emit(Read{})
}

// listed chooses the watchers of the data centre by rendezvous hashing, so that
// every process makes the same choice without coordination.
func (s *State) listed(ev InstancesListed) {
	s.processes = ev.Processes
	if !s.cfg.Watches {
		return
	}
	higherScores := 0
	mine := watcherScore(s.cfg.Self)
	for _, m := range ev.Routers {
		if m.DataCentre == s.cfg.DataCentre && m.ID != s.cfg.Self && watcherScore(m.ID) > mine {
			higherScores++
		}
	}
	s.watcher = higherScores < s.cfg.Watchers
}

func watcherScore(id string) uint64 { return xxhash.Sum64String("watcher/" + id) }

// updateReady sets ready once and never clears it: a process that serves keeps
// serving when the platform fails later.
func (s *State) updateReady(now time.Time) {
	if s.ready || s.current == 0 || len(s.ahead()) > 0 {
		return
	}
	if !s.stale {
		s.ready = true
		return
	}
	if s.failedAt.IsZero() {
		return
	}
	enough := len(s.peers) >= s.cfg.StartPeers
	s.ready = enough || now.Sub(s.failedAt) > s.cfg.StartWait
}

func (s *State) updateFreshness(now time.Time) {
	stale := s.confirmedAt.IsZero() || now.Sub(s.confirmedAt) > s.cfg.StaleAfter
	if stale == s.stale {
		return
	}
	s.stale = stale
	s.emit(Freshness{Stale: stale})
}
