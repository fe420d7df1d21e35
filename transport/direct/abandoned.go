package direct

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/roster"
	"goldcrestport/transport/backend"
)

// abandonedLogLimit bounds the log lines per second about abandoned attempts. They have their own
// bound so that lines about refusals cannot starve them.
const abandonedLogLimit = 1000

// Reasons for abandoning an attempt, in addition to the errors of its exchange.
const (
	abandonedByCaller   = "caller_left"
	abandonedAtDeadline = "deadline"
	abandonedByStop     = "router_stops"
)

// sentAttempt is an attempt whose first byte was written.
type sentAttempt struct {
	server roster.Server
	// attempt is its number among the attempts of its request.
	attempt int
	run     sentRun
	// infoAge is how old the router's information about draining servers was when the first
	// byte was written; negative if there was none.
	infoAge time.Duration
}

// firstByteSeries is the name of the histogram's only series.
const firstByteSeries = "first_byte"

// beforeFirstByte runs before the first byte is written. It returns why the attempt must not
// be sent, or records that it begins, and the age of the router's information about draining servers.
func (c *call) beforeFirstByte(run *admission.Run, s *sentAttempt) error {
	if err := c.mayBegin(run, s.server); err != nil {
		return err
	}
	c.r.beginSend(s.run)
	s.infoAge = c.r.configAge()
	c.r.metrics.infoAge.Record(firstByteSeries, time.Now(), s.infoAge)
	return nil
}

// abandoned records an attempt that was abandoned after its first byte was written. It ignores
// attempts that were answered, such as by a refusal whose text is not needed.
func (c *call) abandoned(ctx context.Context, s *sentAttempt, a backend.Abandoned) {
	if a.Answered && a.Err == nil && ctx.Err() == nil {
		return
	}
	c.r.metrics.abandoned.Add(1)
	if a.Unacked > 0 {
		c.r.metrics.abandonedUnacked.Add(1)
	}
	now := time.Now()
	allowed, dropped := c.r.attemptLines.Allow("attempt_abandoned", now)
	if !allowed {
		return
	}
	_, usable := c.r.server(s.server.ID)
	c.r.event("attempt_abandoned", "request", c.meta.ID, "server", s.server.ID, "incarnation", s.server.Incarnation, "address", s.server.Address,
		"attempt", s.attempt, "began", a.Began.UTC().Format(time.RFC3339Nano), "after_ms", now.Sub(a.Began).Milliseconds(),
		"knowledge_age_ms", s.infoAge.Milliseconds(), "usable", usable, "why", c.abandonReason(ctx, a), "how", string(a.How),
		"answered", a.Answered, "unacked", a.Unacked, "left_out", dropped)
}

// abandonReason returns why the attempt was abandoned.
func (c *call) abandonReason(ctx context.Context, a backend.Abandoned) string {
	switch {
	case ctx.Err() == nil:
		return errText(a.Err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return abandonedAtDeadline
	case c.r.ending.Err() != nil:
		return abandonedByStop
	default:
		return abandonedByCaller
	}
}
