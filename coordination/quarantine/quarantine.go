package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Verdict is the decision on whether a request may be sent.
type Verdict int

const (
	// Pass: the request may be sent.
	Pass Verdict = iota
	// Wait: servers crashed during earlier attempts of the request, and one attempt of it is
	// in flight; the caller may retry when that one has ended.
	Wait
	// Refuse: the request crashes the servers that run it.
	Refuse
)

// strikesToSerialize is the number of strikes from which this router runs one attempt of a
// request at a time and no longer retries it by itself.
const strikesToSerialize = 2

// State is what one router knows about crashes and about the requests that ran during them. It
// must be used by one goroutine at a time. Invariants: the set of known crashes is a union
// over all routers, so that the order of messages does not matter; a refusal always comes with
// the crashes that it is based on.
type State struct {
	cfg Config
	// self is this router's id, and routers the ids of the fleet.
	self    string
	routers []string
	// otherCause returns how many of the servers something other than a request that ran at all of them may
	// have crashed; nil if nothing else is known.
	otherCause func(now time.Time, servers []string) int

	incarnations map[string]*incarnation
	inFlight     map[Fingerprint]int
	successes    successList

	crashes map[string]*crash
	// crashOrder holds the crashes in the order in which they became known.
	crashOrder []*crash
	records    map[Fingerprint]*record
	// refused is the subset of records that are refused.
	refused map[Fingerprint]*record
	// judgements maps each fingerprint to be judged to the time when that is due.
	judgements map[Fingerprint]time.Time
	// events are those that Events has not returned yet.
	events []Event
	unsent unsentChanges
	// nextRefusal is the index of the refused fingerprint with which the next periodic report
	// begins.
	nextRefusal int
}

// record is what is known about one request fingerprint.
type record struct {
	crashes []*crash
	// clearedAt is when the request was last known to be harmless: earlier crashes do not
	// count.
	clearedAt time.Time
	// clearedLocally is set if this router or its operator cleared the request. Only that
	// router reports it, because the time would move a little later with each hop.
	clearedLocally bool
	// refusedAt is when the refusals started; zero while the request is not refused.
	refusedAt time.Time
	// reasons are the crashes that the refusal is based on.
	reasons []Strike
	// probes is the number of probe requests since the refusals started.
	probes int
	// storedAt is when the refusal was last written to the store, zero if that is not known, and
	// storedProbes the number of probes that it has there.
	storedAt     time.Time
	storedProbes int
	// storedHere is set if this router wrote it, which has to remove it.
	storedHere bool
	// unsavedSince is from when on it is to be written; zero if the store has it.
	unsavedSince time.Time
}

// Strike is a crash that counts against a request.
type Strike struct {
	// Server is the identity of the incarnation that crashed.
	Server string
	At     time.Time
	// ReportedBy are the routers that reported the request among those that ran there.
	ReportedBy []string
}

// New returns the state of a router without any crashes.
func New(cfg Config, self string) *State {
	return &State{
		cfg: cfg, self: self, incarnations: make(map[string]*incarnation), inFlight: make(map[Fingerprint]int), successes: newSuccessList(cfg.MaxSuccesses),
		crashes: make(map[string]*crash), records: make(map[Fingerprint]*record), refused: make(map[Fingerprint]*record), judgements: make(map[Fingerprint]time.Time),
	}
}

// SetRouters sets the ids of the fleet's routers, one of which is chosen for each probe
// request.
func (s *State) SetRouters(ids []string) { s.routers = slices.Clone(ids) }

// SetOtherCause sets what returns how many of the crashed servers something other than a request that ran at
// all of them may have crashed.
func (s *State) SetOtherCause(count func(now time.Time, servers []string) int) {
	s.otherCause = count
}

// Check reports whether the request may be sent now.
func (s *State) Check(now time.Time, fp Fingerprint) Verdict {
	if at, ok := s.judgements[fp]; ok && !now.Before(at) {
		s.judgeDue(now)
	}
	r := s.records[fp]
	switch {
	case r == nil:
		return Pass
	case !r.refusedAt.IsZero():
		if s.mayProbe(now, fp, r) {
			return Pass
		}
		return Refuse
	case s.inFlight[fp] > 0 && s.strikes(fp, r) >= strikesToSerialize:
		return Wait
	default:
		return Pass
	}
}

// mayProbe reports whether a refused request may be sent as a probe: by one router of the
// fleet, and one at a time.
func (s *State) mayProbe(now time.Time, fp Fingerprint, r *record) bool {
	if s.inFlight[fp] > 0 {
		return false
	}
	since := now.Sub(r.refusedAt)
	due := s.probeDue(since, r.probes)
	if !due && (r.probes == 0 || s.probeDue(since, r.probes-1)) {
		// A request that was only running beside other refused ones gets its probe earlier
		// than one that crashes servers.
		due = since >= s.cfg.ExplainedProbeAfter && s.isExplained(fp, r)
	}
	return due && s.owner(fp) == s.self
}

// probeDue reports whether it is time for probe number n.
func (s *State) probeDue(since time.Duration, n int) bool {
	return n < len(s.cfg.ProbeAfter) && since >= s.cfg.ProbeAfter[n]
}

// owner returns the router that may send probes for the request, by rendezvous hashing.
func (s *State) owner(fp Fingerprint) string {
	if len(s.routers) == 0 {
		return s.self
	}
	return slices.MaxFunc(s.routers, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(fp.String()+a), xxhash.Sum64String(fp.String()+b))
	})
}

// MayRepeat reports whether the router may retry the request on another server by itself. A
// request that was running during one crash is retried; after two it is left to its caller,
// who retries when the fleet knows more.
func (s *State) MayRepeat(fp Fingerprint) bool {
	r := s.records[fp]
	return r == nil || r.refusedAt.IsZero() && s.strikes(fp, r) < strikesToSerialize
}

// Reasons returns the crashes that the refusal is based on; none if the request is not
// refused.
func (s *State) Reasons(fp Fingerprint) []Strike {
	if r := s.records[fp]; r != nil {
		return r.reasons
	}
	return nil
}

// Suspects returns the number of requests that are not refused but have a crash counted against
// them.
func (s *State) Suspects() int {
	n := 0
	for _, r := range s.records {
		if r.refusedAt.IsZero() && len(s.countedCrashes(r)) > 0 {
			n++
		}
	}
	return n
}

// RefusedCount returns the number of refused requests.
func (s *State) RefusedCount() int { return len(s.refused) }

// Entry is a refused request as listed to operators and kept in the store.
type Entry struct {
	Content Fingerprint
	Since   time.Time
	Trials  int
	Reasons []Strike
}

// List returns the refused requests, the latest first.
func (s *State) List() []Entry {
	var out []Entry
	for fp, r := range s.refused {
		out = append(out, Entry{Content: fp, Since: r.refusedAt, Trials: r.probes, Reasons: r.reasons})
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(b.Since.Compare(a.Since), cmp.Compare(a.Content, b.Content))
	})
	return out
}

// Release lifts the refusal of a request on behalf of an operator. It reports whether anything
// was known about the request.
func (s *State) Release(now time.Time, fp Fingerprint) bool {
	if s.records[fp] == nil {
		return false
	}
	s.clear(now, now, fp, ByOperator)
	return true
}

// Tick judges what is due and drops expired data. It must be called several times a second.
func (s *State) Tick(now time.Time) {
	s.settleRuns(now)
	s.judgeDue(now)
	s.expire(now)
}

// EventKind is the kind of an event.
type EventKind string

const (
	// Crashed: this router observed the crash of a server.
	Crashed EventKind = "crashed"
	// Confirmed: a request is refused from now on.
	Confirmed EventKind = "confirmed"
	// Cleared: crashes do not count against a request any more.
	Cleared EventKind = "cleared"
)

// Cause is the reason why a request was confirmed or cleared.
type Cause string

const (
	// ByCount: enough servers crashed while running the request.
	ByCount Cause = "crashes"
	// ByPeer: another router reported it.
	ByPeer Cause = "peer"
	// BySuccess: the request ran to completion and its server stayed up.
	BySuccess Cause = "success"
	// ByOperator: an operator lifted the refusal.
	ByOperator Cause = "operator"
)

// Event is a change in what the router knows.
type Event struct {
	Kind    EventKind
	Content Fingerprint
	Cause   Cause
	// Server that crashed, and the number of requests that this router had running there.
	Server   string
	Suspects int
	// Strikes are the crashes that count against a confirmed request.
	Strikes []Strike
}

// Events returns the events since the last call.
func (s *State) Events() []Event {
	out := s.events
	s.events = nil
	return out
}
