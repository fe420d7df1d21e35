package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/operator"
)

// waitEvery is the interval at which the status of the fleet is polled.
const waitEvery = 200 * time.Millisecond

// reach counts the processes in which a revision is in force.
type reach struct {
	routers, allRouters   int
	backends, allBackends int
}

func (r reach) whole() bool { return r.routers == r.allRouters && r.backends == r.allBackends }

// reachOf counts the routers and linked backend servers that have the revision
// in force. A router that doesn't answer counts as behind.
func reachOf(s *operator.Status, revision uint64) reach {
	var r reach
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

// await polls the status until the revision is in force in every process that the queried
// router knows, or the bound has passed.
func (a *app) await(ctx context.Context, revision uint64, bound time.Duration) error {
	began := time.Now()
	for {
		s, err := a.client().Status(ctx)
		var r reach
		if err == nil {
			r = reachOf(s, revision)
		}
		spent := time.Since(began)
		if err == nil && r.whole() {
			a.tell("In force at %d routers and %d backend servers after %s.", r.routers, r.backends, spent.Round(time.Millisecond))
			return nil
		}
		if spent > bound {
			return errors.Newf("revision %d is accepted, but after %s it is in force at %d of %d routers and %d of %d backend servers",
				revision, bound, r.routers, r.allRouters, r.backends, r.allBackends)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(waitEvery):
		}
	}
}
