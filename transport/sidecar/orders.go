package sidecar

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/orders"
	"goldcrestport/protocol/document"
	"goldcrestport/state/config"
	"goldcrestport/transport/duty"
	"goldcrestport/transport/spread"
)

// Intervals, timeouts and queue size of the reconciler.
const (
	ordersTickInterval = 200 * time.Millisecond
	observeTimeout     = 5 * time.Second
	permitTimeout      = 5 * time.Second
	orderQueueSize     = 64
)

// drainByOrders is the drain source for a change of role.
const drainByOrders = "orders"

// reconciler is the event loop that sends orders to the engine until it has
// what the configuration wants.
type reconciler struct {
	s         *Sidecar
	core      *orders.State
	events    chan orders.Event
	engine    *engine
	permits   *permits
	remaining atomic.Int64
}

func newReconciler(s *Sidecar) *reconciler {
	cfg := orders.DefaultConfig()
	cfg.Seed = uint64(time.Now().UnixNano())
	cfg.WaitOut = s.set.Orders.Timeout.D()
	return &reconciler{
		s:       s,
		core:    orders.New(cfg),
		events:  make(chan orders.Event, orderQueueSize),
		engine:  &engine{base: s.set.Backend.URL, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, MaxResponseHeaderBytes: maxHeaderBytes}}},
		permits: &permits{store: s.store, holder: s.holderName(), held: map[orders.Permit]*permit{}},
	}
}

// setWanted sends the models and the role of a new configuration to the event
// loop.
func (r *reconciler) setWanted(ctx context.Context, doc *config.Document) {
	service := doc.Services[r.s.set.Service]
	want := orders.Want{Revision: doc.Revision, Role: service.Role}
	for _, m := range service.Models {
		want.Items = append(want.Items, orders.Item{Adapter: m.Adapter, Name: m.Name, Version: m.Version})
	}
	r.post(ctx, orders.WantChanged{Want: want})
}

func (r *reconciler) post(ctx context.Context, ev orders.Event) {
	duty.Post(ctx, r.events, ev)
}

// run processes events and ticks until ctx ends.
func (r *reconciler) run(ctx context.Context) {
	ticker := time.NewTicker(ordersTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-r.events:
			r.step(ctx, ev)
		case <-ticker.C:
			r.step(ctx, orders.Running{Count: int(r.s.inFlight.Load())})
		}
	}
}

func (r *reconciler) step(ctx context.Context, ev orders.Event) {
	for _, a := range r.core.Step(time.Now(), ev) {
		switch a := a.(type) {
		case orders.Observe:
			go r.observe(ctx, a.ID)
		case orders.Acquire:
			go r.acquire(ctx, a.Permit)
		case orders.Release:
			go r.permits.release(ctx, r.permits.remove(a.Permit))
		case orders.Pause:
			r.s.drain.set(ctx, drainByOrders, a.On)
		case orders.Validate:
			go r.validate(ctx)
		case orders.Send:
			go r.send(ctx, a.Order)
		}
	}
	remaining := int64(r.core.Progress().Remaining)
	if r.remaining.Swap(remaining) != remaining {
		r.s.metrics.ordersLeft.Set(remaining)
		_ = r.s.log.Log("event", "orders", "left", remaining, "revision", r.core.Progress().Revision)
	}
}

func (r *reconciler) observe(ctx context.Context, id uint64) {
	sub, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	have, err := r.engine.observe(sub)
	if err != nil {
		r.post(ctx, orders.ObserveFailed{ID: id})
		return
	}
	r.post(ctx, orders.Observed{ID: id, Have: have})
}

func (r *reconciler) acquire(ctx context.Context, p orders.Permit) {
	prefix, places := r.s.permitPlaces(p)
	lost := func() { r.post(ctx, orders.PermitLost{}) }
	if r.permits.acquire(ctx, p, prefix, places, lost) {
		r.post(ctx, orders.Granted{Permit: p})
		return
	}
	r.post(ctx, orders.Denied{Permit: p})
}

// validate checks right before an order that this process is still responsible
// for its engine. If the engine checks the fencing token, a fresh configuration
// is enough; otherwise the revision is read from the platform itself.
func (r *reconciler) validate(ctx context.Context) {
	doc := r.s.doc.Load()
	ok := doc != nil && !r.s.shuttingDown.Load() && !r.s.spread.Stale() && r.s.Fence() != 0
	out := orders.Validated{OK: ok, Revision: r.s.revision()}
	if ok && !doc.Services[r.s.set.Service].ChecksFence {
		out.Revision, out.OK = r.newestRevision(ctx)
	}
	r.post(ctx, out)
}

// newestRevision reads the newest revision from the platform.
func (r *reconciler) newestRevision(ctx context.Context) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	e, err := r.s.store.Get(ctx, spread.ConfigKey)
	if err != nil {
		return 0, false
	}
	doc, err := document.Decode(e.Value)
	if err != nil {
		return 0, false
	}
	return doc.Revision, true
}

func (r *reconciler) send(ctx context.Context, o orders.Order) {
	r.s.metrics.ordersSent.Add(1)
	sub, cancel := context.WithTimeout(ctx, r.s.set.Orders.Timeout.D())
	defer cancel()
	err := r.engine.sendOrder(sub, r.s.incarnation(), o)
	_ = r.s.log.Log("event", "order", "verb", o.Verb, "name", o.Item.Name, "version", o.Item.Version,
		"order_role", o.Role, "fence", o.Fence, "err", err)
	switch {
	case err == nil:
		r.post(ctx, orders.Answered{ID: o.ID})
	case errors.Is(err, errStaleFence):
		r.post(ctx, orders.Answered{ID: o.ID, Refused: true})
	default:
		r.post(ctx, orders.Unanswered{ID: o.ID})
	}
}
