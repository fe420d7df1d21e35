package settings

import "time"

// SidecarPolicy is the way in which a sidecar gets work.
type SidecarPolicy string

// Sidecar policies.
const (
	// SidecarPull pulls from the team that has received the least service; a
	// request's cost is charged while it runs.
	SidecarPull SidecarPolicy = "pull"
	// SidecarPullSettle is SidecarPull with the cost charged only at the end.
	SidecarPullSettle SidecarPolicy = "pull-settle"
	// SidecarPush accepts the requests that routers push, in order of arrival.
	SidecarPush SidecarPolicy = "push"
)

// SidecarListen holds the addresses that a sidecar binds.
type SidecarListen struct {
	// Peers is the address for routers and other sidecars.
	Peers string `json:"peers"`
	// Operators is the address for health and metrics.
	Operators string `json:"operators"`
}

// Backend describes the backend server beside a sidecar.
type Backend struct {
	// URL of the backend server.
	URL string `json:"url"`
	// Slots is the largest number of requests that run at once. Default 8.
	Slots int `json:"slots"`
	// MinSlots is the lower bound of a model engine's adaptive concurrency limit;
	// if it equals Slots, the limit is fixed. Default 1.
	MinSlots int `json:"min_slots"`
	// FirstToken is the target of the 95th percentile of the time to first token.
	// Default 970ms.
	FirstToken Duration `json:"first_token"`
	// TokenGap is the target of the 95th percentile of the time between tokens.
	// Default 50ms.
	TokenGap Duration `json:"token_gap"`
	// LookAhead is the number of requests pulled ahead of a free slot.
	// Default 1.
	LookAhead *int `json:"look_ahead,omitempty"`
	// PromptWeight is the cost of one uncached prompt token, in generated
	// tokens. Default 0.01.
	PromptWeight float64 `json:"prompt_weight"`
	// ResumeGrace is how long a request keeps running after its link to the router
	// is lost, so that the router can resume its answer. Default 5s.
	ResumeGrace Duration `json:"resume_grace"`
	// LeaseTTL is the time after which the sidecar's lease on its slot expires
	// unless it is renewed. Default 75s.
	LeaseTTL Duration `json:"lease_ttl"`
}

// Orders limits the orders that a sidecar gives to its engine.
type Orders struct {
	// ConcurrentLoads is how many loads from the weight store run at once in
	// the whole fleet. Default 4.
	ConcurrentLoads int `json:"concurrent_loads"`
	// Timeout is how long an order may take. Default 5m.
	Timeout Duration `json:"timeout"`
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	ID         string        `json:"id"`
	DataCentre string        `json:"data_centre"`
	Service    string        `json:"service"`
	Listen     SidecarListen `json:"listen"`
	Platform   Platform      `json:"platform"`
	Backend    Backend       `json:"backend"`
	Orders     Orders        `json:"orders"`
	// Seeds are the peer addresses of some routers, IP:port, which a starting
	// process asks when the platform does not answer.
	Seeds []string `json:"seeds,omitempty"`
	// Policy of getting work. Default "pull".
	Policy SidecarPolicy `json:"policy"`
	// ExchangeEvery is the time between exchanges of service counters.
	// Default 2s.
	ExchangeEvery Duration `json:"exchange_every"`
	Stop          Stop     `json:"stop"`
	Log           Log      `json:"log"`
	Trace         Trace    `json:"trace"`
}

// DefaultSidecar returns a sidecar's settings with every default filled in.
func DefaultSidecar() Sidecar {
	ahead := 1
	return Sidecar{
		Platform: defaultPlatform(),
		Backend: Backend{
			Slots:        8,
			MinSlots:     1,
			FirstToken:   Duration(970 * time.Millisecond),
			TokenGap:     Duration(50 * time.Millisecond),
			LookAhead:    &ahead,
			PromptWeight: 0.01,
			ResumeGrace:  Duration(5 * time.Second),
			LeaseTTL:     Duration(75 * time.Second),
		},
		Orders:        Orders{ConcurrentLoads: 4, Timeout: Duration(5 * time.Minute)},
		Policy:        SidecarPull,
		ExchangeEvery: Duration(2 * time.Second),
		Stop:          defaultStop(),
		Log:           Log{Level: LogInfo},
		Trace:         defaultTrace(),
	}
}

func (*Sidecar) schema() string { return sidecarSchema }

// checkConflicts reports values that conflict with each other.
func (s *Sidecar) checkConflicts(p *Problems) {
	checkListeners(p, []listener{
		{"listen.peers", s.Listen.Peers},
		{"listen.operators", s.Listen.Operators},
	})
	if s.Backend.Slots > 0 && s.Backend.MinSlots > s.Backend.Slots {
		p.add("backend.min_slots", "%d is above backend.slots, %d", s.Backend.MinSlots, s.Backend.Slots)
	}
	s.Stop.checkConflicts(p)
	s.Trace.checkConflicts(p)
}
