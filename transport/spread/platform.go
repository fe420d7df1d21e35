package spread

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/spread"
	"goldcrestport/protocol/document"
	"goldcrestport/transport/platform"
)

// usage counts the platform calls of this process.
type usage struct {
	reads   atomic.Int64
	watches atomic.Int64
	lists   atomic.Int64
	fetches atomic.Int64
}

// Usage holds the number of calls that a Spreader has made.
type Usage struct {
	// Reads, Watches and Lists count calls to the platform, Fetches calls to
	// peers.
	Reads, Watches, Lists, Fetches int64
}

// Usage returns the number of calls made so far.
func (s *Spreader) Usage() Usage {
	return Usage{
		Reads:   s.usage.reads.Load(),
		Watches: s.usage.watches.Load(),
		Lists:   s.usage.lists.Load(),
		Fetches: s.usage.fetches.Load(),
	}
}

// read reads the configuration from the platform once.
func (s *Spreader) read(ctx context.Context) {
	s.usage.reads.Add(1)
	e, err := s.opts.Store.Get(ctx, ConfigKey)
	if errors.Is(err, platform.ErrNotFound) {
		// The platform is reachable but has no configuration yet.
		s.post(ctx, message{event: spread.PlatformAnswered{}})
		return
	}
	if err != nil {
		s.post(ctx, message{event: spread.PlatformFailed{}})
		return
	}
	s.applyEntry(ctx, e)
}

// watch long-polls the platform for a change of the configuration, for at most
// watchTimeout.
func (s *Spreader) watch(ctx context.Context) {
	s.usage.watches.Add(1)
	s.mu.Lock()
	after := s.storeAfter
	s.mu.Unlock()
	entries, revision, err := s.opts.Store.Watch(ctx, ConfigKey, after, watchTimeout)
	if err != nil {
		s.post(ctx, message{event: spread.PlatformFailed{}})
		return
	}
	s.mu.Lock()
	s.storeAfter = revision
	s.mu.Unlock()
	for _, e := range entries {
		if e.Key == ConfigKey && !e.Deleted {
			s.applyEntry(ctx, e)
			return
		}
	}
	s.post(ctx, message{event: spread.PlatformAnswered{Revision: s.Revision()}})
}

// applyEntry applies an entry received from the platform. An entry that cannot be
// decoded counts as a failed call, so that the process keeps its document.
func (s *Spreader) applyEntry(ctx context.Context, e platform.Entry) {
	doc, err := document.Decode(e.Value)
	if err != nil {
		_ = s.opts.Log.Log("event", "config_unreadable", "version", e.Version, "err", err)
		s.post(ctx, message{event: spread.PlatformFailed{}})
		return
	}
	s.post(ctx, message{event: spread.PlatformAnswered{Revision: doc.Revision}, doc: doc})
}
