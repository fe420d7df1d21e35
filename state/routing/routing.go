// Package routing holds the configuration of routers that call backend servers
// themselves: routes by host and path prefix, services, teams' keys and limits.
//
// A Config is what operators accepted; a Table answers from it which route and
// which team a request belongs to. Both are immutable once built.
package routing

import (
	"slices"
	"time"
)

// Kind says how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once with the effect of one run.
	Idempotent
	// Streaming requests are answered by a series of events. They count as
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

// Target is one service of a route's split with its weight.
type Target struct {
	Service string
	// Weight relative to the other targets; positive.
	Weight float64
}

// Route says where the requests below a path prefix of a host go.
type Route struct {
	Name string
	Host string
	// Prefix of the path, with a slash at its begin and end.
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another backend server after the last
	// event that the caller has.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time in which an answer (of a stream: its first event)
	// is worth most.
	Objective time.Duration
	// Pause is the longest time between two events of a stream that is still
	// on time.
	Pause time.Duration
	// Priority of the requests; 0 goes first.
	Priority int
	Targets  []Target
	// Attempts is the greatest number of backend servers that one attempt of a
	// caller may reach.
	Attempts int
	// Public routes need no key.
	Public bool
	// Homes are the regions in which a request may be handled; empty for any.
	Homes []string
	// Prompts tells that requests describe the parts of their prompt, so that
	// a backend server that holds a part is preferred.
	Prompts bool
}

// MayRepeat reports whether a request may run again before anything of its
// answer was passed on.
func (r *Route) MayRepeat() bool { return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable }

// Engine describes the model engines of a service; zero for plain services.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Memory for prompts and generated text, in tokens.
	Memory int
	// EventTokens is the tokens in one event of a stream; 0: unknown.
	EventTokens int
	// TokenBytes is the memory of one token of a prompt, and LinkMbps the
	// megabits a second at which two servers pass such memory on; 0: they
	// cannot.
	TokenBytes float64
	LinkMbps   float64
}

// FetchRate is the prompt tokens whose memory one server takes from another in
// a millisecond; 0: it cannot.
func (e Engine) FetchRate() float64 {
	if e.TokenBytes <= 0 || e.LinkMbps <= 0 {
		return 0
	}
	const bitsPerMillisecond = 1000 // of one megabit a second
	return e.LinkMbps * bitsPerMillisecond / (8 * e.TokenBytes)
}

// Service is a set of backend servers that serve the same requests.
type Service struct {
	Name string
	// HealthPath answers health checks.
	HealthPath string
	// Connections that one backend server takes from all routers together.
	Connections int
	Engine      Engine
	// ColdFor is how long one is cold after it started, and ColdRate the requests
	// a second that it bears meanwhile; 0: any number.
	ColdFor  time.Duration
	ColdRate float64
}

// Limits bound what callers send, and tell the fleet's throughput.
type Limits struct {
	// HeaderBytes and BodyBytes bound the size of a request.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout bounds the time in which a request's headers arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is the time that a connection without requests is kept.
	IdleTimeout time.Duration
	// TokensPerSecond is what all engines produce together; a token read
	// counts once, a generated one twice. 0: unknown.
	TokensPerSecond float64
}

// Team shares capacity and is known by its keys.
type Team struct {
	Name string
	Keys []string
	// Priority of the team's requests; it goes before the route's. Negative:
	// the team has none.
	Priority int
	// Homes are the regions in which the team's requests may be handled; empty
	// for any. A route's bind besides.
	Homes []string
}

// Config is one accepted version of the configuration.
type Config struct {
	// Version rises with each change, in uneven steps.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	Teams    []Team
}

// ShortestObjective is the least objective of the routes to the service, 0 when
// none has one.
func (c *Config) ShortestObjective(service string) time.Duration {
	var shortest time.Duration
	for _, route := range c.Routes {
		leads := slices.ContainsFunc(route.Targets, func(t Target) bool { return t.Service == service })
		if leads && route.Objective > 0 && (shortest == 0 || route.Objective < shortest) {
			shortest = route.Objective
		}
	}
	return shortest
}
