package sidecar

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/wire"
	"goldcrestport/transport/framing"
)

const (
	// readSize is the maximum size of a response chunk, in bytes.
	readSize = 32 << 10
	// responseWindow bounds the response data buffered for a router, in bytes.
	// It must be larger than the router's acknowledgement interval.
	responseWindow = 1 << 20
)

// Causes of a run's cancellation.
var (
	// errCancelled means that the caller disconnected.
	errCancelled = errors.New("run: cancelled by the router")
	// errAbandoned means that no stream resumed the response within the grace
	// period.
	errAbandoned = errors.New("run: no router came back for the answer")
	// errStopped means that the time limit of the sidecar's shutdown has passed.
	errStopped = errors.New("run: the sidecar stops")
	// errRunDeadline means that the request's deadline has passed.
	errRunDeadline = errors.New("run: the deadline passed")
)

// execute runs an attempt to completion, whether or not a stream is attached.
func (s *Sidecar) execute(a *attempt, body []byte) {
	defer s.inFlight.Add(-1)
	ctx := a.ctx
	if ms := a.start.DeadlineMs; ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, wire.Millis(ms), errRunDeadline)
		defer cancel()
	}
	ctx, span := s.startRun(ctx, a)
	start := time.Now()
	a.meter.start(start)
	s.limits.runStarted(s.ctx, a)
	end := s.call(ctx, a, body)
	s.limits.runEnded(s.ctx, a, end)
	end.Attempt = a.start.Attempt.Number
	end.Cost = a.meter.cost()
	end.BackendUs = time.Since(start).Microseconds()
	a.runs.end(a, end)
	a.cancel(nil)
	s.releaseSlot(a)
	s.endRun(ctx, span, a, end, start)
}

// call sends the request to the backend server and reads the response.
func (s *Sidecar) call(ctx context.Context, a *attempt, body []byte) *wire.End {
	start := time.Now()
	ctx, span := s.startCall(ctx, a)
	defer span.End()
	resp, err := s.backend.do(ctx, a.start, body)
	switch {
	case errors.Is(err, errNotWritten):
		return &wire.End{Outcome: string(outcome.NotRun), Reason: string(abortReason(ctx))}
	case err != nil:
		return &wire.End{Outcome: string(outcome.Unknown), Reason: string(abortReason(ctx))}
	}
	defer resp.Body.Close()
	if resp.StatusCode < http.StatusOK || !framing.IsStatus(resp.StatusCode) {
		// Either the server switched protocols or this is not valid HTTP.
		return &wire.End{Outcome: string(outcome.Failed), Reason: string(outcome.ReasonBackend)}
	}
	length := resp.ContentLength
	if isStream(resp) {
		// A stream of the announced length may still be incomplete, and to a caller
		// that knows the length this could not be indicated.
		length = -1
		resp.Header.Del("Content-Length")
	}
	a.response.setHead(responseHead(resp, a.runs.incarnation), length)
	a.status = resp.StatusCode
	tracked := trackBody(resp)
	end := copyResponse(ctx, a, s.limits.timeTokens(tracked, start))
	s.checkComplete(ctx, end, tracked)
	return end
}

// copyResponse reads the body into the response buffer. The outcome is failed
// if a read or write fails.
func copyResponse(ctx context.Context, a *attempt, body io.Reader) *wire.End {
	end := &wire.End{Outcome: string(outcome.Completed)}
	sum := xxhash.New()
	pooled := readBuffers.Get().(*[readSize]byte)
	defer readBuffers.Put(pooled)
	buf := pooled[:]
	var last tail
	for {
		n, err := body.Read(buf)
		if n > 0 {
			chunk := buf[:n]
			a.meter.count(chunk)
			last.write(chunk)
			_, _ = sum.Write(chunk)
			end.Length += int64(n)
			if werr := a.response.write(ctx, chunk); werr != nil {
				err = werr
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			end.Outcome, end.Reason = string(outcome.Failed), string(abortReason(ctx))
			break
		}
	}
	end.Checksum = sum.Sum64()
	a.meter.settle(last.buf)
	return end
}

// abortReason returns why a run was aborted.
func abortReason(ctx context.Context) outcome.Reason {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return outcome.ReasonBackend
	case errors.Is(cause, errRunDeadline):
		return outcome.ReasonDeadline
	case errors.Is(cause, errStopped):
		return outcome.ReasonLeaving
	default:
		return outcome.ReasonCancelled
	}
}
