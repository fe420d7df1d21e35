package direct

import (
	"context"
	"net/http"
	"time"

	"goldcrestport/coordination/continuation"
	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/resumption"
	"goldcrestport/coordination/versions"
	"goldcrestport/protocol/outcome"
)

// resumeRetryAfter is the Retry-After of a stream whose origin another router may know: about the
// time in which a router that was away answers again.
const resumeRetryAfter = 250 * time.Millisecond

// lapsedRetryAfter is the Retry-After of a stream whose version's servers may be back soon: half of the
// interval at which servers write their entries.
const lapsedRetryAfter = 500 * time.Millisecond

// resolveStream decides where the stream of a caller that comes back may go on, and returns the
// refusal if it may not. A stream that is not resumed is not affected.
func (c *call) resolveStream(ctx context.Context) *outcome.Outcome {
	if !c.resumesEarlier() {
		return nil
	}
	d := c.decideStream(ctx)
	c.stream.bound, c.stream.isStrict = d.Bound, d.IsStrict
	if d.Bound.Service != "" {
		c.service = d.Bound.Service
	}
	if d.Reason != continuation.ReasonNone {
		c.goesOnNowhere(string(d.Reason), resumption.OfReason(d.Reason, c.stream.isConflicting))
		return refuseStream(d.Reason, c.stream.doubtLeft)
	}
	c.stream.isBound, c.stream.isCertain = true, true
	return nil
}

// refuseStream refuses a stream that may not go on here, if its origin is doubted for as long as that
// takes. The request has not run.
func refuseStream(reason continuation.Reason, doubtLeft time.Duration) *outcome.Outcome {
	if reason == continuation.ReasonDoubted {
		return notRun(outcome.ReasonStreamUnknown, doubtLeft, "it is not known yet which software version began the stream")
	}
	if reason == continuation.ReasonVersionLapsed {
		return notRun(outcome.ReasonNoBackend, lapsedRetryAfter, "no server of the stream's software version has an entry in the store now; one may be back soon")
	}
	if reason.Helps() {
		return notRun(outcome.ReasonStreamUnknown, resumeRetryAfter, "it is not known here which software version began the stream; another router may know")
	}
	// A status that asks for no later try of the same: the caller has to start the stream anew.
	o := outcome.Refuse(outcome.ReasonStreamLost, http.StatusMisdirectedRequest, 0, "no server can go on with the stream: "+string(reason)+"; start it anew")
	return &o
}

// describeStream collects what is known of the stream, from this router and, unless it knows, from
// others.
func (c *call) describeStream(ctx context.Context) continuation.Stream {
	var s continuation.Stream
	for _, target := range c.route.Targets {
		s.Services = append(s.Services, target.Service)
	}
	service := c.service
	if c.meta.Resumes != "" {
		s.Knowledge = c.findOrigin(ctx, &s)
		if s.Knowledge == continuation.Known {
			service = s.Origin.Service
		}
	}
	now := time.Now()
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	s.Serving, s.Recent = c.r.versions.Serving(service), c.r.versions.Recent(now, service)
	s.Returning = c.r.roster.Returning(now, service)
	k := c.r.knowledge()
	s.IsCurrent = s.IsCurrent && k.StoreUnreachable || !c.r.cfg.Staleness.IsStale(k)
	return s
}

// findOrigin looks for the origin of the stream that the caller names. It sets what other routers
// say: IsCurrent if all that were asked agree that there is one version.
func (c *call) findOrigin(ctx context.Context, s *continuation.Stream) continuation.Knowledge {
	id := origin.IDOf(c.meta.Resumes)
	known, isKnown := c.r.origins.lookup(id)
	if !isKnown {
		begin := time.Now()
		c.r.mu.Lock()
		isMixed := c.r.versions.IsMixed(begin, c.service)
		c.r.mu.Unlock()
		isMixed = isMixed || len(s.Services) > 1
		got := c.r.origins.ask(ctx, id, c.service, isMixed, askLimit(c.left(), isMixed))
		c.stream.asked, c.stream.askedRouters, c.stream.answered = time.Since(begin), got.routers, got.answered
		c.r.metrics.originAskTime.Record(c.service, time.Now(), c.stream.asked)
		s.MixedElsewhere = got.isMixed
		switch {
		case got.isKnown:
			known = got.known
		case got.answered < got.routers:
			return continuation.Unanswered
		default:
			s.IsCurrent = got.routers > 0
			var conclusion versions.Conclusion
			s.Proven, conclusion = got.conclude()
			c.stream.isOutOfStep = conclusion == versions.OutOfStep
			if c.stream.isOutOfStep {
				return continuation.Unanswered
			}
			return continuation.Unknown
		}
	}
	c.stream.knownBy, c.stream.knownFor = known.By, known.For
	c.stream.found, c.stream.isUncertain, c.stream.isConflicting = known.Origin, known.Uncertain, known.Conflicting
	s.Origin = known.Origin
	return c.weigh(known)
}
