package engine

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"goldcrestport/standin/internal/reply"
)

const maxLoggedOrders = 10000

// Order is a request to load or unload a model or an adapter, or to change the engine's role.
type Order struct {
	Fence   uint64 `json:"fence"`
	ID      string `json:"id"`
	Action  string `json:"action"`
	Kind    string `json:"kind,omitempty"`
	Name    string `json:"name,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

func (o Order) valid() bool {
	if o.Action == "role" {
		return o.Role != ""
	}
	return (o.Action == "load" || o.Action == "unload") && (o.Kind == "model" || o.Kind == "adapter") && o.Name != ""
}

// Loaded is a loaded version of a model or an adapter. Several versions may be loaded at the same time.
type Loaded struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Effect is an order that was applied.
type Effect struct {
	Order
	AtMS int64 `json:"at_ms"`
}

// orders applies orders one at a time, in the order in which they acquire the lock.
type orders struct {
	applyMu    sync.Mutex // held while an order is applied
	checkFence bool
	loadTime   time.Duration

	mu     sync.Mutex
	fence  uint64
	role   string
	loaded map[string]map[Loaded]bool // by kind
	log    []Effect
}

func newOrders(check bool, loadTime time.Duration) *orders {
	return &orders{checkFence: check, loadTime: loadTime, loaded: map[string]map[Loaded]bool{"model": {}, "adapter": {}}}
}

func (o *orders) post(w http.ResponseWriter, r *http.Request) {
	body, status := reply.Body(w, r, 1<<16)
	var order Order
	if status != 0 || json.Unmarshal(body, &order) != nil || !order.valid() {
		reply.Error(w, http.StatusBadRequest, "not an order")
		return
	}
	if greatest, ok := o.apply(order); !ok {
		reply.JSON(w, http.StatusConflict, map[string]uint64{"fence": greatest})
		return
	}
	reply.JSON(w, http.StatusOK, map[string]any{"applied": true, "fence": order.Fence})
}

// apply applies an order, even if its sender has disconnected. It returns the greatest fence and whether it applied.
func (o *orders) apply(order Order) (uint64, bool) {
	o.applyMu.Lock()
	defer o.applyMu.Unlock()
	if greatest := o.raiseFence(order.Fence); o.checkFence && order.Fence < greatest {
		return greatest, false
	}
	if order.Action == "load" {
		time.Sleep(o.loadTime)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch order.Action {
	case "load":
		o.loaded[order.Kind][Loaded{order.Name, order.Version}] = true
	case "unload": // without a version: all versions
		for l := range o.loaded[order.Kind] {
			if l.Name == order.Name && (order.Version == "" || l.Version == order.Version) {
				delete(o.loaded[order.Kind], l)
			}
		}
	case "role":
		o.role = order.Role
	}
	o.log = append(o.log, Effect{order, time.Now().UnixMilli()})
	o.log = o.log[max(0, len(o.log)-maxLoggedOrders):]
	return o.fence, true
}

func (o *orders) raiseFence(fence uint64) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fence = max(o.fence, fence)
	return o.fence
}

func (o *orders) get(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	reply.JSON(w, http.StatusOK, map[string]any{
		"fence": o.fence, "models": sorted(o.loaded["model"]), "adapters": sorted(o.loaded["adapter"]),
		"role": o.role, "log": append([]Effect{}, o.log...),
	})
}

func sorted(set map[Loaded]bool) []Loaded {
	out := []Loaded{}
	for l := range set {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Loaded) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version))
	})
	return out
}
