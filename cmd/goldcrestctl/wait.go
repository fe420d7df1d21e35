package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/operator"
)

// pollInterval is the interval at which the status of the fleet is polled.
const pollInterval = 200 * time.Millisecond

// rollout counts the processes in which a revision is in force.
type rollout struct {
	routers, allRouters   int
	backends, allBackends int
}

func (r rollout) complete() bool { return r.routers == r.allRouters && r.backends == r.allBackends }

// rolloutOf counts the routers and linked backend servers that have the revision
// in force. A router that doesn't answer counts as behind.
func rolloutOf(s *operator.Status, revision uint64) rollout {
	var r rollout
	for _, router := range s.Routers {
		r.allRouters++
		if router.Answered && router.Revision >= revision {
			r.routers++
		}
	}
	for _, b := range s.Backends {
		if !b.Linked {
			continue
		}
		r.allBackends++
		if b.Revision >= revision {
			r.backends++
		}
	}
	return r
}

// awaitRollout polls the status until the revision is in force in every process that the
// queried router knows, or the bound has passed.
func (a *app) awaitRollout(ctx context.Context, revision uint64, bound time.Duration) error {
	start := time.Now()
	for {
		s, err := a.client().Status(ctx)
		var r rollout
		if err == nil {
			r = rolloutOf(s, revision)
		}
		elapsed := time.Since(start)
		if err == nil && r.complete() {
			a.printTableLine("In force at %d routers and %d backend servers after %s.", r.routers, r.backends, elapsed.Round(time.Millisecond))
			return nil
		}
		if elapsed > bound {
			return errors.Newf("revision %d is accepted, but after %s it is in force at %d of %d routers and %d of %d backend servers",
				revision, bound, r.routers, r.allRouters, r.backends, r.allBackends)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}
