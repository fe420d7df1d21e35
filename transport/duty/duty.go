// Package duty holds what the goroutines that drive the decisions have in
// common.
//
// The drivers of transport/router, transport/sidecar, transport/spread and
// transport/claims call it.
package duty

import (
	"context"
	"time"

	"goldcrestport/coordination/leave"
)

// Post puts a message into a duty's ring, waiting while it is full or until
// ctx ends.
func Post[M any](ctx context.Context, ring chan<- M, m M) {
	select {
	case ring <- m:
	case <-ctx.Done():
	}
}

// leaveEvery is the period in which a leaving process looks at what it holds.
const leaveEvery = 10 * time.Millisecond

// Leave goes through the phases of a graceful shutdown and calls enter at the
// begin of each. held returns the number of requests that have not ended; abort
// is closed by a second request to stop. It returns when the process may end.
func Leave(cfg leave.Config, held func() int64, abort <-chan struct{}, enter func(leave.Phase)) {
	core := leave.New(cfg)
	ticker := time.NewTicker(leaveEvery)
	defer ticker.Stop()
	phase := core.Step(time.Now(), leave.StopRequested{})
	enter(phase)
	for phase != leave.Stopped {
		var ev leave.Event
		select {
		case <-ticker.C:
			ev = leave.Ticked{InFlight: int(held())}
		case <-abort:
			abort, ev = nil, leave.StopRequestedAgain{}
		}
		if next := core.Step(time.Now(), ev); next != phase {
			phase = next
			enter(phase)
		}
	}
}
