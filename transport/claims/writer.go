package claims

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/claim"
	"goldcrestport/state/claims"
	"goldcrestport/transport/platform"
)

// eventQueueSize is the capacity of the writer's event queue.
const eventQueueSize = 1024

// tickEvery is the interval at which deadlines and delays are checked.
const tickEvery = 10 * time.Millisecond

// event is an entry of the writer's queue. A call comes with the channel for its
// answer.
type event struct {
	event  claim.Event
	answer chan claim.Answer
}

// writer owns the state machine of coordination/claim and makes the platform calls
// that it requests. Only its run goroutine accesses core, pending and lastID.
type writer struct {
	core    *claim.State
	store   platform.Store
	timeout time.Duration
	expiry  time.Duration
	metrics *metrics
	events  chan event
	pending map[uint64]chan claim.Answer
	lastID  uint64
}

func newWriter(cfg Config, store platform.Store, m *metrics) *writer {
	return &writer{
		core:    claim.New(cfg.Core),
		store:   store,
		timeout: cfg.CallTimeout,
		expiry:  cfg.Core.Expiry,
		metrics: m,
		events:  make(chan event, eventQueueSize),
		pending: map[uint64]chan claim.Answer{},
	}
}

// run processes events and ticks until ctx ends.
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
	if received, ok := ev.event.(claim.CallReceived); ok {
		w.lastID++
		received.Call.ID = w.lastID
		w.pending[w.lastID] = ev.answer
		ev.event = received
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
		case claim.Seal:
			go w.seal(ctx, a)
		case claim.ReadSegment:
			go w.readSegment(ctx, a)
		case claim.Answer:
			w.pending[a.Call] <- a
			delete(w.pending, a.Call)
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

// ask queues a call and waits for its answer.
func (w *writer) ask(ctx context.Context, c claim.Call) claim.Answer {
	answer := make(chan claim.Answer, 1)
	if !w.post(ctx, event{event: claim.CallReceived{Call: c}, answer: answer}) {
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
	done := claim.ReadDone{Shard: a.Shard}
	var found bool
	done.Table, done.Version, found, done.Result = w.get(ctx, claims.StoreKey(a.Shard))
	if !found && done.Result == claim.OK {
		done.Table = &claims.Table{}
	}
	w.post(ctx, event{event: done})
}

// readSegment reads a segment. A missing segment is not treated as empty: its
// keys are unknown until they expire.
func (w *writer) readSegment(ctx context.Context, a claim.ReadSegment) {
	table, _, found, res := w.get(ctx, claims.SegmentKey(a.Shard, a.ID))
	if !found {
		res = claim.Lost
	}
	w.post(ctx, event{event: claim.SegmentDone{Shard: a.Shard, ID: a.ID, Result: res, Table: table}})
}

// get reads one table and its version, and reports whether the table exists.
func (w *writer) get(ctx context.Context, key string) (*claims.Table, uint64, bool, claim.CallResult) {
	w.metrics.reads.Add(1)
	sub, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	e, err := w.store.Get(sub, key)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, false, claim.OK
	}
	if err != nil {
		w.metrics.countFailure(result(err))
		return nil, 0, false, result(err)
	}
	table, err := claims.Decode(e.Value)
	if err != nil {
		return nil, 0, false, claim.Lost
	}
	return table, e.Version, true, claim.OK
}

// leaseMargin is how long a segment outlives its keys, so that clock skew does
// not remove it before they expire.
const leaseMargin = 30 * time.Minute

// seal stores a segment under its own lease. The lease removes it after its keys
// have expired, also if no shard value ever refers to the segment.
func (w *writer) seal(ctx context.Context, a claim.Seal) {
	w.metrics.sealed.Add(1)
	w.metrics.writes.Add(2)
	w.metrics.bytes.Add(int64(len(a.Value)))
	sub, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	lease, err := w.store.Grant(sub, w.expiry+leaseMargin)
	if err == nil {
		_, err = w.store.Put(sub, claims.SegmentKey(a.Shard, a.ID), a.Value, 0, lease)
	}
	w.metrics.countFailure(result(err))
	w.post(ctx, event{event: claim.SealDone{Shard: a.Shard, Result: result(err)}})
}

func (w *writer) write(ctx context.Context, a claim.Write) {
	w.metrics.writes.Add(1)
	w.metrics.bytes.Add(int64(len(a.Value)))
	sub, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	version, err := w.store.Put(sub, claims.StoreKey(a.Shard), a.Value, a.Version, "")
	done := claim.WriteDone{Shard: a.Shard, Result: result(err), Version: version}
	w.metrics.countFailure(done.Result)
	if done.Result == claim.Lost {
		w.metrics.readBacks.Add(1)
	}
	w.post(ctx, event{event: done})
}

// result maps the error of a platform call to what it proves about the call. Any
// error that does not prove that a call had no effect maps to Lost.
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
