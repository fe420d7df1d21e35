package spread

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the spread as one process sees it. It must be used by one goroutine
// at a time.
//
// Invariant: the held revision never falls (brief: an accepted configuration
// never reverts).
type State struct {
	cfg       Config
	rng       *rand.Rand
	held      uint64
	confirmed time.Time
	stale     bool
	started   bool
	ready     bool
	// failedAt is the first platform failure before the process was ready.
	failedAt time.Time

	// peers that announced a revision, newest word of each.
	peers map[string]uint64
	// asked is the peer of the fetch on the way, empty for none.
	asked     string
	askedAt   time.Time
	fetchAt   time.Time
	atStore   bool
	watcher   bool
	processes int
	nextRead  time.Time
	backoff   time.Duration
	out       []Action
}

// New returns a state that holds nothing. The config must be valid.
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
	s.out = s.out[:0]
	switch ev := ev.(type) {
	case Heard:
		s.heard(now, ev)
	case Fetched:
		s.fetched(now, ev)
	case FetchFailed:
		s.fetchFailed(ev.Peer)
	case PlatformAnswered:
		s.platformAnswered(now, ev.Revision)
	case PlatformFailed:
		s.platformFailed(now)
	case Accepted:
		s.hold(ev.Revision)
		s.confirm(now)
	case Listed:
		s.listed(ev)
	}
	s.fetch(now)
	s.platform(now)
	s.freshness(now)
	s.makeReady(now)
	return s.out
}

// Ready reports whether the process may serve: what it holds was confirmed
// lately, or the platform is down and it holds the newest revision that the
// peers it heard have.
func (s *State) Ready() bool { return s.ready }

// Held returns the revision held.
func (s *State) Held() uint64 { return s.held }

// Age returns how long ago the held revision was known to be the newest.
func (s *State) Age(now time.Time) time.Duration { return now.Sub(s.confirmed) }

// Stale reports whether that is longer ago than StaleAfter.
func (s *State) Stale() bool { return s.stale }

// Watcher reports whether this process waits at the platform for changes.
func (s *State) Watcher() bool { return s.watcher }

func (s *State) emit(a Action) { s.out = append(s.out, a) }

// hold takes a revision up if it is newer.
func (s *State) hold(revision uint64) {
	if revision <= s.held {
		return
	}
	s.held = revision
	s.emit(Announce{Revision: revision})
}

// confirm records that the held revision was the newest at the time t.
func (s *State) confirm(t time.Time) {
	if t.After(s.confirmed) {
		s.confirmed = t
	}
}

func (s *State) heard(now time.Time, ev Heard) {
	s.peers[ev.Peer] = ev.Revision
	if ev.Revision == s.held {
		s.confirm(now.Add(-ev.Age))
	}
	if ev.Revision > s.held && s.fetchAt.IsZero() {
		s.fetchAt = now.Add(s.jitter(s.cfg.FetchJitter))
	}
}

func (s *State) fetched(now time.Time, ev Fetched) {
	if s.asked == ev.Peer {
		s.asked = ""
	}
	s.hold(ev.Revision)
	if ev.Revision == s.held {
		s.confirm(now.Add(-ev.Age))
	}
}

func (s *State) fetchFailed(peer string) {
	if s.asked == peer {
		s.asked = ""
	}
	// It may announce again; until then another peer is asked.
	delete(s.peers, peer)
}

// fetch asks one of the peers that are ahead, one at a time.
func (s *State) fetch(now time.Time) {
	if s.asked != "" && now.Sub(s.askedAt) > s.cfg.FetchTimeout {
		s.fetchFailed(s.asked)
	}
	ahead := s.ahead()
	if len(ahead) == 0 {
		s.fetchAt = time.Time{}
		return
	}
	if s.asked != "" || now.Before(s.fetchAt) {
		return
	}
	s.asked = ahead[s.rng.IntN(len(ahead))]
	s.askedAt = now
	s.emit(Fetch{Peer: s.asked})
}

// ahead returns the peers that announced more than is held, sorted.
func (s *State) ahead() []string {
	var out []string
	for p, r := range s.peers {
		if r > s.held {
			out = append(out, p)
		}
	}
	sort.Strings(out)
	return out
}

func (s *State) platformAnswered(now time.Time, revision uint64) {
	s.atStore = false
	s.backoff = 0
	s.hold(revision)
	s.confirm(now)
	s.nextRead = now
	if !s.watcher {
		s.nextRead = now.Add(s.readEvery())
	}
}

func (s *State) platformFailed(now time.Time) {
	s.atStore = false
	if s.failedAt.IsZero() {
		s.failedAt = now
	}
	s.backoff = min(max(2*s.backoff, s.cfg.BackoffMin), s.cfg.BackoffMax)
	pause := s.backoff
	if !s.watcher {
		// The many who only read must not return as one when the platform does.
		pause = max(pause, s.readEvery()/2)
	}
	s.nextRead = now.Add(pause/2 + s.jitter(pause))
}

// readEvery is the time between slow reads, so that all processes together
// stay within the read budget.
func (s *State) readEvery() time.Duration {
	fair := time.Duration(float64(s.processes) / s.cfg.ReadBudget * float64(time.Second))
	every := max(fair, s.cfg.MinReadEvery)
	return every*3/4 + s.jitter(every/2)
}

func (s *State) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(limit)))
}

// platform waits at the platform if this process is a watcher, else reads it
// from time to time as a safety net. One call is on the way at most.
func (s *State) platform(now time.Time) {
	if s.nextRead.IsZero() {
		s.nextRead = now.Add(s.jitter(s.cfg.StartJitter))
	}
	if s.atStore || now.Before(s.nextRead) {
		return
	}
	if !s.watcher && s.held > 0 && s.Age(now) < s.cfg.StaleAfter/2 {
		// A peer that heard from the platform lately is as good as a read.
		s.nextRead = now.Add(s.readEvery())
		return
	}
	s.atStore = true
	if s.watcher && s.started {
		s.emit(Watch{})
		return
	}
	s.started = true
	s.emit(Read{})
}

// listed chooses the watchers of the data centre by rendezvous hashing, so
// that every process comes to the same choice without asking anyone.
func (s *State) listed(ev Listed) {
	s.processes = ev.Processes
	if !s.cfg.Watches {
		return
	}
	above := 0
	mine := score(s.cfg.Self)
	for _, m := range ev.Routers {
		if m.DataCentre == s.cfg.DataCentre && m.ID != s.cfg.Self && score(m.ID) > mine {
			above++
		}
	}
	s.watcher = above < s.cfg.Watchers
}

func score(id string) uint64 { return xxhash.Sum64String("watcher/" + id) }

// makeReady decides once; a process that serves does not stop to do so when
// the platform goes away later.
func (s *State) makeReady(now time.Time) {
	if s.ready || s.held == 0 || len(s.ahead()) > 0 {
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

func (s *State) freshness(now time.Time) {
	stale := s.confirmed.IsZero() || now.Sub(s.confirmed) > s.cfg.StaleAfter
	if stale == s.stale {
		return
	}
	s.stale = stale
	s.emit(Freshness{Stale: stale})
}
