package resumed

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"goldcrestport/coordination/origin"
)

// Times of an asking, as the product has them.
const (
	askAgain = 8 * time.Millisecond
	askLimit = 25 * time.Millisecond
)

// beginOrigins starts with no origins, or with those of the store.
func (r *router) beginOrigins() {
	r.table, r.asking = origin.NewTable(origin.DefaultConfig(), r.id), map[uint32]*asking{}
	r.doubts, r.records, r.unwritten = map[origin.ID]*call{}, map[origin.ID]origin.Record{}, nil
	if r.w.set.Mends.StoreEvery == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(r.w.store.origins)) {
		one := r.w.store.origins[id]
		r.told(one.by, one.Record)
	}
}

// fleet returns the other registered routers.
func (r *router) fleet() origin.Fleet {
	var f origin.Fleet
	for _, id := range r.fleetIDs() {
		if r.w.router(id).dataCentre == r.dataCentre {
			f.Near = append(f.Near, id)
		} else {
			f.Far = append(f.Far, id)
		}
	}
	return f
}

func (r *router) isMixed(name string) bool { return r.versions.IsMixed(r.w.wall(), name) }

// recorded records the origin of a stream that this router relays.
func (r *router) recorded(c *call, one origin.Record) {
	r.table.Began(r.w.wall(), one, false)
	r.records[one.ID], r.unwritten = one, append(r.unwritten, one)
	if one.Doubted {
		r.doubts[one.ID] = c
	}
	if one.Doubted || r.isMixed(service) {
		r.w.after(gatherOrigins, func() { r.do(smallCost, r.tell) })
	}
}

// told takes what another router says of a stream.
func (r *router) told(by string, one origin.Record) {
	r.table.Told(r.w.wall(), by, one)
	r.records[one.ID] = one
}

// tell sends the origins that are due.
func (r *router) tell() {
	r.table.Tick(r.w.wall())
	near, far := r.table.Due(r.w.wall(), r.isMixed)
	if len(near)+len(far) == 0 {
		return
	}
	f := r.fleet()
	batches := map[string][]origin.Record{}
	for _, one := range near {
		owners, _ := f.Owners(one.ID)
		for _, id := range owners {
			batches[id] = append(batches[id], one)
		}
	}
	for _, one := range far {
		_, owners := f.Owners(one.ID)
		for _, id := range owners {
			batches[id] = append(batches[id], one)
		}
	}
	r.sendRecords(batches)
}

func (r *router) sendRecords(batches map[string][]origin.Record) {
	for _, id := range slices.Sorted(maps.Keys(batches)) {
		records := batches[id]
		r.send(id, func(other *router) {
			for _, one := range records {
				other.told(r.id, one)
			}
		})
	}
}

// handOver sends what this router knows of streams to all others, as it is about to end.
func (r *router) handOver() {
	batches := map[string][]origin.Record{}
	for _, id := range r.fleetIDs() {
		for _, stream := range slices.Sorted(maps.Keys(r.records)) {
			if _, isKnown := r.table.Lookup(r.w.wall(), stream); isKnown {
				batches[id] = append(batches[id], r.records[stream])
			}
		}
	}
	// Twice, against loss.
	r.sendRecords(batches)
	r.sendRecords(batches)
}

// writeOrigins writes the origins that are new since the last time to the store.
func (r *router) writeOrigins() {
	if r.w.store.away || !r.isMixed(service) {
		return
	}
	for _, one := range r.unwritten {
		r.w.store.origins[one.ID] = storedOrigin{Record: one, by: r.id, lapses: r.w.now + origin.DefaultConfig().Life}
	}
	r.unwritten = nil
}

// settleDoubts looks again at the origins that are doubted: while the stream runs, and after its end if
// that is what is played.
func (r *router) settleDoubts() {
	for _, id := range slices.Sorted(maps.Keys(r.doubts)) {
		c := r.doubts[id]
		if c.ended && !r.w.set.Mends.DoubtsEnd {
			delete(r.doubts, id)
			continue
		}
		if !c.isCertainNow() {
			continue
		}
		delete(r.doubts, id)
		one := r.records[id]
		one.Doubted = false
		r.records[id], r.unwritten = one, append(r.unwritten, one)
		r.table.Settled(id)
		if c.ended {
			r.announceSettled(one)
		}
	}
}

// announceSettled tells the owners that a stream that runs no more is not doubted.
func (r *router) announceSettled(one origin.Record) {
	near, far := r.fleet().Owners(one.ID)
	batches := map[string][]origin.Record{}
	for _, id := range append(near, far...) {
		batches[id] = []origin.Record{one}
	}
	r.sendRecords(batches)
}

// asking is a question of one router to others.
type asking struct {
	open           []string
	asked          int
	answered       int
	known          origin.Known
	isKnown, mixed bool
	done           func(*asking)
}

// ask asks the routers that may know the stream, and goes on when one does, all answered or time is over.
func (r *router) ask(id origin.ID, isMixed bool, done func(*asking)) {
	f := r.fleet()
	holders := f.Holders(id)
	r.askRouters(id, holders, func(got *asking) {
		if got.isKnown || !isMixed && !got.mixed || got.answered < got.asked {
			done(got)
			return
		}
		rest := slices.DeleteFunc(slices.Clone(f.Near), func(one string) bool { return slices.Contains(holders, one) })
		if len(rest) == 0 {
			done(got)
			return
		}
		r.askRouters(id, rest, func(more *asking) {
			more.asked, more.answered, more.mixed = more.asked+got.asked, more.answered+got.answered, more.mixed || got.mixed
			done(more)
		})
	})
}

func (r *router) askRouters(id origin.ID, routers []string, done func(*asking)) {
	a := &asking{open: slices.Clone(routers), asked: len(routers), done: done}
	if len(routers) == 0 {
		done(a)
		return
	}
	r.askNumber++
	number := r.askNumber
	r.asking[number] = a
	r.sendAsking(id, number)
	r.w.after(askAgain, func() { r.do(smallCost, func() { r.sendAsking(id, number) }) })
	r.w.after(cmp.Or(r.w.set.Mends.AskLimit, askLimit), func() { r.do(smallCost, func() { r.askDone(number) }) })
}

func (r *router) sendAsking(id origin.ID, number uint32) {
	a := r.asking[number]
	if a == nil {
		return
	}
	for _, one := range slices.Clone(a.open) {
		r.send(one, func(other *router) {
			known, isKnown := other.table.Lookup(other.w.wall(), id)
			mixed := other.isMixed(service)
			other.send(r.id, func(back *router) {
				if back.life > 0 {
					back.answered(number, other.id, known, isKnown, mixed)
				}
			})
		})
	}
}

// answered takes the answer of another router.
func (r *router) answered(number uint32, by string, known origin.Known, isKnown, mixed bool) {
	a := r.asking[number]
	if a == nil {
		return
	}
	if at := slices.Index(a.open, by); at >= 0 {
		a.open = slices.Delete(a.open, at, at+1)
		a.answered++
	}
	a.mixed = a.mixed || mixed
	if isKnown {
		a.known, a.isKnown = known, true
	}
	if isKnown || len(a.open) == 0 {
		r.askDone(number)
	}
}

func (r *router) askDone(number uint32) {
	if a := r.asking[number]; a != nil {
		delete(r.asking, number)
		a.done(a)
	}
}
