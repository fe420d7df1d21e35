package sidecar

import (
	"context"
	"sync"
	"time"

	"goldcrestport/protocol/wire"
	"goldcrestport/state/attempts"
)

// runs is the table of attempts of one incarnation, with the answers that are
// still kept.
type runs struct {
	incarnation string
	// ctx ends when another incarnation takes over.
	ctx    context.Context
	retire context.CancelFunc

	mu    sync.Mutex
	table *attempts.Table
	// live holds the running attempts and the ended ones with an answer.
	live map[attempts.ID]*attempt
}

func newRuns(incarnation string, cfg attempts.Config) *runs {
	ctx, retire := context.WithCancel(context.Background())
	return &runs{
		incarnation: incarnation,
		ctx:         ctx,
		retire:      retire,
		table:       attempts.New(cfg),
		live:        map[attempts.ID]*attempt{},
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

// start reports whether the attempt may run.
func (r *runs) start(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.table.Start(a.id) {
		return false
	}
	r.live[a.id] = a
	return true
}

// end adds the end to the answer, so that it and the table tell the same.
func (r *runs) end(a *attempt, e *wire.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.answer.finish(e)
	r.drop(r.table.End(time.Now(), a.id, a.answer.size()))
}

// release drops an answer that the router has whole.
func (r *runs) release(id attempts.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table.Release(id) {
		r.drop([]attempts.ID{id})
	}
}

// expire drops the answers that are too old.
func (r *runs) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(r.table.Expire(time.Now()))
}

// drop is called with mu held.
func (r *runs) drop(ids []attempts.ID) {
	for _, id := range ids {
		if a := r.live[id]; a != nil {
			a.answer.drop()
			delete(r.live, id)
		}
	}
}

// find returns a running attempt, or an ended one with its answer.
func (r *runs) find(id attempts.ID) *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.live[id]
}

// cancelAll ends every run with the cause.
func (r *runs) cancelAll(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.live {
		a.cancel(cause)
	}
}

// settle tells the fate of an attempt and makes sure that it does not run
// later if it does not run now.
func (r *runs) settle(req *wire.SettleRequest) attempts.Fate {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := idOf(req.Attempt)
	if req.Peek {
		return r.table.Peek(id)
	}
	return r.table.Settle(time.Now(), id, wire.Millis(req.AgeMs))
}
