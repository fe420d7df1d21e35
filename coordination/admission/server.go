package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestport/coordination/backoff"
	"goldcrestport/coordination/enginememory"
	"goldcrestport/coordination/health"
	"goldcrestport/coordination/pace"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/warmup"
)

// Load is the load that a backend server reports with an answer. A figure that is not reported is 0.
type Load struct {
	Running, Waiting, Slots int
	// SlowdownPercent says how long work takes on its machine at that moment, 100 being as usual.
	SlowdownPercent int
}

// server is one backend server as this router knows it.
type server struct {
	id string
	// incarnation identifies the process; runs and all state here belong to it.
	incarnation roster.Incarnation
	// identity names the incarnation.
	identity string
	service  string
	// region is the region of its data centre; empty: unknown.
	region string
	// backoff is the back-off that it requested from this router.
	backoff *backoff.Server
	// version is the version of its software.
	version roster.Version
	// dataCentre is its data centre; empty: unknown.
	dataCentre string
	// ejectedAt is when it was last ejected.
	ejectedAt time.Time
	// cold limits the rate of requests while the server may be cold, else nil.
	cold  *warmup.Server
	slots int
	// seed determines the server's rank for each prefix. It is derived from the id,
	// so that the ranks are the same after a restart.
	seed uint64
	// number identifies the incarnation in messages between routers, so that
	// messages on an earlier incarnation are not applied to this one.
	number ServerID
	// lastSent is the in-flight work in the last digest.
	lastSent InFlight
	health   *health.Tracker
	slowdown slowdown
	// pace is what is known of how fast it prefills.
	pace *pace.Server
	// pendingTokens is the number of prompt tokens that this router sent and that
	// have had no first event yet.
	pendingTokens float64
	// running and awaiting count the runs of this router after and before their
	// first event.
	running  int
	awaiting int
	// memory holds what the runs of this router occupy, and peerRuns is the number of runs of the others.
	memory   enginememory.Ledger
	peerRuns int
	// load is the load that the server reported at loadAt.
	load   Load
	loadAt time.Time
	// refusals counts the consecutive refusals of the server. Until refusedUntil it
	// gets no requests while others accept them.
	refusals     int
	refusedUntil time.Time
	// prefixes maps a shared prefix to its use at this server.
	prefixes map[uint64]prefixUse
}

// prefixUse says when a shared prefix was used at a server.
type prefixUse struct {
	// used is when the server last prefilled it, announced when a router last
	// announced that to the others.
	used, announced time.Time
}

// rank orders servers for a prefix, the highest first (rendezvous hashing). When a
// server is added or removed, no other server's rank changes.
func (s *server) rank(prefix uint64) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i] = byte(prefix >> (8 * i))
		b[8+i] = byte(s.seed >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

// hasCached reports whether the prefix is assumed to be cached.
func (s *server) hasCached(now time.Time, prefix uint64, ttl time.Duration) bool {
	use, known := s.prefixes[prefix]
	return known && now.Sub(use.used) <= ttl
}

// maxPrefixes limits the number of prefixes that are remembered for a server.
const maxPrefixes = 4096

// markUsed records that the server prefills the prefix now.
func (s *server) markUsed(now time.Time, prefix uint64, ttl time.Duration) {
	if len(s.prefixes) >= maxPrefixes {
		s.evictExpired(now, ttl)
	}
	use, known := s.prefixes[prefix]
	if known || len(s.prefixes) < maxPrefixes {
		use.used = now
		s.prefixes[prefix] = use
	}
}

// markAnnounced records that a router announces now that the server has cached the
// prefix. It reports whether an announcement is due: whether the last one is longer
// ago than the interval.
func (s *server) markAnnounced(now time.Time, prefix uint64, interval time.Duration) (due bool) {
	use, known := s.prefixes[prefix]
	if !known || now.Sub(use.announced) <= interval {
		return false
	}
	use.announced = now
	s.prefixes[prefix] = use
	return true
}

// evictExpired drops the prefixes that are not assumed to be cached any more.
func (s *server) evictExpired(now time.Time, ttl time.Duration) {
	for id, use := range s.prefixes {
		if now.Sub(use.used) > ttl {
			delete(s.prefixes, id)
		}
	}
}
