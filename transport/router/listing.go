package router

import (
	"maps"
	"sync"

	"goldcrestport/protocol/wire"
	"goldcrestport/transport/platform"
)

// listing is what the platform's list says of sidecars that leave. Routers
// tell them, since thousands of sidecars could not all read the list.
type listing struct {
	mu      sync.Mutex
	leaving map[string]bool
	// changed is closed and replaced when the list has changed.
	changed chan struct{}
}

func newListing() *listing {
	return &listing{leaving: map[string]bool{}, changed: make(chan struct{})}
}

// set takes a list that was read.
func (l *listing) set(list []platform.Instance) {
	leaving := map[string]bool{}
	for _, i := range list {
		if i.State == platform.StateLeaving {
			leaving[i.ID] = true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if maps.Equal(l.leaving, leaving) {
		return
	}
	l.leaving = leaving
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *listing) get(id string) (wire.Listed, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving[id] {
		return wire.Listed_LISTED_LEAVING, l.changed
	}
	return wire.Listed_LISTED_LIVE, l.changed
}

// tellListing tells a sidecar how it is listed until its stream ends. Nothing
// is sent for one that was live all the time.
func (r *Router) tellListing(stream wire.DRPCSidecar_ControlClient, id string) {
	told := wire.Listed_LISTED_LIVE
	for {
		listed, changed := r.listing.get(id)
		if listed != told {
			if stream.Send(&wire.ControlUp{Listed: listed}) != nil {
				return
			}
			told = listed
		}
		select {
		case <-changed:
		case <-stream.Context().Done():
			return
		}
	}
}
