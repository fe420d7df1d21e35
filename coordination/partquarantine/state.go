package partquarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestport/coordination/admission"
)

// Part identifies a part of the prompts of one service.
type Part uint64

// PartOf returns the part of the service's prompts that has the id of a shared prefix.
func PartOf(service string, id uint64) Part { return Part(id ^ xxhash.Sum64String(service)) }

// Verdict is the decision on whether a request may be sent.
type Verdict int

const (
	// Pass: the request may be sent.
	Pass Verdict = iota
	// Wait: the request has suspect parts, and a send with these is not possible yet.
	Wait
	// Refuse: the request has parts that crash the servers that run it.
	Refuse
)

// Decision says whether a request may be sent, and to which servers.
type Decision struct {
	Verdict Verdict
	// Isolation restricts the servers of a request with suspect parts; nil for all others.
	Isolation *admission.Isolation
}

// State is what one router knows of crashes and of the parts of prompts that were at them. It must
// be used by one goroutine at a time. Invariants: the crashes and the harmless parts are unions
// over all routers, so that the order of messages does not matter; nothing is computed for each
// part of a request while no crash is remembered.
type State struct {
	cfg     Config
	self    string
	routers []string

	servers map[string]*serverRuns
	// crashes and crashOrder are the known crashes, the latter by the order of their arrival.
	crashes    map[string]*crash
	crashOrder []*crash
	// harmless holds when a run with the part was last known to have survived.
	harmless map[Part]time.Time
	// released are the parts that were refused before they were known to be harmless. They are kept
	// for as long as others may refuse them by an entry of the store.
	released map[Part]bool
	// harmlessDropped is when old entries of harmless were dropped.
	harmlessDropped time.Time
	// suspects is derived from crashes, harmless and refusals; stale means that these changed.
	suspects map[Part]*suspect
	stale    bool
	// isolating is set while any part is suspected.
	isolating bool
	// undecidedUntil is when a tie between suspects is over; zero if there is none.
	undecidedUntil time.Time
	refusals       []*refusal
	// stored is what is known of the entries in the store.
	stored   map[SetID]storedSet
	groups   map[uint64]*group
	arrivals int
	breadth  breadth
	unsent   unsentChanges
	events   []Event
}

// crash is the crash of a server, merged from all reports.
type crash struct {
	server string
	at     time.Time
	runs   []runParts
	// observedHere is set if this router observed the crash itself.
	observedHere bool
}

// runParts are the parts of one or more runs that were at a crashed server.
type runParts struct {
	parts []Part
	// isolated is set if such a run was sent as a suspect.
	isolated bool
	// doubtful is set if such a run had been answered for a while.
	doubtful bool
	// own is set if this router sent one.
	own bool
}

// refusal is a set of parts; requests that carry all of them are refused.
type refusal struct {
	parts   []Part
	since   time.Time
	probes  int
	partial int
	// inFlight is the number of probes that this router has under way.
	inFlight int
	servers  []string
	// unsavedSince is from when on the store does not have it as it is; zero if it has.
	unsavedSince time.Time
}

// group is the requests that have the same suspect parts.
type group struct {
	arrivals int
	// inFlight is the number of this router's runs that have not shown yet whether they survive.
	inFlight int
	// crashes and lastCrash are the crashes of the group; counted is set if they are those of the
	// present evidence.
	crashes   int
	lastCrash time.Time
	counted   bool
}

// New returns the state of a router without any crashes.
func New(cfg Config, self string) *State {
	return &State{
		cfg: cfg, self: self, servers: make(map[string]*serverRuns), crashes: make(map[string]*crash),
		harmless: make(map[Part]time.Time), suspects: make(map[Part]*suspect), groups: make(map[uint64]*group), breadth: newBreadth(),
		stored: make(map[SetID]storedSet), released: make(map[Part]bool),
	}
}

// SetRouters sets the ids of the fleet's routers, one of which sends the probes.
func (s *State) SetRouters(ids []string) { s.routers = slices.Clone(ids) }

// ownsProbes reports whether this router is the one that sends probes. It is one for all refused
// sets: otherwise no router could probe a request that carries several.
func (s *State) ownsProbes() bool {
	if len(s.routers) == 0 {
		return true
	}
	return s.self == slices.MaxFunc(s.routers, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
}

// partsOf returns the sorted parts of a request, limited to MaxParts.
func (s *State) partsOf(service string, prefixes []admission.Prefix) []Part {
	out := make([]Part, 0, min(len(prefixes), s.cfg.MaxParts))
	for _, one := range prefixes[:min(len(prefixes), s.cfg.MaxParts)] {
		out = append(out, PartOf(service, one.ID))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// isIdle reports whether nothing is known against any part.
func (s *State) isIdle() bool { return len(s.crashOrder) == 0 && len(s.refusals) == 0 }

// Check decides on a request of the class with the shared prefixes.
func (s *State) Check(now time.Time, service, class string, prefixes []admission.Prefix) Decision {
	if s.isIdle() || len(prefixes) == 0 {
		return Decision{}
	}
	s.refresh(now)
	parts := s.partsOf(service, prefixes)
	if v := s.checkRefusals(now, parts); v != Pass {
		return Decision{Verdict: v}
	}
	s.countBreadth(class, parts)
	key, found := s.groupOf(parts)
	if !found {
		return Decision{}
	}
	g := s.group(key, parts)
	g.arrivals++
	s.arrivals++
	isolation := &admission.Isolation{Key: key + uint64(g.crashes), Share: s.share(g)}
	if now.Sub(g.lastCrash) < s.cfg.Pause || g.inFlight > 0 && isolation.Share < commonShare {
		return Decision{Verdict: Wait}
	}
	return Decision{Isolation: isolation}
}

// commonShare is the share of the isolated requests from which a group may have several runs at a time
// that have not shown whether they survive.
const commonShare = 0.25

// checkRefusals decides on a request whose parts may be refused.
func (s *State) checkRefusals(now time.Time, parts []Part) Verdict {
	verdict := Pass
	for _, one := range s.refusals {
		switch has := countIn(one.parts, parts); {
		case has == 0:
		case s.mayProbe(now, one, has < len(one.parts)):
		case has == len(one.parts) || one.partial >= s.cfg.MaxPartialProbes:
			return Refuse
		default:
			verdict = Wait
		}
	}
	return verdict
}

// mayProbe reports whether a request with the set, or with some of its parts, may be sent now.
func (s *State) mayProbe(now time.Time, one *refusal, partial bool) bool {
	if one.inFlight > 0 || !s.ownsProbes() {
		return false
	}
	if partial {
		return one.partial < s.cfg.MaxPartialProbes
	}
	return one.probes < len(s.cfg.ProbeAfter) && now.Sub(one.since) >= s.cfg.ProbeAfter[one.probes]
}

// MayRepeat reports whether the router may send the request to another server by itself.
func (s *State) MayRepeat(now time.Time, service string, prefixes []admission.Prefix) bool {
	if s.isIdle() {
		return true
	}
	s.refresh(now)
	parts := s.partsOf(service, prefixes)
	_, found := s.groupOf(parts)
	return !found && !slices.ContainsFunc(s.refusals, func(one *refusal) bool { return countIn(one.parts, parts) > 0 })
}

// isIn reports whether the part is in the sorted list.
func isIn(p Part, sorted []Part) bool {
	_, found := slices.BinarySearch(sorted, p)
	return found
}

// countIn returns how many of the parts are among those of the sorted list.
func countIn(parts, sorted []Part) (n int) {
	for _, p := range parts {
		if isIn(p, sorted) {
			n++
		}
	}
	return n
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
