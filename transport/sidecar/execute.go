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
)

const (
	// readSize is the size of one answer chunk at most, in bytes.
	readSize = 32 << 10
	// answerWindow bounds the answer bytes that are held for a router, in
	// bytes. It must be larger than the router's ack interval.
	answerWindow = 1 << 20
)

// Causes for which a run is cancelled.
var (
	// errCancelled means that the caller went away.
	errCancelled = errors.New("run: cancelled by the router")
	// errAbandoned means that no stream came back within the grace time.
	errAbandoned = errors.New("run: no router came back for the answer")
	// errStopped means that the sidecar stops and the bound has passed.
	errStopped = errors.New("run: the sidecar stops")
	// errRunDeadline means that the request's deadline passed.
	errRunDeadline = errors.New("run: the deadline passed")
)

// execute runs an attempt to its end, whether or not a stream is attached.
func (s *Sidecar) execute(a *attempt, body []byte) {
	defer s.held.Add(-1)
	ctx := a.ctx
	if ms := a.start.DeadlineMs; ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, wire.Millis(ms), errRunDeadline)
		defer cancel()
	}
	ctx, span := s.beginRun(ctx, a)
	began := time.Now()
	a.meter.start(began)
	s.limits.begin(s.ctx, a)
	end := s.call(ctx, a, body)
	s.limits.end(s.ctx, a, end)
	end.Attempt = a.start.Attempt.Number
	end.Cost = a.meter.cost()
	end.BackendUs = time.Since(began).Microseconds()
	a.runs.end(a, end)
	a.cancel(nil)
	s.free(a)
	s.endRun(ctx, span, a, end, began)
}

// call sends the request to the backend server and reads its answer.
func (s *Sidecar) call(ctx context.Context, a *attempt, body []byte) *wire.End {
	began := time.Now()
	ctx, span := s.beginCall(ctx, a)
	defer span.End()
	resp, err := s.backend.do(ctx, a.start, body)
	switch {
	case errors.Is(err, errNotWritten):
		return &wire.End{Outcome: string(outcome.NotRun), Reason: string(reasonOf(ctx))}
	case err != nil:
		return &wire.End{Outcome: string(outcome.Unknown), Reason: string(reasonOf(ctx))}
	}
	defer resp.Body.Close()
	if resp.StatusCode < http.StatusOK {
		// What follows is another protocol, or no answer of HTTP.
		return &wire.End{Outcome: string(outcome.Failed), Reason: string(outcome.ReasonBackend)}
	}
	length := resp.ContentLength
	if isStream(resp) {
		// A stream that keeps its length may break off all the same, which a caller who
		// knows the length could not be told.
		length = -1
		resp.Header.Del("Content-Length")
	}
	a.answer.setHead(headOf(resp, a.runs.incarnation), length)
	a.status = resp.StatusCode
	answer := follow(resp)
	end := copyAnswer(ctx, a, s.limits.timed(answer, began))
	s.checkWhole(ctx, end, answer)
	return end
}

// copyAnswer reads the body into the answer. One whose reading met an error ends as failed.
func copyAnswer(ctx context.Context, a *attempt, body io.Reader) *wire.End {
	end := &wire.End{Outcome: string(outcome.Completed)}
	sum := xxhash.New()
	held := buffers.Get().(*[readSize]byte)
	defer buffers.Put(held)
	buf := held[:]
	var last tail
	for {
		n, err := body.Read(buf)
		if n > 0 {
			part := buf[:n]
			a.meter.read(part)
			last.write(part)
			_, _ = sum.Write(part)
			end.Length += int64(n)
			if werr := a.answer.write(ctx, part); werr != nil {
				err = werr
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			end.Outcome, end.Reason = string(outcome.Failed), string(reasonOf(ctx))
			break
		}
	}
	end.Checksum = sum.Sum64()
	a.meter.settle(last.buf)
	return end
}

// reasonOf tells why a run broke off.
func reasonOf(ctx context.Context) outcome.Reason {
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
