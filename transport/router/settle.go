package router

import (
	"context"
	"sync/atomic"
	"time"

	"goldcrestport/coordination/attempt"
	"goldcrestport/protocol/wire"
)

// settle determines what to do about an attempt whose stream was interrupted. It
// queries the sidecar for the fate of the attempt until the core decides.
func (r *Router) settle(ctx context.Context, f *sentAttempt, res streamResult) attempt.Action {
	relay := f.c.relay
	act := f.c.core.Step(time.Now(), attempt.Lost{Sent: res.sent, Delivered: relay.wrote, Offset: relay.offset})
	for {
		settle, ok := act.(attempt.Settle)
		if !ok {
			return act
		}
		if !sleep(ctx, settle.After) {
			return attempt.Finish{Kind: attempt.Unknown, Cause: attempt.LinkLost}
		}
		act = f.c.core.Step(time.Now(), fateEvent(r.queryFate(f, false)))
	}
}

// sleep waits for d; it returns false if ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// queryFate queries the sidecar once for the fate of the attempt; it returns nil
// if there is no answer. A peek does not change the sidecar's state.
func (r *Router) queryFate(f *sentAttempt, peek bool) *wire.SettleResponse {
	ctx, cancel := context.WithTimeout(r.ctx, settleTimeout)
	defer cancel()
	r.metrics.settleQueries.Add(1)
	// The answer is used only if it arrives within the timeout, so this is an
	// upper bound of the attempt's age when the sidecar receives the query.
	age := time.Since(f.sent) + settleTimeout
	resp, err := r.pool.Sidecar(ctx, f.addr).Settle(ctx, &wire.SettleRequest{
		Attempt: f.attempt,
		AgeMs:   age.Milliseconds() + 1,
		Peek:    peek,
	})
	if err != nil {
		return nil
	}
	return resp
}

func fateEvent(resp *wire.SettleResponse) attempt.Event {
	if resp == nil {
		return attempt.NoAnswer{}
	}
	return attempt.Settled{Fate: fateOf(resp.Fate), AnswerKept: resp.AnswerKept}
}

func fateOf(f wire.Fate) attempt.Fate {
	switch f {
	case wire.Fate_FATE_BLOCKED, wire.Fate_FATE_DECLINED:
		return attempt.NotRun
	case wire.Fate_FATE_RUNNING, wire.Fate_FATE_WAITING:
		return attempt.Running
	case wire.Fate_FATE_ENDED:
		return attempt.Ended
	}
	return attempt.Gone
}

// Limits for streams that receive nothing.
const (
	// silenceTimeout is how long a stream may receive nothing before the sidecar
	// is queried for the state of the attempt.
	silenceTimeout = 3 * time.Second
	// maxMissedChecks is the number of failed checks in a row after which the
	// stream is cancelled.
	maxMissedChecks = 2
)

// silenceWatch detects a stream that no longer carries data: its link does not
// close by itself when the other side is frozen or partitioned.
type silenceWatch struct {
	timer *time.Timer
	// offset is the number of bytes delivered when the current wait started, or
	// one of the values below.
	offset atomic.Int64
	missed int
	// cancel ends the stream.
	cancel context.CancelFunc
}

// Values of silenceWatch.offset when nothing is awaited.
const (
	notWaiting   = -1
	watchStopped = -2
)

// watchSilence starts a watch that cancels the stream when nothing is received
// and the sidecar does not answer, does not report the attempt as running, or
// has more bytes than were received.
func (r *Router) watchSilence(f *sentAttempt, cancel context.CancelFunc) *silenceWatch {
	s := &silenceWatch{cancel: cancel}
	s.timer = time.AfterFunc(silenceTimeout, func() { s.check(func() *wire.SettleResponse { return r.queryFate(f, true) }) })
	s.offset.Store(0)
	return s
}

// check queries the sidecar after silenceTimeout and cancels the stream if it is
// broken.
func (s *silenceWatch) check(query func() *wire.SettleResponse) {
	offset := s.offset.Load()
	switch offset {
	case watchStopped:
		return
	case notWaiting:
		s.timer.Reset(silenceTimeout)
		return
	}
	resp := query()
	if s.offset.Load() != offset {
		return // a message arrived in the meantime and the timer was reset
	}
	switch {
	case resp == nil:
		s.missed++
	case fateOf(resp.Fate) != attempt.Running || resp.Length > offset:
		// The missing message may still be in transit, so one more check
		// follows.
		s.missed++
	default:
		s.missed = 0
	}
	if s.missed >= maxMissedChecks {
		s.cancel()
		return
	}
	s.timer.Reset(silenceTimeout)
}

// arm starts a wait for the next message; offset bytes were delivered so far.
func (s *silenceWatch) arm(offset int64) {
	s.offset.Store(offset)
	s.timer.Reset(silenceTimeout)
}

// disarm ends the wait for the next message.
func (s *silenceWatch) disarm() { s.offset.Store(notWaiting) }

// stop ends the watch.
func (s *silenceWatch) stop() {
	s.offset.Store(watchStopped)
	s.timer.Stop()
}
