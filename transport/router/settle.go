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
		act = f.c.core.Step(time.Now(), r.ask(f, false))
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

// ask asks the sidecar for the fate of the attempt once. A peek changes
// nothing there.
func (r *Router) ask(f *flight, peek bool) attempt.Event {
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
	timer   *time.Timer
	stopped atomic.Bool
	armed   atomic.Bool
}

// watchSilence cancels the stream when nothing comes and the sidecar does not
// know the attempt as running or does not answer.
func (r *Router) watchSilence(f *flight, cancel context.CancelFunc) *silence {
	s := &silence{}
	s.armed.Store(true)
	missed := 0
	s.timer = time.AfterFunc(silentFor, func() {
		if s.stopped.Load() {
			return
		}
		if !s.armed.Load() {
			s.timer.Reset(silentFor)
			return
		}
		got, ok := r.ask(f, true).(attempt.Settled)
		switch {
		case ok && got.Fate == attempt.Running:
			missed = 0
		case ok || missed+1 >= silentAsks:
			cancel()
			return
		default:
			missed++
		}
		if !s.stopped.Load() {
			s.timer.Reset(silentFor)
		}
	})
	return s
}

// arm starts a wait for the stream.
func (s *silence) arm() {
	s.armed.Store(true)
	s.timer.Reset(silentFor)
}

// disarm ends a wait for the stream.
func (s *silence) disarm() { s.armed.Store(false) }

// stop ends the watch.
func (s *silence) stop() {
	s.stopped.Store(true)
	s.timer.Stop()
}
