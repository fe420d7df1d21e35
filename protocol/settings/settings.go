// Package settings holds the start-up settings of a process, read once from a
// JSON file. What operators change at run time is elsewhere (state/config).
package settings

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration written as "1.5s" in JSON.
type Duration time.Duration

// D returns the duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalJSON reads a string such as "250ms".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	v, err := time.ParseDuration(s)
	*d = Duration(v)
	return err
}

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Platform says where the platform is.
type Platform struct {
	// URL of the platform's HTTP interface.
	URL string `json:"url"`
	// Timeout of one call. Default 1s.
	Timeout Duration `json:"timeout"`
	// InstancesEvery is the time between reads of the instance list.
	// Default 1s.
	InstancesEvery Duration `json:"instances_every"`
}

// Stop bounds a graceful shutdown.
type Stop struct {
	// Bound after which what still runs is ended. Default 30s.
	Bound Duration `json:"bound"`
	// Linger is the time in which the process says that it is not ready and
	// still takes new work. Default 0s.
	Linger Duration `json:"linger"`
}

// RouterListen holds the addresses that a router binds.
type RouterListen struct {
	// Callers is the address for requests.
	Callers string `json:"callers"`
	// Operators is the address for goldcrestctl, health and metrics.
	Operators string `json:"operators"`
	// Peers is the address for other routers and sidecars.
	Peers string `json:"peers"`
}

// Queues bounds what waits at a router.
type Queues struct {
	// PerTeam bounds one team's waiting requests. Default 512.
	PerTeam int `json:"per_team"`
	// PerTeamBytes bounds one team's waiting bodies, in bytes. Default 64 MiB.
	PerTeamBytes int64 `json:"per_team_bytes"`
	// Total bounds all waiting requests. Default 8192.
	Total int `json:"total"`
	// TotalBytes bounds all waiting bodies, in bytes. Default 128 MiB.
	TotalBytes int64 `json:"total_bytes"`
}

// CallerLimits bounds what one caller may do.
type CallerLimits struct {
	// Body bounds a request body in bytes. Default 8 MiB.
	Body int64 `json:"body"`
	// Headers bounds the request headers in bytes. Default 64 KiB.
	Headers int `json:"headers"`
	// HeaderTimeout bounds the time to read the headers. Default 5s.
	HeaderTimeout Duration `json:"header_timeout"`
	// BodyTimeout bounds the time to read the body. Default 30s.
	BodyTimeout Duration `json:"body_timeout"`
	// Deadline is the longest time that a request may take. Default 10m.
	Deadline Duration `json:"deadline"`
}

// Operators holds the settings of the operators' interface.
type Operators struct {
	// BootstrapDigest is the hex SHA-256 of the bearer token that may confirm
	// the first configuration. Empty allows none.
	BootstrapDigest string `json:"bootstrap_digest"`
}

// Router holds the settings of a router.
type Router struct {
	// Policy of placement: "pull", or a baseline for comparisons, "push-fifo"
	// or "push-fair". Default "pull".
	Policy     string       `json:"policy"`
	ID         string       `json:"id"`
	DataCentre string       `json:"data_centre"`
	Listen     RouterListen `json:"listen"`
	Platform   Platform     `json:"platform"`
	// Seeds are peers' addresses of some routers, IP:port, which a starting
	// process asks when the platform does not answer.
	Seeds     []string     `json:"seeds,omitempty"`
	Queues    Queues       `json:"queues"`
	Limits    CallerLimits `json:"limits"`
	Operators Operators    `json:"operators"`
	Stop      Stop         `json:"stop"`
}

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
	// MinSlots is the smallest number to which the limit of a model engine
	// adapts; as many as Slots fixes the limit. Default 1.
	MinSlots int `json:"min_slots"`
	// FirstToken is the target of the time to the first token, for 95 in 100.
	// Default 970ms.
	FirstToken Duration `json:"first_token"`
	// TokenGap is the target of the time between tokens, for 95 in 100.
	// Default 50ms.
	TokenGap Duration `json:"token_gap"`
	// LookAhead is the number of requests pulled ahead of a free slot.
	// Default 1.
	LookAhead *int `json:"look_ahead,omitempty"`
	// PromptWeight is the cost of one uncached prompt token, in generated
	// tokens. Default 0.01.
	PromptWeight float64 `json:"prompt_weight"`
	// ResumeGrace is how long a run goes on after its link to the router was
	// lost, so that the router may resume its answer. Default 5s.
	ResumeGrace Duration `json:"resume_grace"`
	// LeaseTTL is the time after which the sidecar's hold on its slot lapses
	// unless it is renewed. Default 75s.
	LeaseTTL Duration `json:"lease_ttl"`
}

// Orders bounds what a sidecar orders its engine to do.
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
	// Seeds are peers' addresses of some routers, IP:port, which a starting
	// process asks when the platform does not answer.
	Seeds   []string `json:"seeds,omitempty"`
	Backend Backend  `json:"backend"`
	Orders  Orders   `json:"orders"`
	Stop    Stop     `json:"stop"`
}

// DefaultRouter returns a router's settings with every default filled in.
func DefaultRouter() Router {
	return Router{
		Policy:   "pull",
		Platform: defaultPlatform(),
		Queues:   Queues{PerTeam: 512, PerTeamBytes: 64 << 20, Total: 8192, TotalBytes: 128 << 20},
		Limits: CallerLimits{
			Body:          8 << 20,
			Headers:       64 << 10,
			HeaderTimeout: Duration(5 * time.Second),
			BodyTimeout:   Duration(30 * time.Second),
			Deadline:      Duration(10 * time.Minute),
		},
		Stop: Stop{Bound: Duration(30 * time.Second)},
	}
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
		Orders: Orders{ConcurrentLoads: 4, Timeout: Duration(5 * time.Minute)},
		Stop:   Stop{Bound: Duration(30 * time.Second)},
	}
}

func defaultPlatform() Platform {
	return Platform{Timeout: Duration(time.Second), InstancesEvery: Duration(time.Second)}
}

// Load reads the JSON file into the settings, which hold the defaults.
func Load(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return errors.Wrapf(dec.Decode(into), "settings %s", path)
}
