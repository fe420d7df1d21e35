package sidecar

import (
	"context"
	"sync"
	"time"

	"goldcrestport/protocol/wire"
	"goldcrestport/state/attempts"
)

// runs is the table of attempts of one incarnation, with the responses that
// are still buffered.
type runs struct {
	incarnation string
	// ctx ends when a new incarnation replaces this one.
	ctx    context.Context
	retire context.CancelFunc

	mu    sync.Mutex
	table *attempts.Table
	// retained holds the running attempts and the ended ones whose response is
	// still buffered.
	retained map[attempts.ID]*attempt
}

func newRuns(incarnation string, cfg attempts.Config) *runs {
	ctx, retire := context.WithCancel(context.Background())
	return &runs{
		incarnation: incarnation,
		ctx:         ctx,
		retire:      retire,
		table:       attempts.New(cfg),
		retained:    map[attempts.ID]*attempt{},
	}
}

func idOf(a *wire.Attempt) attempts.ID {
	return attempts.ID{Request: a.RequestId, Number: a.Number}
}

func (r *runs) offer(id attempts.ID) attempts.Phase {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Offer(time.Now(), id)
}

func (r *runs) decline(id attempts.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Decline(time.Now(), id)
}

// start marks the attempt as running and reports whether it may run.
func (r *runs) start(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.table.Start(a.id) {
		return false
	}
	r.retained[a.id] = a
	return true
}

// end adds the end to the response and to the table under one lock, so that
// the two always agree.
func (r *runs) end(a *attempt, e *wire.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.response.finish(e)
	r.drop(r.table.End(time.Now(), a.id, a.response.size()))
}

// release drops a response that the router has received completely.
func (r *runs) release(id attempts.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table.Release(id) {
		r.drop([]attempts.ID{id})
	}
}

// expire drops the responses that are too old.
func (r *runs) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(r.table.Expire(time.Now()))
}

// drop discards the responses of the attempts. It is called with mu locked.
func (r *runs) drop(ids []attempts.ID) {
	for _, id := range ids {
		if a := r.retained[id]; a != nil {
			a.response.drop()
			delete(r.retained, id)
		}
	}
}

// find returns a running attempt, or an ended one whose response is still
// buffered, or nil.
func (r *runs) find(id attempts.ID) *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retained[id]
}

// cancelAll cancels every run with the cause.
func (r *runs) cancelAll(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.retained {
		a.cancel(cause)
	}
}

// settle returns the fate of an attempt. Unless the request only peeks, an
// attempt that has not started is blocked from running later.
func (r *runs) settle(req *wire.SettleRequest) attempts.Fate {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := idOf(req.Attempt)
	if req.Peek {
		return r.table.Peek(id)
	}
	return r.table.Settle(time.Now(), id, wire.Millis(req.AgeMs))
}
