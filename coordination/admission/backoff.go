package admission

import (
	"math"
	"slices"
	"time"

	"goldcrestport/coordination/backoff"
)

// held is what keeps servers from a request that has none.
type held struct {
	// first is the time until the first of them may get a request; 0: unknown.
	first time.Duration
	// backingOff counts the servers that want no requests.
	backingOff int
	// cold tells that the first of them is cold, asked that it wants no requests.
	cold, asked bool
	// due is when the first of those may be asked again at which the request failed;
	// 0: none.
	due time.Duration
}

func (h *held) backsOff(wait time.Duration) {
	h.backingOff++
	if h.first == 0 || wait < h.first {
		h.first, h.cold, h.asked = wait, false, true
	}
}

func (h *held) isCold(wait time.Duration) {
	if h.first == 0 || wait < h.first {
		h.first, h.cold, h.asked = wait, true, false
	}
}

func (h *held) avoided(wait time.Duration) {
	if h.due == 0 || wait < h.due {
		h.due = wait
	}
}

// returnSpread is the time over which those return that were told the same moment, so
// that they do not come all at once.
const returnSpread = 250 * time.Millisecond

// placeNowhere refuses a request that no server may get, and tells when the first one
// may.
func (s *State) placeNowhere(h held) Decision {
	switch {
	case h.first == 0, h.asked && h.due > 0 && h.due < h.first:
		return Decision{Verdict: NoServer, Reason: ReasonNoServer, RetryAfter: s.cfg.ReturnLeast}
	case h.cold:
		return Decision{Verdict: Refuse, Reason: ReasonCold, Cold: true, RetryAfter: min(max(h.first, s.cfg.ReturnLeast), s.cfg.ReturnMost)}
	default:
		return Decision{Verdict: Refuse, Reason: ReasonBackoff, RetryAfter: h.first + s.spread()}
	}
}

// spread returns parts of returnSpread that lie evenly, however many are asked for.
func (s *State) spread() time.Duration {
	s.refusals++
	_, part := math.Modf(float64(s.refusals) * (math.Phi - 1))
	return time.Duration(part * float64(returnSpread))
}

// BackOff notes that the run's server turned it away and wants no requests of this
// router for the time. It reports whether the server began to ask for that.
func (s *State) BackOff(now time.Time, r *Run, after time.Duration) (began bool) {
	r.trial = false
	one := s.backoffOf(r.server)
	if !s.isIn(r.server) {
		s.parted[r.server.identity] = one
	}
	return one.BackoffRequested(now, after, s.cfg.Backoff)
}

// MaySend reports whether the run's server still wants requests.
func (s *State) MaySend(now time.Time, r *Run) bool { return s.backoffOf(r.server).Accepts(now) }

// Backoff returns what the run's server asked for.
func (s *State) Backoff(r *Run) *backoff.Server { return s.backoffOf(r.server) }

// isIn reports whether the server, or one that came back as the same, is known.
func (s *State) isIn(one *server) bool {
	now := s.servers[one.id]
	return now != nil && now.identity == one.identity
}

// backoffOf returns what the server asked for. A run's server may have been taken out
// since it was sent, and may be back.
func (s *State) backoffOf(one *server) *backoff.Server {
	if s.isIn(one) {
		return s.servers[one.id].backoff
	}
	if kept := s.parted[one.identity]; kept != nil {
		return kept
	}
	return one.backoff
}

// BackoffWait returns the time until the first server of the service wants requests; 0
// while one does.
func (s *State) BackoffWait(now time.Time, service string) time.Duration {
	var first time.Duration
	for _, one := range s.pool(service).servers {
		wait := one.backoff.Wait(now)
		if wait == 0 {
			return 0
		}
		if first == 0 || wait < first {
			first = wait
		}
	}
	return first
}

// HasOther reports whether the service has a server beside those named that wants
// requests.
func (s *State) HasOther(now time.Time, service string, but []string) bool {
	return slices.ContainsFunc(s.pool(service).servers, func(one *server) bool {
		return one.backoff.Wait(now) == 0 && !slices.Contains(but, one.id)
	})
}

// BackingOff returns the number of servers that want no requests now.
func (s *State) BackingOff(now time.Time) int {
	n := 0
	for _, one := range s.servers {
		if !one.backoff.Accepts(now) {
			n++
		}
	}
	return n
}

// part keeps what a server that is taken out asked for.
func (s *State) part(one *server) {
	if one.backoff.InBackoff() {
		s.parted[one.identity] = one.backoff
	}
}

// rejoin gives a server what it asked for before it was taken out.
func (s *State) rejoin(one *server) {
	one.backoff = s.parted[one.identity]
	if one.backoff == nil {
		one.backoff = &backoff.Server{}
	}
	delete(s.parted, one.identity)
}

// forgetParted forgets the servers that are out and want nothing any more.
func (s *State) forgetParted(now time.Time) {
	for identity, one := range s.parted {
		if one.Accepts(now) {
			delete(s.parted, identity)
		}
	}
}
