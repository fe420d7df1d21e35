package direct

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/roster"
	"goldcrestport/protocol/originmsg"
)

// handoverRetry is the interval at which what was not taken is sent again.
const handoverRetry = 20 * time.Millisecond

// handover is what a router that ends hands over to others, until each record was taken by one of them.
type handover struct {
	mu sync.Mutex
	// parts are those that were not taken, by their numbers.
	parts map[uint32]handoverPart
	// open are the records that nobody has taken.
	open map[origin.ID]bool
	// progress is closed when a part is taken.
	progress chan struct{}
}

// handoverPart is what one other router gets in one datagram.
type handoverPart struct {
	to      string
	records []origin.Record
}

// begin sets what is handed over: the records, each to the routers that inherit it.
func (h *handover) begin(out batches) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.parts, h.open, h.progress = make(map[uint32]handoverPart), make(map[origin.ID]bool), make(chan struct{})
	number := uint32(0)
	for to, records := range out {
		for part := range slices.Chunk(records, maxTold) {
			number++
			h.parts[number] = handoverPart{to: to, records: part}
			for _, one := range part {
				h.open[one.ID] = true
			}
		}
	}
}

// taken records that the router has taken the part.
func (h *handover) taken(by string, number uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	part, is := h.parts[number]
	if !is || part.to != by {
		return
	}
	delete(h.parts, number)
	for _, one := range part.records {
		delete(h.open, one.ID)
	}
	close(h.progress)
	h.progress = make(chan struct{})
}

// state reports whether all records were taken, and returns what is closed when the next part is.
func (h *handover) state() (isDone bool, progress <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.open) == 0, h.progress
}

// left returns the parts with records that nobody has taken.
func (h *handover) left() map[uint32]handoverPart {
	h.mu.Lock()
	defer h.mu.Unlock()
	parts := make(map[uint32]handoverPart)
	for number, one := range h.parts {
		if slices.ContainsFunc(one.records, func(r origin.Record) bool { return h.open[r.ID] }) {
			parts[number] = one
		}
	}
	return parts
}

// handOver informs other routers of the streams that this one knows and that are included, as it ends. Callers come
// back later than that.
func (o *origins) handOver(now time.Time, isIncluded func(origin.Record) bool) {
	out, streams := o.inherited(now, isIncluded)
	_, addresses := o.others(now)
	o.sendBatches(out, addresses)
	o.r.event("origins_handed_over", "streams", streams, "routers", len(out))
}

// inherited returns the records that are handed over, by the routers that inherit them, and their number.
func (o *origins) inherited(now time.Time, isIncluded func(origin.Record) bool) (batches, int) {
	fleet, _ := o.others(now)
	o.mu.Lock()
	all := o.table.All(now)
	o.mu.Unlock()
	out, count := batches{}, 0
	for _, one := range all {
		if isIncluded(one) {
			out.add(fleet.Heirs(one.ID), one)
			count++
		}
	}
	return out, count
}

// handOverAll hands the records to others which may not be lost, and reports whether each was taken by one of them
// before ctx ends. No stream may begin here any more. What others hand over to this router from now on it does not take.
func (o *origins) handOverAll(ctx context.Context) bool {
	now := time.Now()
	o.mu.Lock()
	o.isClosed = true
	isComplete := o.table.IsComplete()
	o.mu.Unlock()
	out, count := o.inherited(now, o.mayNotBeLost())
	heirs := 0
	for _, records := range out {
		heirs += len(records)
	}
	if !isComplete || count > 0 && heirs == 0 {
		return false
	}
	o.handover.begin(out)
	o.sendParts(false)
	again := time.NewTicker(handoverRetry)
	defer again.Stop()
	for {
		isDone, progress := o.handover.state()
		if isDone {
			return true
		}
		select {
		case <-progress:
		case <-again.C:
			o.sendParts(true)
		case <-ctx.Done():
			return false
		}
	}
}

// sendParts sends what nobody has taken; again also as an announcement, which routers of the build before know.
func (o *origins) sendParts(isAgain bool) {
	_, addresses := o.others(time.Now())
	for number, one := range o.handover.left() {
		o.send(addresses[one.to], originmsg.Message{Kind: originmsg.HandsOver, Number: number, Records: one.records})
		if isAgain {
			o.send(addresses[one.to], originmsg.Message{Kind: originmsg.Tells, Records: one.records})
		}
	}
}

// mayNotBeLost returns a function that reports whether a stream that nobody knows could be taken for one of another
// origin than a record's.
func (o *origins) mayNotBeLost() func(origin.Record) bool {
	firsts := make(map[string]roster.Version)
	return func(one origin.Record) bool {
		first, isLooked := firsts[one.Service]
		if !isLooked {
			o.r.mu.Lock()
			first, _ = o.r.versions.First(one.Service)
			o.r.mu.Unlock()
			firsts[one.Service] = first
		}
		return first == "" || one.Version != first || one.Doubted
	}
}

// mayBeLost returns the opposite of mayNotBeLost.
func (o *origins) mayBeLost() func(origin.Record) bool {
	mayNot := o.mayNotBeLost()
	return func(one origin.Record) bool { return !mayNot(one) }
}

// take takes what another router hands over as it ends, and says so.
func (o *origins) take(m originmsg.Message, from netip.AddrPort) {
	o.mu.Lock()
	isTaken := !o.isClosed
	if isTaken {
		for _, one := range m.Records {
			o.table.Told(time.Now(), m.Router, one)
		}
		isTaken = o.table.IsComplete()
	}
	o.mu.Unlock()
	if isTaken {
		o.send(from, originmsg.Message{Kind: originmsg.Takes, Number: m.Number})
	}
}

// accountForLife lets all routers know that what this one knows of streams is not lost with it, if that is so.
func (r *Router) accountForLife(ctx context.Context) {
	r.mu.Lock()
	life := r.life
	r.mu.Unlock()
	if !r.awaitStreams(ctx) {
		r.origins.handOver(time.Now(), r.origins.mayNotBeLost())
		r.event("not_handed_over", "life", life, "held", r.inFlight.Load())
		return
	}
	if !r.origins.handOverAll(ctx) || life == 0 {
		r.event("not_handed_over", "life", life, "held", 0)
		return
	}
	if r.storeCall(ctx, callKeepHandedOver, func(ctx context.Context) error { return r.source.KeepHandedOver(ctx, r.set.ID, life) }) {
		r.event("handed_over", "life", life)
	}
}

// inFlightPollInterval is the interval at which a router that ends looks for a moment without requests.
const inFlightPollInterval = 2 * time.Millisecond

// awaitStreams waits for a moment at which no request is in flight: after it no stream begins, as none has been taken
// since the shutdown began to refuse them. It reports false if ctx ends before.
func (r *Router) awaitStreams(ctx context.Context) bool {
	for r.inFlight.Load() > 0 {
		sleep(ctx, inFlightPollInterval)
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}
