package soak

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Times of the checks that are made while a run goes on.
const (
	// lostWindow is the span of time over which the resumed streams that go on are compared with
	// the new ones that begin, and lostStep the time from one span to the next.
	lostWindow = 10 * time.Second
	lostStep   = time.Second
)

// lostInAnyWindow finds spans of time in which too few resumed streams went on. Of spans that
// overlap it names the first. A span counts once the record reaches beyond it.
func lostInAnyWindow(r *Record) []string {
	streams := judgedStreams(r)
	if len(streams) == 0 {
		return nil
	}
	began, last := r.Calls[0].Sent, streams[len(streams)-1].Ended
	var out []string
	for until := began.Add(lostWindow); !until.After(last); until = until.Add(lostStep) {
		what, broken := lostOf(endedWithin(streams, until.Add(-lostWindow), until))
		if broken {
			out = append(out, fmt.Sprintf("from %.0f to %.0f s: %s", until.Add(-lostWindow).Sub(began).Seconds(), until.Sub(began).Seconds(), what))
			until = until.Add(lostWindow - lostStep)
		}
	}
	return out
}

// endedWithin returns the attempts that ended in the span.
func endedWithin(streams []judged, from, until time.Time) []judged {
	var out []judged
	for _, s := range streams {
		if !s.Ended.Before(from) && s.Ended.Before(until) {
			out = append(out, s)
		}
	}
	return out
}

// asOf returns a copy of the record that holds the attempts that ended by the time, with all else
// that is known now. It stays as it is.
func (r *Record) asOf(at time.Time) *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := NewRecord()
	out.Routers, out.Until = r.Routers, at
	for _, c := range r.Calls {
		if !c.Ended.After(at) {
			out.Calls = append(out.Calls, c)
		}
	}
	out.Runs = maps.Clone(r.Runs)
	for id, runs := range out.Runs {
		out.Runs[id] = slices.Clone(runs)
	}
	out.Arrivals, out.Words = slices.Clone(r.Arrivals), slices.Clone(r.Words)
	out.Failures, out.Changes, out.Departures = slices.Clone(r.Failures), slices.Clone(r.Changes), slices.Clone(r.Departures)
	out.Crashes, out.Evacuations, out.Colds = slices.Clone(r.Crashes), slices.Clone(r.Evacuations), slices.Clone(r.Colds)
	out.Served = slices.Clone(r.Served)
	return out
}

// liveChecks asks the promises that can be checked while a run goes on, and tells the first breach
// of each.
type liveChecks struct {
	broken map[string]bool
	tell   func(Violation)
}

// ask checks the record.
func (l *liveChecks) ask(r *Record) {
	for _, c := range checks {
		if !c.live || l.broken[c.promise] {
			continue
		}
		if what := c.find(r); len(what) > 0 {
			l.broken[c.promise] = true
			l.tell(Violation{c.promise, what[0]})
		}
	}
}

// checkLive checks the record each lostStep until ctx ends. Whether a server goes on to serve is
// known a little later, so the attempts of the last moments wait for the next time.
func (w *World) checkLive(ctx context.Context) {
	began := time.Now()
	live := liveChecks{broken: map[string]bool{}, tell: func(v Violation) {
		w.Report(fmt.Sprintf("at %.1f s: %v", time.Since(began).Seconds(), v))
	}}
	ticker := time.NewTicker(lostStep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			live.ask(w.Record.asOf(time.Now().Add(-servedFor)))
		}
	}
}
