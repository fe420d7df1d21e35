package direct

import (
	"context"
	"sync"
	"time"

	"goldcrestport/coordination/origin"
)

// journalInterval is the interval of the checks for origins to be written to the store.
const journalInterval = 200 * time.Millisecond

// journalConfig are the times of writing origins to the store.
var journalConfig = origin.DefaultJournalConfig()

// originWriter writes the origins of the streams that begin here to the store, for routers that begin
// when none is left that knows them.
type originWriter struct {
	o *origins
	// mu is held during a write; lease is that of the segment that was written last.
	mu    sync.Mutex
	lease string
}

// stored takes what the store has of the origins of streams.
func (o *origins) stored(all []origin.Stored) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for _, one := range all {
		for _, record := range one.Records {
			o.table.Stored(now, one.Router, record)
		}
	}
}

// run writes what is due until ctx ends. What fails is repeated.
func (w *originWriter) run(ctx context.Context) {
	runEvery(ctx, journalInterval, func(now time.Time) { w.write(ctx, now, (*origin.Journal).Due) })
}

// last writes what the store does not have yet, as this router ends.
func (w *originWriter) last(ctx context.Context) { w.write(ctx, time.Now(), (*origin.Journal).Last) }

// write writes the segment that is due by the rule, if there is one.
func (w *originWriter) write(ctx context.Context, now time.Time, rule func(*origin.Journal, time.Time, int) (origin.Segment, bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fleet, _ := w.o.others(now)
	w.o.mu.Lock()
	segment, isDue := rule(w.o.journal, now, fleet.Size())
	w.o.mu.Unlock()
	if !isDue {
		return
	}
	if segment.IsFirst {
		w.lease = ""
	}
	r := w.o.r
	ok := r.storeCall(ctx, callOrigins, func(ctx context.Context) (err error) {
		w.lease, err = r.source.KeepOrigins(ctx, r.set.ID, segment, w.lease, journalConfig.Life)
		return err
	})
	if !ok {
		return
	}
	r.metrics.originsStored.Add(1)
	w.o.mu.Lock()
	defer w.o.mu.Unlock()
	w.o.journal.Written(now, segment)
}
