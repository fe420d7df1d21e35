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

// Usage is the number of calls that the Spreader has made.
type Usage struct {
	// Reads, Watches and Lists went to the platform, Fetches to peers.
	Reads, Watches, Lists, Fetches int64
}

// Usage returns the calls made so far.
func (s *Spreader) Usage() Usage {
	return Usage{
		Reads:   s.use.reads.Load(),
		Watches: s.use.watches.Load(),
		Lists:   s.use.lists.Load(),
		Fetches: s.use.fetches.Load(),
	}
}

// read reads the configuration from the platform once.
func (s *Spreader) read(ctx context.Context) {
	s.use.reads.Add(1)
	e, err := s.opts.Store.Get(ctx, ConfigKey)
	if errors.Is(err, platform.ErrNotFound) {
		// The platform answered: there is no configuration yet.
		s.post(ctx, message{event: spread.PlatformAnswered{}})
		return
	}
	if err != nil {
		s.post(ctx, message{event: spread.PlatformFailed{}})
		return
	}
	s.answered(ctx, e)
}

// watch waits at the platform until the configuration changes.
func (s *Spreader) watch(ctx context.Context) {
	s.use.watches.Add(1)
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
			s.answered(ctx, e)
			return
		}
	}
	s.post(ctx, message{event: spread.PlatformAnswered{Revision: s.Revision()}})
}

// answered takes the platform's entry up. An entry that is no document counts
// as no answer, so that the process goes on with what it has.
func (s *Spreader) answered(ctx context.Context, e platform.Entry) {
	doc, err := document.Decode(e.Value)
	if err != nil {
		_ = s.opts.Log.Log("event", "config_unreadable", "version", e.Version, "err", err)
		s.post(ctx, message{event: spread.PlatformFailed{}})
		return
	}
	s.post(ctx, message{event: spread.PlatformAnswered{Revision: doc.Revision}, doc: doc})
}
