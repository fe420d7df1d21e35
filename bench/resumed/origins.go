package resumed

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/versions"
)

// Times of an asking, as the product has them.
const (
	askAgain    = 8 * time.Millisecond
	askInterval = 40 * time.Millisecond
	// The limit is a share of the time that the caller has left.
	askShare                 = 8
	minAskLimit, maxAskLimit = 25 * time.Millisecond, 150 * time.Millisecond
)

// beginOrigins starts with the origins that are in the store.
func (r *router) beginOrigins() {
	r.table, r.asking = origin.NewTable(origin.DefaultConfig(), r.id), map[uint32]*asking{}
	r.doubts = map[origin.ID]*call{}
	cfg := origin.DefaultJournalConfig()
	if interval := r.w.set.Mends.JournalInterval; interval > 0 {
		cfg.Interval, cfg.WritesPerSecond = interval, float64(len(r.w.routers))/interval.Seconds()
	}
	r.journal = origin.NewJournal(cfg, uint64(r.life)<<32)
	for _, key := range slices.Sorted(maps.Keys(r.w.store.origins)) {
		r.stored(r.w.store.origins[key].Stored)
	}
}

// stored takes what the store has of the origins of streams.
func (r *router) stored(all origin.Stored) {
	for _, one := range all.Records {
		r.table.Stored(r.w.wall(), all.Router, one)
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
	if one.Doubted {
		r.doubts[one.ID] = c
	}
	if one.Doubted || r.isMixed(service) {
		r.w.after(gatherOrigins, func() { r.do(smallCost, r.tell) })
	}
}

// tell sends the origins that are due, and keeps those for the store.
func (r *router) tell() {
	r.table.Tick(r.w.wall())
	f := r.fleet()
	due := r.table.Due(r.w.wall(), r.isMixed, f.IsSmall())
	r.journal.Add(due.Store)
	out := batches{}
	for _, one := range due.Near {
		owners, _ := f.Owners(one.ID)
		out.add(owners, one)
	}
	for _, one := range due.Far {
		_, owners := f.Owners(one.ID)
		out.add(owners, one)
	}
	r.sendRecords(out)
}

// batches are the records to be sent, by the routers that get them.
type batches map[string][]origin.Record

func (b batches) add(routers []string, one origin.Record) {
	for _, id := range routers {
		b[id] = append(b[id], one)
	}
}

func (r *router) sendRecords(all batches) {
	for _, id := range slices.Sorted(maps.Keys(all)) {
		records := all[id]
		r.send(id, func(other *router) {
			for _, one := range records {
				other.table.Told(other.w.wall(), r.id, one)
			}
		})
	}
}

// handOver sends what this router knows of streams to those that are to know it, as it ends.
func (r *router) handOver() {
	f, out := r.fleet(), batches{}
	all := r.table.All(r.w.wall())
	slices.SortFunc(all, func(a, b origin.Record) int { return cmp.Compare(a.ID, b.ID) })
	for _, one := range all {
		out.add(f.Heirs(one.ID), one)
	}
	r.sendRecords(out)
}

// accountForLife hands what may not be lost over to others that confirm it, as the router ends, and says so in the store.
func (r *router) accountForLife() {
	first, isKnown := r.versions.First(service)
	f := r.fleet()
	for _, one := range r.table.All(r.w.wall()) {
		if isKnown && one.Version == first && !one.Doubted {
			continue
		}
		isTaken := false
		for _, id := range f.Heirs(one.ID) {
			if heir := r.w.router(id); heir.serves && heir.alive && !heir.isFrozen() {
				heir.table.Told(heir.w.wall(), r.id, one)
				isTaken = true
			}
		}
		if !isTaken {
			return
		}
	}
	if !r.w.store.away {
		r.w.store.account(r.name())
	}
}

// journalChecks returns the interval of the checks for origins to be written, which is shorter if they
// are written more often than the product does.
func (w *world) journalChecks() time.Duration {
	if interval := w.set.Mends.JournalInterval; interval > 0 {
		return min(journalInterval, interval/2)
	}
	return journalInterval
}

// writeOrigins writes the segment that is due by the rule to the store, which passes it on.
func (r *router) writeOrigins(rule func(*origin.Journal, time.Time, int) (origin.Segment, bool)) {
	if r.w.set.Mends.NoJournal || r.w.store.away {
		return
	}
	segment, isDue := rule(r.journal, r.w.wall(), len(r.fleetIDs())+1)
	if !isDue {
		return
	}
	one := origin.Stored{Router: r.id, Records: segment.Records}
	r.w.store.origins[r.id+"/"+itoa(segment.Number)] = storedOrigins{one, r.w.now + origin.DefaultJournalConfig().Life}
	r.journal.Written(r.w.wall(), segment)
	r.w.store.pass(func(other *router) { other.stored(one) })
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
		r.table.Settled(id)
	}
}

// asking is a question of one router to others.
type asking struct {
	open           []string
	asked          int
	answered       int
	known          origin.Known
	isKnown, mixed bool
	// isAll means that all other routers are asked, and said is what those say of a stream that no router knows that
	// answered.
	isAll bool
	said  []versions.Statement
	done  func(*asking)
}

// conclude returns the version at which the stream began that no router knows, by what this one and the others say.
func (a *asking) conclude(own versions.Statement) (roster.Version, versions.Conclusion) {
	if !a.isAll || a.answered < a.asked || len(a.said) < a.asked {
		return "", versions.Unproven
	}
	return versions.Conclude(own, a.said)
}

// ask asks the routers that may know the stream, and goes on when one does, all answered or time is over.
func (r *router) ask(id origin.ID, isMixed bool, limit time.Duration, done func(*asking)) {
	f := r.fleet()
	holders := f.Holders(id)
	r.askRouters(id, holders, limit, func(got *asking) {
		got.isAll = len(holders) == f.Size()-1
		if got.isKnown || !isMixed && !got.mixed || got.answered < got.asked {
			done(got)
			return
		}
		rest := slices.DeleteFunc(slices.Clone(f.Near), func(one string) bool { return slices.Contains(holders, one) })
		if len(rest) == 0 {
			done(got)
			return
		}
		r.askRouters(id, rest, limit, func(more *asking) {
			more.asked, more.answered, more.mixed = more.asked+got.asked, more.answered+got.answered, more.mixed || got.mixed
			done(more)
		})
	})
}

func (r *router) askRouters(id origin.ID, routers []string, limit time.Duration, done func(*asking)) {
	a := &asking{open: slices.Clone(routers), asked: len(routers), done: done}
	if len(routers) == 0 {
		done(a)
		return
	}
	r.askNumber++
	number := r.askNumber
	r.asking[number] = a
	r.sendAsking(id, number)
	r.askAgain(id, number, askAgain)
	r.w.after(limit, func() { r.do(smallCost, func() { r.askDone(number) }) })
}

// askAgain repeats the asking to those that have not answered.
func (r *router) askAgain(id origin.ID, number uint32, after time.Duration) {
	r.w.after(after, func() {
		r.do(smallCost, func() {
			if r.asking[number] != nil {
				r.sendAsking(id, number)
				r.askAgain(id, number, askInterval)
			}
		})
	})
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
			var says versions.Statement
			if mixed {
				says = other.says(r)
			}
			other.send(r.id, func(back *router) {
				if back.life > 0 {
					back.answered(number, other.id, known, isKnown, mixed, says)
				}
			})
		})
	}
}

// answered takes the answer of another router.
func (r *router) answered(number uint32, by string, known origin.Known, isKnown, mixed bool, says versions.Statement) {
	a := r.asking[number]
	if a == nil {
		return
	}
	if at := slices.Index(a.open, by); at >= 0 {
		a.open = slices.Delete(a.open, at, at+1)
		a.answered++
		says.Registered = r.w.store.registered(by)
		a.said = append(a.said, says)
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
