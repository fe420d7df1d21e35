package backend

import (
	"context"
	"time"

	"goldcrestport/coordination/vouching"
)

// Times of the witnesses of a server: connections that carry no request and are only kept so that
// others are opened beside them.
const (
	// minWitnessLife and maxWitnessLife bound the interval at which another witness is opened. It is
	// half of what the oldest has lasted, so that none is ever the only one when the server closes it
	// for being idle.
	minWitnessLife = 300 * time.Millisecond
	maxWitnessLife = 30 * time.Second
	// witnessUnused is how long witnesses are kept that nobody asks to keep.
	witnessUnused = 3 * time.Second
)

// witnesses are those of one server; the entryMu of its peer guards them.
type witnesses struct {
	// oldest shows how long the server keeps a connection without requests, newest is the one
	// that was opened last. They may be the same, or nil.
	oldest, newest *conn
	// limit bounds the interval between two, by when the server closed one; 0: it has closed none.
	limit time.Duration
	// kept is when they were last to be kept.
	kept time.Duration
}

// KeepVouched keeps a witness of the server: as long as one is open, all connections to its address
// lead to the same process.
func (p *Pool) KeepVouched(ctx context.Context, to Target) error {
	one := p.peerOf(to.ID)
	now := sinceEpochDuration()
	if one.startKeeping(now) {
		p.trustEntry(one)
	}
	return p.keepWitness(ctx, to, one, now)
}

// keepWitness opens another witness of the server if one is needed.
func (p *Pool) keepWitness(ctx context.Context, to Target, one *peer, now time.Duration) error {
	one.dropEnded(now)
	if !one.needsWitness(now) {
		return nil
	}
	c, err := p.dial(ctx, to)
	if err != nil {
		return err
	}
	if former := one.addWitness(c); former != nil {
		_ = former.Close()
	}
	return nil
}

// startKeeping records that witnesses are to be kept, and reports whether there were none to keep
// before.
func (one *peer) startKeeping(now time.Duration) bool {
	one.entryMu.Lock()
	defer one.entryMu.Unlock()
	starts := one.witnesses.kept == 0
	one.witnesses.kept = now
	return starts
}

// trustEntry takes the server's entry as if it were new, unless there is a sign that its process may be
// another one: until now, while its service had one version, that was all that was asked. One that is
// new is taken so already, and what was seen since stays.
func (p *Pool) trustEntry(one *peer) {
	e := p.entryOf(one)
	if p.cfg.Vouching.IsSuspect(e) || sinceEpochDuration() <= e.SeenAt+p.cfg.Vouching.EntryLag {
		return
	}
	one.entryMu.Lock()
	defer one.entryMu.Unlock()
	one.entry = vouching.Entry{SeenAt: sinceEpochDuration()}
}

// dropEnded closes the witnesses that the server has closed.
func (one *peer) dropEnded(now time.Duration) {
	one.entryMu.Lock()
	oldest, newest := one.witnesses.oldest, one.witnesses.newest
	one.entryMu.Unlock()
	for _, c := range []*conn{oldest, newest} {
		if c == nil {
			continue
		}
		if _, ended := c.look(); !ended {
			continue
		}
		c.endSeen()
		one.removeWitness(c, (now-c.openedAt)/2)
		_ = c.Close()
	}
}

// removeWitness removes a witness that the server closed, and bounds the interval between later ones.
func (one *peer) removeWitness(c *conn, limit time.Duration) {
	one.entryMu.Lock()
	defer one.entryMu.Unlock()
	w := &one.witnesses
	if w.limit == 0 || limit < w.limit {
		w.limit = limit
	}
	switch c {
	case w.oldest:
		w.oldest = w.newest
		if w.newest == c {
			w.oldest, w.newest = nil, nil
		}
	case w.newest:
		w.newest = w.oldest
	}
}

// needsWitness reports whether another witness is to be opened now.
func (one *peer) needsWitness(now time.Duration) bool {
	one.entryMu.Lock()
	defer one.entryMu.Unlock()
	w := one.witnesses
	if w.newest == nil {
		return true
	}
	interval := min((now-w.oldest.openedAt)/2, maxWitnessLife)
	if w.limit > 0 {
		interval = min(interval, w.limit)
	}
	return now-w.newest.openedAt >= max(interval, minWitnessLife)
}

// addWitness adds the newest witness and returns the one that it replaces, nil for none.
func (one *peer) addWitness(c *conn) *conn {
	one.entryMu.Lock()
	defer one.entryMu.Unlock()
	w := &one.witnesses
	former := w.newest
	w.newest = c
	if w.oldest == nil {
		w.oldest = c
	}
	if former == w.oldest {
		return nil
	}
	return former
}

// dropWitness closes the witnesses unless they were to be kept after the time.
func (one *peer) dropWitness(after time.Duration) {
	one.entryMu.Lock()
	w := one.witnesses
	isUnused := w.kept <= after
	if isUnused {
		one.witnesses = witnesses{}
	}
	one.entryMu.Unlock()
	if !isUnused {
		return
	}
	for _, c := range []*conn{w.oldest, w.newest} {
		if c != nil {
			// Closing one twice does nothing.
			_ = c.Close()
		}
	}
}
