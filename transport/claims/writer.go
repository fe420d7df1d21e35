package claims

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/claim"
	"goldcrestport/state/claims"
	"goldcrestport/transport/platform"
)

// eventRing bounds the events on the way to the writer's duty.
const eventRing = 1024

// tickEvery is the period in which deadlines and pauses are looked at.
const tickEvery = 10 * time.Millisecond

// event is what is handed to the writer's duty. A call comes with the channel
// for its answer.
type event struct {
	event  claim.Event
	answer chan claim.Answer
}

// writer is the duty that owns the claim core and calls the platform for it.
type writer struct {
	core    *claim.State
	store   platform.Store
	timeout time.Duration
	metrics *metrics
	events  chan event
	waiting map[uint64]chan claim.Answer
	lastID  uint64
}

func newWriter(cfg Config, store platform.Store, m *metrics) *writer {
	return &writer{
		core:    claim.New(cfg.Core),
		store:   store,
		timeout: cfg.CallTimeout,
		metrics: m,
		events:  make(chan event, eventRing),
		waiting: map[uint64]chan claim.Answer{},
	}
}

// run is the duty's loop.
func (w *writer) run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-w.events:
			w.handle(ctx, ev)
		case <-ticker.C:
			w.step(ctx, claim.Ticked{})
		}
	}
}

func (w *writer) handle(ctx context.Context, ev event) {
	if asked, ok := ev.event.(claim.Asked); ok {
		w.lastID++
		asked.Call.ID = w.lastID
		w.waiting[w.lastID] = ev.answer
		ev.event = asked
	}
	w.step(ctx, ev.event)
}

func (w *writer) step(ctx context.Context, ev claim.Event) {
	for _, a := range w.core.Step(time.Now(), ev) {
		switch a := a.(type) {
		case claim.Read:
			go w.read(ctx, a)
		case claim.Write:
			w.metrics.grouped.Add(int64(a.Calls))
			go w.write(ctx, a)
		case claim.Answer:
			w.waiting[a.Call] <- a
			delete(w.waiting, a.Call)
		}
	}
}

func (w *writer) post(ctx context.Context, ev event) bool {
	select {
	case w.events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask hands a call to the duty and waits for its answer.
func (w *writer) ask(ctx context.Context, c claim.Call) claim.Answer {
	answer := make(chan claim.Answer, 1)
	if !w.post(ctx, event{event: claim.Asked{Call: c}, answer: answer}) {
		return claim.Answer{Verdict: claim.Unavailable}
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return claim.Answer{Verdict: claim.Unavailable}
	}
}

func (w *writer) read(ctx context.Context, a claim.Read) {
	w.metrics.reads.Add(1)
	sub, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	e, err := w.store.Get(sub, claims.StoreKey(a.Shard))
	done := claim.ReadDone{Shard: a.Shard, Result: claim.OK, Version: e.Version}
	switch {
	case errors.Is(err, platform.ErrNotFound):
		done.Table = &claims.Table{}
	case err != nil:
		done.Result = result(err)
	default:
		done.Table, err = claims.Decode(e.Value)
		if err != nil {
			done.Result = claim.Lost
		}
	}
	w.metrics.platform(done.Result)
	w.post(ctx, event{event: done})
}

func (w *writer) write(ctx context.Context, a claim.Write) {
	w.metrics.writes.Add(1)
	w.metrics.bytes.Add(int64(len(a.Value)))
	sub, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	version, err := w.store.Put(sub, claims.StoreKey(a.Shard), a.Value, a.Version, "")
	done := claim.WriteDone{Shard: a.Shard, Result: result(err), Version: version}
	w.metrics.platform(done.Result)
	if done.Result == claim.Lost {
		w.metrics.readBacks.Add(1)
	}
	w.post(ctx, event{event: done})
}

// result says what an error proves about a call. Any error that is not known
// to prove the opposite leaves the effect open.
func result(err error) claim.CallResult {
	switch {
	case err == nil:
		return claim.OK
	case errors.Is(err, platform.ErrConflict):
		return claim.Conflict
	case errors.Is(err, platform.ErrBusy):
		return claim.Refused
	case errors.Is(err, platform.ErrTooLarge):
		return claim.TooLarge
	default:
		return claim.Lost
	}
}
