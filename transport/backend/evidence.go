package backend

import (
	"context"
	"time"

	"goldcrestport/coordination/vouching"
)

// Evidence is what this router knows of the process that sent an answer, and keeps after the answer's
// connection may have been closed.
type Evidence struct {
	peer       *peer
	generation uint64
	process    vouching.Evidence
}

// Finding is what became of the doubt about a process.
type Finding int

// Findings.
const (
	// Open: the process may still be confirmed as that of the server's entry.
	Open Finding = iota
	// Settled: it is of the version that the entry names.
	Settled
	// Lost: it will never be known whether it is.
	Lost
)

// Evidence returns what is known of the process that sends the answer, which must not be closed.
func (a *Answer) Evidence() Evidence {
	return Evidence{
		peer: a.conn.peer, generation: a.conn.generation,
		process: vouching.Evidence{Since: a.conn.since, Until: sinceEpochDuration()},
	}
}

// Review looks at the connections of the servers once and returns the finding for each evidence, which
// it brings up to date. It must be repeated within the time for which connections are kept.
func (p *Pool) Review(all []*Evidence) []Finding {
	seen := make(map[*peer]processView)
	out := make([]Finding, len(all))
	for i, one := range all {
		view, known := seen[one.peer]
		if !known {
			view = p.viewOf(one.peer)
			seen[one.peer] = view
		}
		out[i] = view.find(p.cfg.Vouching, one)
	}
	return out
}

// processView is what the connections and the entry of a server show at one time.
type processView struct {
	at         time.Duration
	generation uint64
	entry      vouching.Entry
	hasLeft    bool
	// open is since when the process is known to which a connection is open, and notEnded the same
	// for connections that may be open, as unread bytes may hide their end; never without one.
	open, notEnded time.Duration
}

func (p *Pool) viewOf(one *peer) processView {
	v := processView{entry: p.entryOf(one), hasLeft: one.drainingSince.Load() != 0, open: never, notEnded: never}
	// The connections are looked at after the time that counts for them.
	v.at = sinceEpochDuration()
	v.generation = one.entryGeneration()
	for _, c := range one.openConns() {
		if c.generation != v.generation || c.since >= v.open {
			continue
		}
		open, ended := c.look()
		if open {
			v.open = c.since
		}
		if !ended {
			v.notEnded = min(v.notEnded, c.since)
		}
	}
	return v
}

// find returns the finding for the evidence, which it brings up to date.
func (v processView) find(cfg vouching.Config, one *Evidence) Finding {
	if v.generation != one.generation || v.hasLeft {
		return Lost
	}
	one.process = one.process.Continued(v.open, v.at)
	switch {
	case cfg.Settles(v.entry, one.process):
		return Settled
	case v.notEnded > one.process.Until:
		return Lost
	default:
		return Open
	}
}

// DoubtLeft returns how long it takes until a process is known that was doubted for the given time, as
// vouching.Config.Remaining.
func (p *Pool) DoubtLeft(doubtedFor time.Duration) (time.Duration, bool) {
	now := sinceEpochDuration()
	p.confirmMu.Lock()
	defer p.confirmMu.Unlock()
	return p.cfg.Vouching.Remaining(p.confirmations, now-doubtedFor, now)
}

// TrustedIn returns how long it takes until Offers reports true for the server, if its present process
// lives on and the store answers; 0: unknown.
func (p *Pool) TrustedIn(id string, need Trust) time.Duration {
	one := p.peerOf(id)
	now := sinceEpochDuration()
	since := min(one.knownSince(), now)
	if e := p.entryOf(one); need == NoSuspect && e.Died {
		since = min(since, e.DiedAt)
	}
	left, _ := p.DoubtLeft(now - since)
	return left
}

// KeepKnown keeps a witness of the server as KeepVouched does, for the sake of what is known of its
// present process. It takes the server's entry for what it is.
func (p *Pool) KeepKnown(ctx context.Context, to Target) error {
	one := p.peerOf(to.ID)
	now := sinceEpochDuration()
	one.startKeeping(now)
	return p.keepWitness(ctx, to, one, now)
}
