package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Verdict says what becomes of a request.
type Verdict int

// Verdicts.
const (
	// Pass: nothing speaks against it.
	Pass Verdict = iota
	// Wait: one attempt of it is at a server, and servers crashed under earlier
	// ones; it may come back when that one has ended.
	Wait
	// Refuse: it crashes the servers that run it.
	Refuse
)

// strikesAlone is the number of crashes under a request from which one attempt of
// it at a time runs for this router, and no repeat of the router's own.
const strikesAlone = 2

// State is what one router knows of crashes and of the requests under which they
// came. It must be used by one goroutine at a time. Invariants: what is known of
// crashes is a union over all routers, so that any order of messages leads to the
// same; a request is refused only with the crashes that it is refused for.
type State struct {
	cfg Config
	// self is this router's id, and routers those of the fleet.
	self    string
	routers []string

	hosts    map[string]*host
	inFlight map[Fingerprint]int
	sound    soundList

	crashes map[string]*crash
	// order holds the crashes as they became known.
	order   []*crash
	records map[Fingerprint]*record
	// held are those of the records that are refused.
	held map[Fingerprint]*record
	// due are the contents to be judged, and when.
	due map[Fingerprint]time.Time
	// events are those that Events has not returned yet.
	events []Event
	news   news
	// turn is where the next telling of refused contents begins.
	turn int
}

// record is what is known of one content.
type record struct {
	crashes []*crash
	// cleared is when it was last known to be sound: earlier crashes do not
	// count.
	cleared time.Time
	// clearedHere tells that this router found that out, or its operator: only
	// one tells it, as each hop would make it a little later.
	clearedHere bool
	// held is since when it is refused; zero while it is not.
	held time.Time
	// reasons are the crashes that it is refused for.
	reasons []Strike
	// trials is the number of sends that were allowed since.
	trials int
	// kept is when this router entered it in the store last; zero if it did not.
	kept time.Time
}

// Strike is a crash that counts against a request.
type Strike struct {
	// Server is the identity of the incarnation that crashed.
	Server string
	At     time.Time
	// Told are the routers that named the request among those that ran there.
	Told []string
}

// New returns the state of a router that knows nothing.
func New(cfg Config, self string) *State {
	return &State{
		cfg: cfg, self: self, hosts: make(map[string]*host), inFlight: make(map[Fingerprint]int), sound: newSoundList(cfg.MostSound),
		crashes: make(map[string]*crash), records: make(map[Fingerprint]*record), held: make(map[Fingerprint]*record), due: make(map[Fingerprint]time.Time),
	}
}

// SetRouters sets the ids of the fleet's routers, by which one of them is chosen
// for each trial.
func (s *State) SetRouters(ids []string) { s.routers = slices.Clone(ids) }

// Check says whether the request may be sent now.
func (s *State) Check(now time.Time, content Fingerprint) Verdict {
	if at, is := s.due[content]; is && !now.Before(at) {
		s.judgeDue(now)
	}
	r := s.records[content]
	switch {
	case r == nil:
		return Pass
	case !r.held.IsZero():
		if s.mayTry(now, content, r) {
			return Pass
		}
		return Refuse
	case s.inFlight[content] > 0 && s.strikes(content, r) >= strikesAlone:
		return Wait
	default:
		return Pass
	}
}

// mayTry reports whether a refused request may be sent once more: at one router
// of the fleet, and one at a time.
func (s *State) mayTry(now time.Time, content Fingerprint, r *record) bool {
	if s.inFlight[content] > 0 {
		return false
	}
	since := now.Sub(r.held)
	due := s.trialDue(since, r.trials)
	if !due && (r.trials == 0 || s.trialDue(since, r.trials-1)) {
		// A bystander of others must not wait for as long as what crashes servers.
		due = since >= s.cfg.ExplainedTrial && s.isExplained(content, r)
	}
	return due && s.owner(content) == s.self
}

// trialDue reports whether it is time for the trial of that number.
func (s *State) trialDue(since time.Duration, n int) bool {
	return n < len(s.cfg.Trials) && since >= s.cfg.Trials[n]
}

// owner is the router that may try the content, by rendezvous hashing.
func (s *State) owner(content Fingerprint) string {
	if len(s.routers) == 0 {
		return s.self
	}
	return slices.MaxFunc(s.routers, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(content.String()+a), xxhash.Sum64String(content.String()+b))
	})
}

// MayRepeat reports whether the router may send the request to a further server by
// itself. A bystander of one crash is repeated; what met two is left to its caller,
// who comes back to what the fleet knows by then.
func (s *State) MayRepeat(content Fingerprint) bool {
	r := s.records[content]
	return r == nil || r.held.IsZero() && s.strikes(content, r) < strikesAlone
}

// Reasons are the crashes that the content is refused for; none when it is not.
func (s *State) Reasons(content Fingerprint) []Strike {
	if r := s.records[content]; r != nil {
		return r.reasons
	}
	return nil
}

// Suspects is the number of contents, none of them refused, against which a crash
// counts.
func (s *State) Suspects() int {
	n := 0
	for _, r := range s.records {
		if r.held.IsZero() && len(s.counted(r)) > 0 {
			n++
		}
	}
	return n
}

// Held is the number of contents that are refused.
func (s *State) Held() int { return len(s.held) }

// Entry is a refused content, for operators.
type Entry struct {
	Content Fingerprint
	Since   time.Time
	Trials  int
	Reasons []Strike
}

// List returns the refused contents, the latest first.
func (s *State) List() []Entry {
	var out []Entry
	for content, r := range s.held {
		out = append(out, Entry{Content: content, Since: r.held, Trials: r.trials, Reasons: r.reasons})
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(b.Since.Compare(a.Since), cmp.Compare(a.Content, b.Content))
	})
	return out
}

// Release takes a content off the list at an operator's word. It reports whether
// anything was known of it.
func (s *State) Release(now time.Time, content Fingerprint) bool {
	if s.records[content] == nil {
		return false
	}
	s.clear(now, now, content, ByOperator)
	return true
}

// Tick forgets what is too old. It is to be called several times a second.
func (s *State) Tick(now time.Time) {
	s.settle(now)
	s.judgeDue(now)
	s.forget(now)
}

// EventKind says what changed.
type EventKind string

// Kinds of events.
const (
	// Crashed: a server crashed, by this router's own observation.
	Crashed EventKind = "crashed"
	// Confirmed: a request is refused from now on.
	Confirmed EventKind = "confirmed"
	// Cleared: crashes do not count against a request any more.
	Cleared EventKind = "cleared"
)

// Cause says why a request was confirmed or cleared.
type Cause string

// Causes.
const (
	// ByCount: enough servers crashed under it.
	ByCount Cause = "crashes"
	// ByPeer: another router told so.
	ByPeer Cause = "peer"
	// BySuccess: it ran well.
	BySuccess Cause = "success"
	// ByOperator: an operator took it off the list.
	ByOperator Cause = "operator"
)

// Event is a change of what the router believes.
type Event struct {
	Kind    EventKind
	Content Fingerprint
	Cause   Cause
	// Server that crashed, and the number of contents that ran there for this
	// router.
	Server   string
	Suspects int
	// Strikes are the crashes that count, of a confirmed request.
	Strikes []Strike
}

// Events returns what changed since the last call.
func (s *State) Events() []Event {
	out := s.events
	s.events = nil
	return out
}
