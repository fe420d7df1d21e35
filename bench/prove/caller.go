package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"goldcrestport/bench/history"
	"goldcrestport/protocol/outcome"
)

// Bounds of a caller.
const (
	callBound      = 45 * time.Second
	operationBound = 40 * time.Second
	askedDeadline  = "15s"
	minThink       = 20 * time.Millisecond
	moreThink      = 200 * time.Millisecond
	minPause       = 50 * time.Millisecond
	maxPause       = time.Second
	// maxRepeats bounds how often a non-idempotent call with a key is
	// repeated after an end that may have run.
	maxRepeats = 3
)

// caller is one client that sends operations one after the other.
type caller struct {
	w      *World
	name   string
	team   string
	random *rand.Rand
	client *http.Client
	// draw makes the next operation.
	draw mix
}

func newCaller(w *World, name, team string, seed uint64) *caller {
	return &caller{
		w: w, name: name, team: team, draw: draw,
		random: rand.New(rand.NewPCG(seed, 1)),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}},
	}
}

// run sends operations until ctx ends and brings the open ones to their end.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		c.perform(c.draw(c.random, fmt.Sprintf("%s-%d", c.name, n), c.team))
		pause(ctx, minThink+rand.N(moreThink))
	}
}

// perform sends operations at once, but the last of several only later.
func (c *caller) perform(ops []operation) {
	var together sync.WaitGroup
	avoid := ""
	for i, op := range ops {
		if i > 1 {
			together.Wait()
		}
		first := c.w.balancer.choose(c.random, avoid)
		avoid = first.Name
		random := rand.New(rand.NewPCG(c.random.Uint64(), uint64(i)))
		together.Go(func() { c.one(op, first, random) })
	}
	together.Wait()
}

// one brings an operation to its end, repeating calls as their outcomes allow.
func (c *caller) one(op operation, through *router, random *rand.Rand) {
	record := history.Operation{
		ID: op.id, Team: op.team, NonIdempotent: op.nonIdempotent, Key: op.key, Started: time.Now(),
	}
	repeats := 0
	for time.Since(record.Started) < operationBound {
		record.Calls++
		call, after := c.call(op, fmt.Sprintf("%s.%d", op.id, record.Calls), through)
		c.w.History.Add(call)
		record.Result = call.Outcome
		if call.Ending != history.Answered {
			record.Result = ""
		}
		next := decide(op, call)
		if next == again {
			repeats++
		}
		if next == stop || repeats > maxRepeats && op.nonIdempotent {
			break
		}
		time.Sleep(min(max(after, minPause), maxPause))
		through = c.w.balancer.choose(random, through.Name)
	}
	record.Ended = time.Now()
	c.w.History.Add(record)
}

// step is what a caller does after a call.
type step int

const (
	// stop means that the operation has ended.
	stop step = iota
	// retry means that the call did not run and is sent again.
	retry
	// again means that the call may have run and is sent again.
	again
)

// decide follows the outcome: what was not run may be sent again, idempotent
// calls always, others only under their key.
func decide(op operation, call history.Call) step {
	switch {
	case call.Ending == history.Unsent:
		return retry
	case call.Ending == history.Answered && call.Outcome == outcome.Completed:
		return stop
	case call.Ending == history.Answered && call.Outcome == outcome.NotRun && call.Reason != string(outcome.ReasonDuplicate):
		return retry
	case !op.nonIdempotent || op.key != "":
		return again
	default:
		return stop
	}
}

// pause waits, or less when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
