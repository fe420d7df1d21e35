package direct

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/resumption"
	"goldcrestport/coordination/roster"
	"goldcrestport/protocol/outcome"
	"goldcrestport/state/routing"
	"goldcrestport/transport/backend"
)

// streamRates counts new and resumed streams by route.
type streamRates struct {
	mu    sync.Mutex
	rates *resumption.Rates
}

func newStreamRates() *streamRates { return &streamRates{rates: resumption.NewRates()} }

// came counts a request for a stream.
func (s *streamRates) came(now time.Time, route string, resumes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rates.Came(now, route, resumes)
}

// relayed counts the first event of a request that came at the time.
func (s *streamRates) relayed(came time.Time, route string, resumes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rates.Relayed(came, route, resumes)
}

// near returns the counts of the route around the time.
func (s *streamRates) near(now time.Time, route string) resumption.Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rates.Near(now, route)
}

// register registers the metrics of streams by route.
func (s *streamRates) register(m *metrics) {
	type counts map[string]resumption.Counts
	window := func(r *resumption.Rates) counts { return r.Window(time.Now()) }
	byRoute := func(name string, of func(*resumption.Rates) counts, value func(resumption.Counts) (any, bool)) {
		m.vars.Func(name, func() any {
			s.mu.Lock()
			defer s.mu.Unlock()
			out := make(map[string]any)
			for route, c := range of(s.rates) {
				if v, isKnown := value(c); isKnown {
					out[route] = v
				}
			}
			return out
		})
	}
	totals := func(r *resumption.Rates) counts { return r.Totals() }
	resumed := func(c resumption.Counts) (any, bool) {
		return map[string]uint64{"came": c.Resumed, "went_on": c.WentOn}, true
	}
	begun := func(c resumption.Counts) (any, bool) {
		return map[string]uint64{"came": c.Came, "began": c.Began}, true
	}
	byRoute("direct_streams_resumed_by_route", totals, resumed)
	byRoute("direct_streams_new_by_route", totals, begun)
	byRoute("direct_streams_resumed_lately", window, resumed)
	byRoute("direct_streams_new_lately", window, begun)
	byRoute("direct_streams_resumed_quotient", window, func(c resumption.Counts) (any, bool) { return c.Quotient() })
}

// countStream counts the request if it is for a stream.
func (c *call) countStream() {
	if c.route.Kind != routing.Streaming {
		return
	}
	c.stream.cameAt = time.Now()
	c.r.rates.came(c.stream.cameAt, c.route.Name, c.resumesEarlier())
}

// countRelayed counts that the first event of the stream was relayed, or that the stream is whole without
// a further one.
func (c *call) countRelayed() {
	if c.stream.hasRelayed || c.route.Kind != routing.Streaming {
		return
	}
	c.stream.hasRelayed = true
	c.r.rates.relayed(c.stream.cameAt, c.route.Name, c.resumesEarlier())
}

// endResumed counts, and unless it is logged already logs, why the stream that the caller resumed did
// not go on.
func (c *call) endResumed() {
	if c.route == nil || !c.resumesEarlier() {
		return
	}
	door := c.door()
	c.r.metrics.doors.Add(string(door), 1)
	if door != resumption.WentOn && !c.stream.isDoorLogged {
		c.logResumed(roster.Server{}, false, c.meta.LastEvent, string(door), door)
	}
}

// door returns why the stream that the caller resumed did not go on, once the request has ended.
func (c *call) door() resumption.Door {
	switch {
	case c.stream.hasRelayed:
		return resumption.WentOn
	case c.stream.door != resumption.None:
		return c.stream.door
	default:
		return doorOf(c.refusedFor)
	}
}

// doorOf returns the door of a request that was refused for the reason; without one, the answer of a
// server was relayed that is no stream.
func doorOf(reason outcome.Reason) resumption.Door {
	switch reason {
	case "", outcome.ReasonNoBackend:
		return resumption.Refused
	case outcome.ReasonLeaving:
		return resumption.Leaving
	case outcome.ReasonPlatform, outcome.ReasonNoConfig:
		return resumption.Stale
	case outcome.ReasonConnections:
		return resumption.Streams
	case outcome.ReasonDeadline:
		return resumption.Deadline
	case outcome.ReasonSuspect, outcome.ReasonCrashes:
		return resumption.Quarantined
	case outcome.ReasonAnswerLost, outcome.ReasonBackend:
		return resumption.BrokeOff
	default:
		return resumption.Rejected
	}
}

// doorAfter returns the door of a request that no server took, for the error of its last send.
func doorAfter(err error) resumption.Door {
	switch {
	case errors.Is(err, backend.ErrUnknownProcess):
		return resumption.Untrusted
	case errors.Is(err, errStale), errors.Is(err, errOldConfig):
		return resumption.Stale
	default:
		return resumption.Refused
	}
}

// doorOfPlacement returns the door of a request that was not placed.
func (c *call) doorOfPlacement(d admission.Decision) resumption.Door {
	switch {
	case c.reached > 0 && !c.answerBegun:
		return resumption.BrokeOff
	case c.stream.isBound && !c.hasVersion():
		return resumption.VersionGone
	default:
		return resumption.OfPlacement(d)
	}
}

// origin returns where the stream began, as far as is known, also if it may not go on there; the zero
// value if nothing is known.
func (c *call) origin() origin.Origin {
	if c.stream.isBound {
		return c.stream.bound
	}
	return c.stream.found
}

// survey returns to how many servers of its version the stream could go when it was last placed or, if it
// was not, can go now; to how many of its service if the version is not known. The caller holds mu.
func (c *call) survey(now time.Time) admission.Fitness {
	switch {
	case c.last != (admission.Decision{}):
		return c.last.Fitness
	case c.service == "":
		// The request was refused before it was read.
		return admission.Fitness{}
	}
	req := admission.Request{Service: c.service, Homes: c.homes(), Repeatable: c.route.MayRepeat()}
	need := backend.VouchedFor
	if c.stream.isBound {
		need = c.requiredTrustLocked(now)
	}
	if from := c.origin(); from.Service != "" {
		req.Service = from.Service
		req.Bound = &admission.Bound{
			Version: from.Version,
			Trusts:  func(identity string) bool { return c.r.pool.IsTrusted(identity, need) },
		}
	}
	return c.r.admission.Survey(now, req)
}
