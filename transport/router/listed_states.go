package router

import (
	"maps"
	"sync"

	"goldcrestport/protocol/wire"
	"goldcrestport/transport/platform"
)

// listedStates holds which instances the platform's list marks as leaving.
// Routers send this state to the sidecars, because reading the list from
// thousands of sidecars would not scale.
type listedStates struct {
	mu      sync.Mutex
	leaving map[string]bool
	// changed is closed and replaced when the set of leaving instances changes.
	changed chan struct{}
}

func newListedStates() *listedStates {
	return &listedStates{leaving: map[string]bool{}, changed: make(chan struct{})}
}

// set updates the states from an instance list.
func (l *listedStates) set(list []platform.Instance) {
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

func (l *listedStates) get(id string) (wire.Listed, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving[id] {
		return wire.Listed_LISTED_LEAVING, l.changed
	}
	return wire.Listed_LISTED_LIVE, l.changed
}

// sendListedState sends a sidecar its listed state at each change until its
// stream ends. Nothing is sent while a sidecar has always been live.
func (r *Router) sendListedState(stream wire.DRPCSidecar_ControlClient, id string) {
	sent := wire.Listed_LISTED_LIVE
	for {
		listed, changed := r.listedStates.get(id)
		if listed != sent {
			if stream.Send(&wire.ControlUp{Listed: listed}) != nil {
				return
			}
			sent = listed
		}
		select {
		case <-changed:
		case <-stream.Context().Done():
			return
		}
	}
}
