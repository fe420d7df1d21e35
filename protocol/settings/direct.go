package settings

import "time"

// DirectListen holds the addresses that a direct router binds.
type DirectListen struct {
	// Callers is the address for requests.
	Callers string `json:"callers"`
	// Health is the address at which the balancer asks whether the router is
	// ready.
	Health string `json:"health"`
	// ReadyPath is the path of that question. Default "/readyz".
	ReadyPath string `json:"ready_path"`
	// Metrics is the address of metrics; empty for none.
	Metrics string `json:"metrics,omitempty"`
	// Peers is the address for datagrams and calls of other routers; empty
	// for none.
	Peers string `json:"peers,omitempty"`
	// Seeds is a further address for calls of routers that begin; empty for
	// none.
	Seeds string `json:"seeds,omitempty"`
}

// DirectCallers bounds what callers may do.
type DirectCallers struct {
	// Body bounds a request body where the configuration does not. Default
	// 8 MiB.
	Body Size `json:"body"`
	// Headers bounds the request headers. Default 64 KiB.
	Headers Size `json:"headers"`
	// HeaderTimeout bounds the time to read the headers. Default 30s.
	HeaderTimeout Duration `json:"header_timeout"`
	// IdleTimeout closes a connection without requests. It must be above what
	// the configuration allows callers. Default 2m.
	IdleTimeout Duration `json:"idle_timeout"`
	// Connections bounds the callers' open connections: those idle for longest
	// are closed beyond it. Default 2500.
	Connections int `json:"connections"`
}

// Repeats bounds the requests that are sent to a further backend server, over
// the whole fleet.
type Repeats struct {
	// Window that slides. Default 10s.
	Window Duration `json:"window"`
	// Ratio of repeats to requests. Default 0.2.
	Ratio float64 `json:"ratio"`
	// Allowance of repeats in a window beside the ratio. Default 10.
	Allowance float64 `json:"allowance"`
}

// ColdServers bound what a backend server that is cold gets in a second, from all
// routers together: Overrun times the rate that its service's configuration names,
// and Slack requests besides. Both 0, the default: nothing bounds it.
type ColdServers struct {
	Overrun float64 `json:"overrun"`
	Slack   float64 `json:"slack"`
}

// Direct holds the settings of a router that calls backend servers itself.
type Direct struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Regions names the region of each data centre. One that is not named is in
	// no region: what has homes is not sent to its servers.
	Regions  map[string]string `json:"regions,omitempty"`
	Listen   DirectListen      `json:"listen"`
	Platform Platform          `json:"platform"`
	// Seeds are listen.seeds of some routers, IP:port, which a router that
	// begins asks for a configuration while the store does not answer.
	Seeds   []string      `json:"seeds,omitempty"`
	Callers DirectCallers `json:"callers"`
	Repeats Repeats       `json:"repeats"`
	// ColdServers bound what cold backend servers get.
	ColdServers ColdServers `json:"cold_servers"`
	// KeyRevocation is the time after which a key that was taken away must
	// not work any more. Default 5s.
	KeyRevocation Duration `json:"key_revocation"`
	// Departure is the time after which a backend server that left must get nothing.
	// Default 2s.
	Departure Duration `json:"departure"`
	// EventDelay is the time after which an event of a stream is late at its
	// caller. A busy router gathers events for a part of it. Default 100ms.
	EventDelay Duration `json:"event_delay"`
	// Memory that the process may use; its soft limit lies below. Default
	// 256 MiB.
	Memory Size `json:"memory"`
	// Stop holds the times of a graceful shutdown. Its linger is cut to
	// LingerShare of its bound, so that a short bound leaves time to refuse and
	// to end what runs.
	Stop  Stop  `json:"stop"`
	Log   Log   `json:"log"`
	Trace Trace `json:"trace"`
}

// DefaultDirect returns a direct router's settings with every default filled
// in.
func DefaultDirect() Direct {
	return Direct{
		Listen:   DirectListen{ReadyPath: "/readyz"},
		Platform: defaultPlatform(),
		Callers: DirectCallers{
			Body: 8 * MiB, Headers: 64 * KiB,
			HeaderTimeout: Duration(30 * time.Second), IdleTimeout: Duration(2 * time.Minute),
			Connections: 2500,
		},
		Repeats:       Repeats{Window: Duration(10 * time.Second), Ratio: 0.2, Allowance: 10},
		KeyRevocation: Duration(5 * time.Second),
		Departure:     Duration(2 * time.Second),
		EventDelay:    Duration(100 * time.Millisecond),
		Memory:        256 * MiB,
		Stop:          defaultStop(),
		Log:           Log{Level: LogInfo},
		Trace:         defaultTrace(),
	}
}

// LingerShare of the bound of a graceful shutdown is the longest linger of a
// direct router.
const LingerShare = 0.4

// Linger is the time in which a router that leaves still takes new work.
func (d *Direct) Linger() time.Duration {
	return min(d.Stop.Linger.D(), time.Duration(LingerShare*float64(d.Stop.Bound)))
}

func (*Direct) schema() string { return directSchema }

// clashes reports values that do not go together.
func (d *Direct) clashes(p *Problems) {
	all := []listener{{"listen.callers", d.Listen.Callers}, {"listen.health", d.Listen.Health}}
	if d.Listen.Metrics != "" {
		all = append(all, listener{"listen.metrics", d.Listen.Metrics})
	}
	if d.Listen.Seeds != "" {
		all = append(all, listener{"listen.seeds", d.Listen.Seeds})
	}
	checkListeners(p, all)
	d.Trace.clashes(p)
}
