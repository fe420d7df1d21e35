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

const keptOrders = 10000

// Order asks an engine to load or unload a model or an adapter, or to change its role.
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

// Loaded is a model or an adapter in one version. Several versions may be loaded side by side.
type Loaded struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Effect is an order that took effect.
type Effect struct {
	Order
	AtMS int64 `json:"at_ms"`
}

// orders applies one order at a time, in the order of their arrival at the lock.
type orders struct {
	busy     sync.Mutex // held while an order is applied
	check    bool
	loadTime time.Duration

	mu     sync.Mutex
	fence  uint64
	role   string
	loaded map[string]map[Loaded]bool // by kind
	log    []Effect
}

func newOrders(check bool, loadTime time.Duration) *orders {
	return &orders{check: check, loadTime: loadTime, loaded: map[string]map[Loaded]bool{"model": {}, "adapter": {}}}
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

// apply carries an order out, also when its sender has left; it returns the greatest fence and whether it applied.
func (o *orders) apply(order Order) (uint64, bool) {
	o.busy.Lock()
	defer o.busy.Unlock()
	if greatest := o.greatest(order.Fence); o.check && order.Fence < greatest {
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
	case "unload": // without a version: all of them
		for l := range o.loaded[order.Kind] {
			if l.Name == order.Name && (order.Version == "" || l.Version == order.Version) {
				delete(o.loaded[order.Kind], l)
			}
		}
	case "role":
		o.role = order.Role
	}
	o.log = append(o.log, Effect{order, time.Now().UnixMilli()})
	o.log = o.log[max(0, len(o.log)-keptOrders):]
	return o.fence, true
}

func (o *orders) greatest(fence uint64) uint64 {
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
