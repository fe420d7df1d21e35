// Package routing defines the configuration of routers that call backend servers
// directly: routes by host and path prefix, services, teams' keys and limits.
//
// A Config is the configuration that operators accepted; a Table is an index of
// it that finds the route and the team of a request. Both are immutable once built.
package routing

import (
	"slices"
	"time"
)

// Kind determines how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests run at most once per attempt of a caller.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once with the effect of one run.
	Idempotent
	// Streaming requests are answered with an event stream. They are treated as
	// non-idempotent unless the route is Resumable.
	Streaming
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}

// Target is one service of a weighted traffic split.
type Target struct {
	Service string
	// Weight is relative to the other targets and positive.
	Weight float64
}

// Route defines the targets of the requests below a path prefix of a host.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix, with a leading and a trailing slash.
	Prefix string
	Kind   Kind
	// Resumable streams may be continued by another backend server after the
	// last event that the caller received.
	Resumable bool
	// Timeout limits the time that a caller waits.
	Timeout time.Duration
	// Objective is the latency objective of an answer (for a stream, of its
	// first event); an answer within it has the highest value.
	Objective time.Duration
	// Pause is the maximum time between two events of a stream that counts as
	// on time.
	Pause time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	Targets  []Target
	// Attempts is the maximum number of backend servers to which one attempt of
	// a caller may be sent.
	Attempts int
	// Public routes require no key.
	Public bool
	// Homes are the regions in which a request may be handled; empty for any.
	Homes []string
	// Prompts reports whether requests describe the parts of their prompt, so
	// that a backend server with a cached prefix is preferred.
	Prompts bool
}

// MayRepeat reports whether a request may run again if nothing of its answer has
// been forwarded yet.
func (r *Route) MayRepeat() bool { return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable }

// Engine describes the model engines of a service; zero for plain services.
type Engine struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// Memory is the capacity for prompts and generated text, in tokens.
	Memory int
	// EventTokens is the number of tokens in one event of a stream; 0: unknown.
	EventTokens int
	// TokenBytes is the memory of one prompt token in bytes, and LinkMbps the
	// bandwidth in Mbit/s for transferring such memory between two servers; 0:
	// transfer is not supported.
	TokenBytes float64
	LinkMbps   float64
}

// FetchRate returns the number of prompt tokens per millisecond whose memory one
// server can fetch from another; 0 if transfer is not supported.
func (e Engine) FetchRate() float64 {
	if e.TokenBytes <= 0 || e.LinkMbps <= 0 {
		return 0
	}
	const bitsPerMillisecond = 1000 // per Mbit/s
	return e.LinkMbps * bitsPerMillisecond / (8 * e.TokenBytes)
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// HealthPath is the path for health checks.
	HealthPath string
	// Connections is the number of connections that one backend server accepts
	// from all routers together.
	Connections int
	Engine      Engine
	// ColdFor is the warm-up time of a backend server after its start, and
	// ColdRate the requests per second that it can handle meanwhile; 0: no limit.
	ColdFor  time.Duration
	ColdRate float64
}

// Limits contains the limits on callers' requests, and the fleet's throughput.
type Limits struct {
	// HeaderBytes and BodyBytes limit the size of a request.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout limits the time for receiving a request's headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	// TokensPerSecond is the total throughput of all engines; a prompt token
	// counts once, a generated token twice. 0: unknown.
	TokensPerSecond float64
}

// Team is a group of callers that shares capacity and is authenticated by its
// keys.
type Team struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route; negative if the team has
	// none.
	Priority int
	// Homes are the regions in which the team's requests may be handled; empty
	// for any. The route's Homes apply as well.
	Homes []string
}

// Config is one accepted version of the configuration.
type Config struct {
	// Version increases with each change, not necessarily by one.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	Teams    []Team
}

// ShortestObjective returns the shortest objective of the routes to the service,
// or 0 if none has one.
func (c *Config) ShortestObjective(service string) time.Duration {
	var shortest time.Duration
	for _, route := range c.Routes {
		isTarget := slices.ContainsFunc(route.Targets, func(t Target) bool { return t.Service == service })
		if isTarget && route.Objective > 0 && (shortest == 0 || route.Objective < shortest) {
			shortest = route.Objective
		}
	}
	return shortest
}
