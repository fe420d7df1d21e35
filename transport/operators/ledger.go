// Package operators serves the operators' HTTP interface of a router: plan,
// confirm, settle, history, rollback, configuration and status.
//
// The router mounts it on its operators' listener. Package coordination/plan
// computes the changes of a plan, coordination/confirm is the protocol by which
// a plan becomes a revision.
package operators

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/confirm"
	"goldcrestport/protocol/document"
	"goldcrestport/state/config"
	"goldcrestport/transport/platform"
	"goldcrestport/transport/spread"
)

// Keys in the platform's key-value store.
const (
	// HeadKey is the key of the newest revision. A plan is accepted only by a
	// compare-and-swap of this key.
	HeadKey = spread.ConfigKey
	// historyPrefix is the prefix of the keys of history entries. It differs
	// from HeadKey's prefix, so that watches of the head don't receive them.
	historyPrefix = "goldcrest/history/"
)

// HistorySlots is the number of history keys. The entry of revision r is stored
// under the key r modulo HistorySlots, so that the history is bounded without
// deletions: at 9,800 changes a day it reaches back a day.
const HistorySlots = 10_000

// Limits of one confirmation.
const (
	maxConfirmAttempts = 40
	retryPause         = 50 * time.Millisecond
)

// ErrForgotten means that the history no longer contains a revision.
var ErrForgotten = errors.New("beyond the history")

// Ledger stores the sequence of accepted revisions on the platform. It is
// stateless and safe for concurrent use.
type Ledger struct {
	store platform.Store
	// pause waits between attempts. Tests replace it.
	pause func(context.Context, time.Duration)
}

// NewLedger returns a ledger backed by the store.
func NewLedger(store platform.Store) *Ledger {
	return &Ledger{store: store, pause: sleep}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// historyKey returns the key of the revision's history entry.
func historyKey(revision uint64) string {
	return fmt.Sprintf("%s%05d", historyPrefix, revision%HistorySlots)
}

// read returns the document under the key and its version, or nil and 0 if there
// is none.
func (l *Ledger) read(ctx context.Context, key string) (*config.Document, uint64, error) {
	e, err := l.store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	d, err := document.Decode(e.Value)
	return d, e.Version, err
}

// Head returns the newest revision, nil if there is none.
func (l *Ledger) Head(ctx context.Context) (*config.Document, error) {
	d, _, err := l.read(ctx, HeadKey)
	return d, err
}

// Run executes the confirmation protocol for the proposal and returns the
// result. It stops when the context ends.
func (l *Ledger) Run(ctx context.Context, p confirm.Proposal) confirm.Done {
	p.Attempts = maxConfirmAttempts
	s := confirm.New(p)
	action := s.Step(confirm.Started{})
	for {
		if done, ok := action.(confirm.Done); ok {
			return done
		}
		action = s.Step(l.perform(ctx, action))
	}
}

// perform executes one action of the protocol and returns the resulting event.
func (l *Ledger) perform(ctx context.Context, action confirm.Action) confirm.Event {
	switch a := action.(type) {
	case confirm.ReadHead:
		if !l.pauseUnlessExpired(ctx, a.Pause) {
			return confirm.Expired{}
		}
		d, version, err := l.read(ctx, HeadKey)
		if err != nil {
			return confirm.ReadFailed{}
		}
		return confirm.HeadRead{Head: d, Version: version}
	case confirm.ReadEntry:
		if !l.pauseUnlessExpired(ctx, a.Pause) {
			return confirm.Expired{}
		}
		d, version, err := l.read(ctx, historyKey(a.Revision))
		if err != nil {
			return confirm.ReadFailed{}
		}
		return confirm.EntryRead{Entry: d, Version: version}
	case confirm.WriteEntry:
		return l.writeEntry(ctx, a)
	case confirm.WriteHead:
		return l.writeHead(ctx, a)
	default:
		return confirm.Expired{}
	}
}

// pauseUnlessExpired waits if pause is set and reports whether the context is
// still active.
func (l *Ledger) pauseUnlessExpired(ctx context.Context, pause bool) bool {
	if pause {
		l.pause(ctx, retryPause)
	}
	return ctx.Err() == nil
}

func (l *Ledger) writeEntry(ctx context.Context, a confirm.WriteEntry) confirm.Event {
	data, err := document.Encode(a.Entry)
	if err != nil {
		return confirm.HeadTooLarge{}
	}
	_, err = l.store.Put(ctx, historyKey(a.Entry.Revision), data, a.Version, "")
	if err != nil {
		return confirm.EntryInDoubt{}
	}
	return confirm.EntryWritten{}
}

func (l *Ledger) writeHead(ctx context.Context, a confirm.WriteHead) confirm.Event {
	data, err := document.Encode(a.Document)
	if err != nil {
		return confirm.HeadTooLarge{}
	}
	_, err = l.store.Put(ctx, HeadKey, data, a.Version, "")
	switch {
	case err == nil:
		return confirm.HeadWritten{}
	case errors.Is(err, platform.ErrConflict):
		return confirm.HeadConflict{}
	case errors.Is(err, platform.ErrBusy):
		return confirm.HeadRefused{}
	case errors.Is(err, platform.ErrTooLarge):
		return confirm.HeadTooLarge{}
	default:
		return confirm.HeadInDoubt{}
	}
}
