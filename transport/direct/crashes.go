package direct

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/completeness"
	"goldcrestport/coordination/health"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/coordination/roster"
	"goldcrestport/protocol/outcome"
	"goldcrestport/transport/backend"
	"goldcrestport/transport/probe"
)

// suspectRetryAfter is the Retry-After while another attempt of the same request is at a server
// and servers crashed under earlier ones: about the duration of a short answer.
const suspectRetryAfter = 500 * time.Millisecond

// endQuarantined ends the request if servers crash under it, or may do so. It reports whether
// it did.
func (c *call) endQuarantined() bool {
	c.r.mu.Lock()
	now := time.Now()
	verdict := c.r.quarantine.Check(now, c.fingerprint)
	if verdict == quarantine.Pass {
		verdict = c.checkParts(now)
	}
	c.r.handleQuarantineEvents()
	c.r.mu.Unlock()
	switch {
	case verdict == quarantine.Pass:
		return false
	case c.answerBegun:
		c.abortAnswer("quarantined")
	case c.reached > 0:
		c.fail(outcome.ReasonAnswerLost, http.StatusBadGateway, "the backend server ended while it ran the request")
	case verdict == quarantine.Wait:
		c.refuse(*notRun(outcome.ReasonSuspect, suspectRetryAfter, "backend servers ended under earlier attempts of this request, or of others with the same parts of their prompts, and another one is at work"))
	default:
		// A status that callers do not retry: a retry would end the same way.
		c.refuse(outcome.Refuse(outcome.ReasonCrashes, http.StatusBadRequest, 0, "backend servers ended under each earlier attempt of this request, or of others with the same part of their prompts; it has not run this time"))
	}
	return true
}

// prepareSend records that the request is about to be sent to the server.
func (c *call) prepareSend(server roster.Server) sentRun {
	r := c.r
	r.mu.Lock()
	defer r.mu.Unlock()
	run := sentRun{r.quarantine.Prepare(c.fingerprint, server.Identity()), r.parts.Prepare(server.Identity(), c.service, c.meta.Shared)}
	c.logProbe(server.ID, run)
	return run
}

// beginSend records that the first byte of the request is being written.
func (r *Router) beginSend(run sentRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.Begin(run.request)
	r.parts.Begin(run.parts)
}

func (r *Router) endSend(run sentRun, how quarantine.Ending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.quarantine.End(now, run.request, how)
	r.parts.End(now, run.parts, how)
}

// attemptEnded records how the send ended. If its answer broke off, it returns after the
// server was probed.
func (c *call) attemptEnded(sent sentRun, server roster.Server, how quarantine.Ending) {
	c.r.endSend(sent, how)
	if how == quarantine.Broken {
		c.r.probeAfterBreak(server)
	}
}

// mayRetryAfterCrash reports whether the router may send the request to another server after
// it has arrived at one.
func (c *call) mayRetryAfterCrash() bool {
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	return c.r.quarantine.MayRepeat(c.fingerprint) && c.r.parts.MayRepeat(time.Now(), c.service, c.meta.Shared)
}

// errAnswered marks the failure of a server that gave its whole answer.
var errAnswered = errors.New("the server answered")

// runEnding returns how a run ended, from what became of its answer.
func runEnding(ctx context.Context, next step, result health.Result, err error) quarantine.Ending {
	switch {
	case next == done && result != health.NoResult, errors.Is(err, errAnswered):
		return quarantine.Complete
	case next != done && ctx.Err() == nil && connectionEnded(err):
		return quarantine.Broken
	default:
		return quarantine.Cancelled
	}
}

// connectionEnded reports whether the error is the end of a connection or an answer, or a
// network fault, as opposed to bytes that are not a valid answer.
func connectionEnded(err error) bool {
	var network net.Error
	return errors.Is(err, errNotWhole) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, backend.ErrStalled) || errors.As(err, &network)
}

// probes are the probes under way of servers whose answers broke off: one probe serves all
// answers that broke off at a server at the same time.
type probes struct {
	mu   sync.Mutex
	open map[string]chan struct{}
}

func newProbes() *probes { return &probes{open: make(map[string]chan struct{})} }

// joinOrStart returns the probe of the server that is under way, and whether the caller must
// run it.
func (p *probes) joinOrStart(server string) (ended chan struct{}, mine bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ended, under := p.open[server]; under {
		return ended, false
	}
	ended = make(chan struct{})
	p.open[server] = ended
	return ended, true
}

func (p *probes) end(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.open[server])
	delete(p.open, server)
}

// probeAfterBreak probes whether a server whose answer broke off still accepts connections: a
// crashed one refuses them, a running one was disconnected on the way, and for one that does
// not respond the store's entry decides. It returns once the result is known, so that what
// follows can use it, and at the latest after the pool's timeout for opening a connection.
func (r *Router) probeAfterBreak(server roster.Server) {
	identity := server.Identity()
	ended, mine := r.probes.joinOrStart(identity)
	if !mine {
		<-ended
		return
	}
	defer r.probes.end(identity)
	switch probe.Sign(r.pool.Probe(context.Background(), backend.Target{ID: identity, Address: server.Address})) {
	case completeness.Takes:
		r.mu.Lock()
		r.quarantine.Alive(time.Now(), identity)
		r.parts.Alive(time.Now(), identity)
		r.mu.Unlock()
	case completeness.Refuses:
		r.serverCrashed(server)
	}
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// serverCrashed records that the server refuses connections. One that announced its shutdown, or
// whose entry is gone, has ended as it should.
func (r *Router) serverCrashed(server roster.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, is := r.servers[server.ID]
	if !is || known.Incarnation != server.Incarnation {
		return
	}
	r.recordCrash(server.Identity())
	r.handleQuarantineEvents()
}

// recordCrash records the crash of a server, first with the parts that were there: they may explain it. The
// caller holds mu.
func (r *Router) recordCrash(identity string) {
	now := time.Now()
	r.parts.Crash(now, identity)
	r.quarantine.Crash(now, identity)
}

// serverGone records that a server's entry was removed, or that a later incarnation has its id,
// without the server having announced its shutdown. The caller holds mu.
func (r *Router) serverGone(change roster.Change) {
	switch change.Reason {
	case roster.ReasonRestarted:
		r.recordCrash(change.Server.Identity())
	case roster.ReasonRemoved, roster.ReasonLapsed:
		r.quarantine.Gone(time.Now(), change.Server.Identity())
		r.parts.Gone(time.Now(), change.Server.Identity())
	}
	r.handleQuarantineEvents()
}

// handleQuarantineEvents logs and counts quarantine events and wakes the sender of crash
// reports. The caller holds mu.
func (r *Router) handleQuarantineEvents() {
	for _, e := range r.quarantine.Events() {
		switch e.Kind {
		case quarantine.Crashed:
			r.metrics.crashes.Add(1)
			r.pool.DeathSeen(e.Server, 0)
			r.event("backend_server_crashed", "server", e.Server, "suspects", e.Suspects)
		case quarantine.Confirmed:
			r.metrics.confirmed.Add(1)
			servers, times, reportedBy := writeStrikes(e.Strikes)
			r.event("request_quarantined", "content", e.Content, "cause", e.Cause, "servers", servers, "crashed_at", times, "told_by", reportedBy)
		case quarantine.Cleared:
			r.metrics.cleared.Add(1)
			if allowed, dropped := r.failureLines.Allow("request_cleared", time.Now()); allowed {
				r.event("request_cleared", "content", e.Content, "cause", e.Cause, "left_out", dropped)
			}
		}
	}
	r.handlePartEvents()
	if r.quarantine.HasUnsent() || r.parts.HasUnsent() {
		select {
		case r.reportsReady <- struct{}{}:
		default:
		}
	}
}

// strikeTime is the format of crash times, in UTC.
const strikeTime = "15:04:05.000"

// writeStrikes lists the servers that crashed, when, and which routers reported that the
// request ran there.
func writeStrikes(strikes []quarantine.Strike) (servers, times, reportedBy string) {
	var s, t, by []string
	for _, one := range strikes {
		s, t, by = append(s, one.Server), append(t, one.At.UTC().Format(strikeTime)), append(by, strings.Join(one.ReportedBy, "+"))
	}
	return strings.Join(s, ","), strings.Join(t, ","), strings.Join(by, ",")
}
