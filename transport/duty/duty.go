// Package duty contains helpers for the goroutines that drive the decision logic: message
// delivery and graceful shutdown.
//
// It is used by transport/direct, transport/router, transport/sidecar and transport/spread.
package duty

import (
	"context"
	"time"

	"goldcrestport/coordination/leave"
)

// Post sends a message to the ring of a goroutine. It blocks while the ring is full, until ctx
// ends.
func Post[M any](ctx context.Context, ring chan<- M, m M) {
	select {
	case ring <- m:
	case <-ctx.Done():
	}
}

// shutdownPollInterval is the period in which a process that is shutting down checks its
// requests in flight.
const shutdownPollInterval = 10 * time.Millisecond

// Leave goes through the phases of a graceful shutdown and calls enter at the start of each.
// inFlight returns the number of requests in flight; abort is closed when a second stop signal
// arrives. Leave returns when the process may exit.
func Leave(cfg leave.Config, inFlight func() int64, abort <-chan struct{}, enter func(leave.Phase)) {
	state := leave.New(cfg)
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	phase := state.Step(time.Now(), leave.StopRequested{})
	enter(phase)
	for phase != leave.Stopped {
		var ev leave.Event
		select {
		case <-ticker.C:
			ev = leave.Ticked{InFlight: int(inFlight())}
		case <-abort:
			abort, ev = nil, leave.StopRequestedAgain{}
		}
		if next := state.Step(time.Now(), ev); next != phase {
			phase = next
			enter(phase)
		}
	}
}
