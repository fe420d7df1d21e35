package operator

// Status is what one router knows of itself and of the sidecars that it is
// linked with.
type Status struct {
	Router     string `json:"router"`
	DataCentre string `json:"data_centre"`
	// State is "ready" or why no new work is taken.
	State string `json:"state"`
	// Revision in force at this router, 0 for none.
	Revision uint64    `json:"revision"`
	Teams    int       `json:"teams"`
	Services []Service `json:"services"`
	Queues   []Queue   `json:"queues"`
	Backends []Backend `json:"backends"`
	// Routers are the other routers of the platform's list.
	Routers []Peer `json:"routers"`
}

// Service sums up one service as this router sees it.
type Service struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	// Ready backend servers take work; Linked ones have a control stream.
	Ready  int `json:"ready"`
	Linked int `json:"linked"`
	// Slots and Free are of the ready ones.
	Slots int `json:"slots"`
	Free  int `json:"free"`
	// Waiting requests and teams with any.
	Waiting      int `json:"waiting"`
	WaitingTeams int `json:"waiting_teams"`
}

// Queue is the waiting work of one team for one service at this router.
type Queue struct {
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
	// Linked tells that this router has a control stream to the sidecar.
	Linked  bool `json:"linked"`
	Slots   int  `json:"slots"`
	Free    int  `json:"free"`
	Leaving bool `json:"leaving"`
	// Drained tells that the configuration in force here drains it.
	Drained bool `json:"drained"`
	// Revision in force at the sidecar by its last report.
	Revision uint64 `json:"revision"`
	// OrdersLeft is how many orders its engine still has to be given before it
	// has what the configuration asks for.
	OrdersLeft int `json:"orders_left"`
}

// Peer is another router.
type Peer struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
}
