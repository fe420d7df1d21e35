package operator

// Status is the fleet as the router asked sees it: its own state, that of the
// sidecars that it is linked with, and what the other routers answered.
type Status struct {
	// Router that was asked.
	Router string `json:"router"`
	// Revision in force at that router, 0 for none.
	Revision uint64    `json:"revision"`
	Teams    int       `json:"teams"`
	Routers  []Router  `json:"routers"`
	Services []Service `json:"services"`
	Backends []Backend `json:"backends"`
	// Queues whose first request waits longest, of all routers that answered.
	Queues []Queue `json:"queues"`
}

// Router is one router of the fleet.
type Router struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// State is "ready" or why no new work is taken; of a router that did not
	// answer, what the platform's list says.
	State    string `json:"state"`
	Answered bool   `json:"answered"`
	// Revision in force there, 0 for none.
	Revision uint64 `json:"revision"`
	Waiting  int    `json:"waiting"`
}

// Service sums up one service.
type Service struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	// Ready backend servers take work; Linked ones have a control stream with
	// the router asked.
	Ready  int `json:"ready"`
	Linked int `json:"linked"`
	// Slots and Free are of the ready ones.
	Slots int `json:"slots"`
	Free  int `json:"free"`
	// Waiting requests at all routers that answered, and the most teams that
	// wait at one of them.
	Waiting      int `json:"waiting"`
	WaitingTeams int `json:"waiting_teams"`
}

// Queue is the waiting work of one team for one service at one router.
type Queue struct {
	Router   string `json:"router"`
	Service  string `json:"service"`
	Team     string `json:"team"`
	Waiting  int    `json:"waiting"`
	Bytes    int64  `json:"bytes"`
	OldestMS int64  `json:"oldest_ms"`
}

// Backend is a backend server with its sidecar.
type Backend struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre,omitempty"`
	// Linked tells that the router asked has a control stream to the sidecar.
	Linked  bool `json:"linked"`
	Slots   int  `json:"slots"`
	Free    int  `json:"free"`
	Leaving bool `json:"leaving"`
	// Drained tells that the configuration in force drains it, or evacuates its
	// data centre.
	Drained bool `json:"drained"`
	// Revision in force at the sidecar by its last report.
	Revision uint64 `json:"revision"`
	// OrdersLeft is how many orders its engine still has to be given before it
	// has what the configuration asks for.
	OrdersLeft int `json:"orders_left"`
}
