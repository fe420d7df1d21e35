package settings

import "time"

// RouterPolicy is the way in which a router dispatches requests to sidecars.
type RouterPolicy string

// Router policies.
const (
	// RouterPull queues requests at the router until a sidecar pulls them.
	RouterPull RouterPolicy = "pull"
	// RouterPushFIFO pushes requests to the least loaded sidecar in order of
	// arrival.
	RouterPushFIFO RouterPolicy = "push-fifo"
	// RouterPushFair pushes requests to the least loaded sidecar, fairly across
	// the teams of this router.
	RouterPushFair RouterPolicy = "push-fair"
)

// RouterListen holds the addresses that a router binds.
type RouterListen struct {
	// Callers is the address for requests.
	Callers string `json:"callers"`
	// Operators is the address for goldcrestctl, health and metrics.
	Operators string `json:"operators"`
	// Peers is the address for other routers and sidecars.
	Peers string `json:"peers"`
}

// Queues holds the limits of a router's queues.
type Queues struct {
	// PerTeam limits one team's queued requests. Default 512.
	PerTeam int `json:"per_team"`
	// PerTeamBytes limits the bodies of one team's queued requests. Default 64 MiB.
	PerTeamBytes Size `json:"per_team_bytes"`
	// Total limits all queued requests. Default 8192.
	Total int `json:"total"`
	// TotalBytes limits the bodies of all queued requests. Default 128 MiB.
	TotalBytes Size `json:"total_bytes"`
	// ReorderDepth is the number of requests at the head of a team's queue that are
	// searched for one with a cached prompt prefix; 1 keeps strict order.
	// Default 4.
	ReorderDepth int `json:"reorder_depth"`
}

// CallerLimits holds the limits for callers.
type CallerLimits struct {
	// Body bounds a request body. Default 8 MiB.
	Body Size `json:"body"`
	// Bodies limits all request bodies in the router's memory: of requests being
	// read, queued and running. One team may use half of it. Default 192 MiB.
	Bodies Size `json:"bodies"`
	// Headers bounds the request headers. Default 64 KiB.
	Headers Size `json:"headers"`
	// HeaderFields bounds the number of request header fields. Default 100.
	HeaderFields int `json:"header_fields"`
	// Connections bounds the callers' open connections. Default 4096.
	Connections int `json:"connections"`
	// HeaderTimeout bounds the time to read the headers. Default 5s.
	HeaderTimeout Duration `json:"header_timeout"`
	// BodyTimeout bounds the time to read the body. Default 30s.
	BodyTimeout Duration `json:"body_timeout"`
	// WriteTimeout bounds the time in which a caller receives a part of the
	// answer. Default 1m.
	WriteTimeout Duration `json:"write_timeout"`
	// IdleTimeout closes a connection without requests. Default 1m.
	IdleTimeout Duration `json:"idle_timeout"`
	// Deadline is the longest time that a request may take. Default 10m.
	Deadline Duration `json:"deadline"`
}

// Operators holds the operators' settings from before there is a configuration.
type Operators struct {
	// BootstrapDigest is the hex SHA-256 digest of the token that may confirm
	// the first configuration; empty for none.
	BootstrapDigest string `json:"bootstrap_digest,omitempty"`
}

// Router holds the settings of a router.
type Router struct {
	ID         string       `json:"id"`
	DataCentre string       `json:"data_centre"`
	Listen     RouterListen `json:"listen"`
	Platform   Platform     `json:"platform"`
	// Seeds are the peer addresses of some routers, IP:port, which a starting
	// process asks when the platform does not answer.
	Seeds []string `json:"seeds,omitempty"`
	// Region lists the data centres whose backend servers this router dispatches
	// to; empty for all. It limits the links of one router in a fleet of several
	// regions.
	Region []string `json:"region,omitempty"`
	// Policy of dispatching requests. Default "pull".
	Policy    RouterPolicy `json:"policy"`
	Queues    Queues       `json:"queues"`
	Limits    CallerLimits `json:"limits"`
	Operators Operators    `json:"operators"`
	Stop      Stop         `json:"stop"`
	Claims    Claims       `json:"claims"`
	Log       Log          `json:"log"`
	Trace     Trace        `json:"trace"`
}

// DefaultRouter returns a router's settings with every default filled in.
func DefaultRouter() Router {
	return Router{
		Platform: defaultPlatform(),
		Policy:   RouterPull,
		Queues:   Queues{PerTeam: 512, PerTeamBytes: 64 * MiB, Total: 8192, TotalBytes: 128 * MiB, ReorderDepth: 4},
		Limits: CallerLimits{
			Body:          8 * MiB,
			Bodies:        192 * MiB,
			Headers:       64 * KiB,
			HeaderFields:  100,
			Connections:   4096,
			HeaderTimeout: Duration(5 * time.Second),
			BodyTimeout:   Duration(30 * time.Second),
			WriteTimeout:  Duration(time.Minute),
			IdleTimeout:   Duration(time.Minute),
			Deadline:      Duration(10 * time.Minute),
		},
		Claims: defaultClaims(),
		Stop:   defaultStop(),
		Log:    Log{Level: LogInfo},
		Trace:  defaultTrace(),
	}
}

func (*Router) schema() string { return routerSchema }

// checkConflicts reports values that conflict with each other.
func (r *Router) checkConflicts(p *Problems) {
	checkListeners(p, []listener{
		{"listen.callers", r.Listen.Callers},
		{"listen.operators", r.Listen.Operators},
		{"listen.peers", r.Listen.Peers},
	})
	q, l := r.Queues, r.Limits
	if q.Total < q.PerTeam {
		p.add("queues.total", "%d is below queues.per_team, %d", q.Total, q.PerTeam)
	}
	if q.TotalBytes < q.PerTeamBytes {
		p.add("queues.total_bytes", "%s is below queues.per_team_bytes, %s", q.TotalBytes, q.PerTeamBytes)
	}
	if q.PerTeamBytes < l.Body {
		p.add("queues.per_team_bytes", "%s is below limits.body, %s", q.PerTeamBytes, l.Body)
	}
	if l.Bodies < q.TotalBytes {
		p.add("limits.bodies", "%s is below queues.total_bytes, %s", l.Bodies, q.TotalBytes)
	}
	r.Claims.checkConflicts(p, l.Deadline)
	r.Stop.checkConflicts(p)
	r.Trace.checkConflicts(p)
}
