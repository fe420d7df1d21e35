package operator

// Status is the state of the fleet as seen by the router that answers: its own
// state, that of the sidecars that it is linked with, and the answers of the
// other routers.
type Status struct {
	// Router is the router that answers.
	Router string `json:"router"`
	// Revision is the revision in force at that router, 0 for none.
	Revision uint64    `json:"revision"`
	Teams    int       `json:"teams"`
	Routers  []Router  `json:"routers"`
	Services []Service `json:"services"`
	Backends []Backend `json:"backends"`
	// Queues are those whose first request has waited longest, of all routers
	// that answered.
	Queues []Queue `json:"queues"`
}

// Router is one router of the fleet.
type Router struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// State is "ready" or why the router accepts no new work; for a router that
	// did not answer, its state in the platform's instance list.
	State    string `json:"state"`
	Answered bool   `json:"answered"`
	// Revision is the revision in force at the router, 0 for none.
	Revision uint64 `json:"revision"`
	Waiting  int    `json:"waiting"`
}

// Service summarises one service.
type Service struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	// Ready counts the backend servers that accept work, Linked those that
	// have a control stream with the router that answers.
	Ready  int `json:"ready"`
	Linked int `json:"linked"`
	// Slots and Free count the slots of the ready backend servers.
	Slots int `json:"slots"`
	Free  int `json:"free"`
	// Waiting counts the queued requests at all routers that answered; the
	// number of teams is the largest of any one of them.
	Waiting      int `json:"waiting"`
	WaitingTeams int `json:"waiting_teams"`
}

// Queue describes the queued requests of one team for one service at one router.
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
	// Linked says that the router that answers has a control stream to the sidecar.
	Linked  bool `json:"linked"`
	Slots   int  `json:"slots"`
	Free    int  `json:"free"`
	Leaving bool `json:"leaving"`
	// Drained says that the configuration in force drains it or evacuates its
	// data centre.
	Drained bool `json:"drained"`
	// Revision is the revision in force at the sidecar by its last report.
	Revision uint64 `json:"revision"`
	// OrdersLeft is the number of orders that its engine still has to receive
	// to match the configuration.
	OrdersLeft int `json:"orders_left"`
}
