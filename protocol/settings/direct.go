package settings

import "time"

// DirectListen holds the addresses that a direct router binds.
type DirectListen struct {
	// Callers is the address for requests.
	Callers string `json:"callers"`
	// Health is the address for the load balancer's readiness checks.
	Health string `json:"health"`
	// ReadyPath is the path of the readiness check. Default "/readyz".
	ReadyPath string `json:"ready_path"`
	// Metrics is the address of metrics; empty for none.
	Metrics string `json:"metrics,omitempty"`
	// Peers is the address for datagrams and calls of other routers; empty
	// for none.
	Peers string `json:"peers,omitempty"`
	// Seeds is a further address for calls of routers that are starting; empty
	// for none.
	Seeds string `json:"seeds,omitempty"`
}

// DirectCallers holds the limits for callers.
type DirectCallers struct {
	// Body limits a request body where the configuration does not. Default
	// 8 MiB.
	Body Size `json:"body"`
	// Headers bounds the request headers. Default 64 KiB.
	Headers Size `json:"headers"`
	// HeaderTimeout bounds the time to read the headers. Default 30s.
	HeaderTimeout Duration `json:"header_timeout"`
	// IdleTimeout closes a connection without requests. It must be above what
	// the configuration allows callers. Default 2m.
	IdleTimeout Duration `json:"idle_timeout"`
	// Connections limits the callers' open connections: beyond it, those idle
	// for longest are closed. Default 2500.
	Connections int `json:"connections"`
}

// Repeats limits the retries at further backend servers over the whole fleet.
type Repeats struct {
	// Window is the length of the sliding window. Default 10s.
	Window Duration `json:"window"`
	// Ratio is the allowed ratio of retries to requests. Default 0.2.
	Ratio float64 `json:"ratio"`
	// Allowance is the number of retries allowed in a window in addition to the
	// ratio. Default 10.
	Allowance float64 `json:"allowance"`
}

// ColdServers limits the requests that a cold backend server gets in a second from
// all routers together: Overrun times the rate in its service's configuration, plus
// Slack requests. If both are 0, the default, there is no limit.
type ColdServers struct {
	Overrun float64 `json:"overrun"`
	Slack   float64 `json:"slack"`
}

// Engines holds the settings for services of inference engines.
type Engines struct {
	// Pace says for which services requests are placed by the learnt prefill rate of each
	// backend server rather than by one rate for all. ModeAuto, the default, stands for the
	// services whose servers report how long work takes on their machine.
	Pace string `json:"pace"`
	// PromptMix says for which services long and short prompts are treated by size. ModeAuto, the
	// default, stands for the services whose routes' objectives are far apart or whose servers report how
	// long work takes on their machine.
	PromptMix string `json:"prompt_mix"`
}

// Values of Engines.Pace and Engines.PromptMix.
const (
	ModeAuto = "auto"
	ModeOn   = "on"
	ModeOff  = "off"
)

// Direct holds the settings of a router that calls backend servers itself.
type Direct struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Regions maps each data centre to its region. A data centre that is not listed
	// is in no region: requests with a list of allowed regions are not sent to its servers.
	Regions  map[string]string `json:"regions,omitempty"`
	Listen   DirectListen      `json:"listen"`
	Platform Platform          `json:"platform"`
	// Seeds are the listen.seeds addresses of some routers, IP:port. A starting
	// router asks them for a configuration while the store does not answer.
	Seeds   []string      `json:"seeds,omitempty"`
	Callers DirectCallers `json:"callers"`
	Repeats Repeats       `json:"repeats"`
	// ColdServers limits the requests to cold backend servers.
	ColdServers ColdServers `json:"cold_servers"`
	Engines     Engines     `json:"engines"`
	// KeyRevocation is the time after which a revoked key must no longer be
	// accepted. Default 5s.
	KeyRevocation Duration `json:"key_revocation"`
	// Departure is the time after which a backend server that is gone must no longer
	// get requests. Default 2s.
	Departure Duration `json:"departure"`
	// EventDelay is the time after which a stream's event reaches its caller too
	// late. A busy router batches events for a part of it. Default 100ms.
	EventDelay Duration `json:"event_delay"`
	// Memory is the memory that the process may use; the runtime's soft limit is
	// set below it. Default 256 MiB.
	Memory Size `json:"memory"`
	// Stop holds the times of a graceful shutdown. Its linger is limited to
	// LingerShare of its bound, so that a short bound leaves time to refuse new
	// requests and to end running ones.
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
		Engines:       Engines{Pace: ModeAuto, PromptMix: ModeAuto},
		KeyRevocation: Duration(5 * time.Second),
		Departure:     Duration(2 * time.Second),
		EventDelay:    Duration(100 * time.Millisecond),
		Memory:        256 * MiB,
		Stop:          defaultStop(),
		Log:           Log{Level: LogInfo},
		Trace:         defaultTrace(),
	}
}

// LingerShare is the longest linger of a direct router, as a share of the bound of
// its graceful shutdown.
const LingerShare = 0.4

// Linger returns the time in which a router that is shutting down still accepts
// new work.
func (d *Direct) Linger() time.Duration {
	return min(d.Stop.Linger.D(), time.Duration(LingerShare*float64(d.Stop.Bound)))
}

func (*Direct) schema() string { return directSchema }

// checkConflicts reports values that conflict with each other.
func (d *Direct) checkConflicts(p *Problems) {
	all := []listener{{"listen.callers", d.Listen.Callers}, {"listen.health", d.Listen.Health}}
	if d.Listen.Metrics != "" {
		all = append(all, listener{"listen.metrics", d.Listen.Metrics})
	}
	if d.Listen.Seeds != "" {
		all = append(all, listener{"listen.seeds", d.Listen.Seeds})
	}
	checkListeners(p, all)
	d.Trace.checkConflicts(p)
}
