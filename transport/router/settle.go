package router

import (
	"context"
	"sync/atomic"
	"time"

	"goldcrestport/coordination/attempt"
	"goldcrestport/protocol/wire"
)

// settle finds out how an attempt goes on whose stream broke off.
func (r *Router) settle(ctx context.Context, f *flight, res result) attempt.Action {
	relay := f.c.relay
	act := f.c.core.Step(time.Now(), attempt.Lost{Sent: res.sent, Delivered: relay.wrote, Offset: relay.offset})
	for {
		ask, ok := act.(attempt.Settle)
		if !ok {
			return act
		}
		if !pause(ctx, ask.After) {
			return attempt.Finish{Kind: attempt.Unknown, Cause: attempt.LinkLost}
		}
		act = f.c.core.Step(time.Now(), fateEvent(r.ask(f, false)))
	}
}

// pause waits and reports whether the context still stands.
func pause(ctx context.Context, d time.Duration) bool {
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

// ask asks the sidecar for the fate of the attempt once; no answer is nil. A
// peek changes nothing there.
func (r *Router) ask(f *flight, peek bool) *wire.SettleResponse {
	ctx, cancel := context.WithTimeout(r.ctx, settleTimeout)
	defer cancel()
	r.metrics.settles.Add(1)
	// The answer is used only if it comes within the timeout, so this bounds
	// the age at the time the sidecar sees the question.
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

// Bounds of the watch over silent streams.
const (
	// silentFor is how long a stream may bring nothing before the sidecar is
	// asked whether the attempt still stands.
	silentFor = 3 * time.Second
	// silentAsks is the number of questions in a row that may go unanswered.
	silentAsks = 2
)

// silence watches one stream: a link that carries nothing any more does not
// end by itself when the other side is frozen or cut off.
type silence struct {
	timer *time.Timer
	// offset delivered when the present wait began, notWaiting if none.
	offset atomic.Int64
	missed int
	// cancel ends the stream.
	cancel context.CancelFunc
}

// Values of silence.offset when no wait is on.
const (
	notWaiting   = -1
	watchStopped = -2
)

// watchSilence cancels the stream when nothing comes and the sidecar does not
// answer, does not know the attempt as running, or has more than came.
func (r *Router) watchSilence(f *flight, cancel context.CancelFunc) *silence {
	s := &silence{cancel: cancel}
	s.timer = time.AfterFunc(silentFor, func() { s.look(func() *wire.SettleResponse { return r.ask(f, true) }) })
	s.offset.Store(0)
	return s
}

// look asks after a silent time and cancels the stream if it is broken.
func (s *silence) look(ask func() *wire.SettleResponse) {
	offset := s.offset.Load()
	switch offset {
	case watchStopped:
		return
	case notWaiting:
		s.timer.Reset(silentFor)
		return
	}
	resp := ask()
	if s.offset.Load() != offset {
		return // something came meanwhile, and the timer is set again
	}
	switch {
	case resp == nil:
		s.missed++
	case fateOf(resp.Fate) != attempt.Running || resp.Length > offset:
		// It may be on its way just now, so it is asked once more.
		s.missed++
	default:
		s.missed = 0
	}
	if s.missed >= silentAsks {
		s.cancel()
		return
	}
	s.timer.Reset(silentFor)
}

// arm starts a wait for the stream, of which offset bytes were delivered.
func (s *silence) arm(offset int64) {
	s.offset.Store(offset)
	s.timer.Reset(silentFor)
}

// disarm ends a wait for the stream.
func (s *silence) disarm() { s.offset.Store(notWaiting) }

// stop ends the watch.
func (s *silence) stop() {
	s.offset.Store(watchStopped)
	s.timer.Stop()
}
