package soak

import (
	"encoding/json"
	"time"
)

// Kind is a kind of request; its route has it as prefix.
type Kind string

// Kinds of requests.
const (
	// Stream may run once, Resumable may go on at another server.
	Stream    Kind = "stream"
	Resumable Kind = "resumable"
	// Safe is idempotent, Once is not.
	Safe Kind = "safe"
	Once Kind = "once"
	// Moved is not idempotent, and its route moves between the plain services.
	Moved Kind = "moved"
)

// kinds lists all kinds of requests.
var kinds = []Kind{Stream, Resumable, Safe, Once, Moved}

// isStream reports whether the answer is a stream.
func (k Kind) isStream() bool { return k == Stream || k == Resumable }

// mayGoTo reports whether the configuration may send requests of the kind to the service.
func (k Kind) mayGoTo(service string) bool {
	switch service {
	case engineService:
		return k.isStream()
	case plainService:
		return !k.isStream()
	default:
		return k == Moved
	}
}

// repeatable reports whether a request may run again.
func (k Kind) repeatable() bool { return k == Resumable || k == Safe }

// timeout is the longest time that the configuration lets a caller wait.
func (k Kind) timeout() time.Duration {
	if k.isStream() {
		return 6 * time.Second
	}
	return 1500 * time.Millisecond
}

// path is where requests of the kind go.
func (k Kind) path() string { return "/" + string(k) + "/x" }

// Services of the fleet.
const (
	engineService = "counsel-llm"
	plainService  = "ledger-app"
	otherService  = "pledge-app"
)

// host is the callers' name of the fleet.
const host = "soak.example"

// Bounds that the users' sheets give for such a fleet.
const (
	configApply = 2 * time.Second
	revoke      = 5 * time.Second
	drain       = 2 * time.Second
	contact     = 3 * time.Second
	grace       = 8 * time.Second
	downgrade   = 250 * time.Millisecond
	lossSlack   = 200 * time.Millisecond
	lateSlack   = 500 * time.Millisecond
	repeatSpan  = 10 * time.Second
	repeatRatio = 0.2
	repeatSlack = 20
	// evacuation is the time after which an evacuated data centre gets nothing.
	evacuation = 5 * time.Second
	// A cold engine handles coldRate requests a second; in any second it may get
	// coldOverrun times that and coldSlack besides.
	coldTime    = 2 * time.Second
	coldRate    = 4.0
	coldOverrun = 1.5
	coldSlack   = 5.0
)

// The operators' document, as the users' pages spell it.
type (
	document struct {
		Version  int            `json:"version"`
		Routes   []documentLine `json:"routes"`
		Services []serviceLine  `json:"services"`
		Tenants  []teamLine     `json:"tenants"`
		Limits   limits         `json:"limits"`
	}
	documentLine struct {
		Name        string `json:"name"`
		Host        string `json:"host"`
		PathPrefix  string `json:"pathPrefix"`
		RouteKind   string `json:"routeKind"`
		TimeoutMs   int64  `json:"timeoutMs"`
		SloMs       int64  `json:"sloMs"`
		MaxAttempts int    `json:"maxAttempts"`
		Service     string `json:"service"`
		Resumable   bool   `json:"resumable,omitempty"`
	}
	serviceLine struct {
		Name       string  `json:"name"`
		ColdStartS float64 `json:"coldStartS"`
		ColdPerS   float64 `json:"coldPerS"`
		Engine     *engine `json:"engine,omitempty"`
	}
	engine struct {
		Slots  int `json:"slots"`
		Stride int `json:"stride"`
	}
	teamLine struct {
		Name    string   `json:"name"`
		APIKeys []string `json:"apiKeys"`
	}
	limits struct {
		MaxBodyBytes  int `json:"maxBodyBytes"`
		IdleTimeoutMs int `json:"idleTimeoutMs"`
	}
)

// configuration is what the operators change.
type configuration struct {
	version int
	// moved is the service of the moving route.
	moved string
	// keys holds each team's key.
	keys map[string]string
}

// bytes returns the operators' document.
func (c configuration) bytes() ([]byte, error) {
	d := document{Version: c.version, Limits: limits{MaxBodyBytes: 1 << 20, IdleTimeoutMs: 10_000}}
	for _, k := range kinds {
		d.Routes = append(d.Routes, c.line(k))
	}
	d.Services = []serviceLine{
		{Name: engineService, ColdStartS: coldTime.Seconds(), ColdPerS: coldRate, Engine: &engine{Slots: engineSlots, Stride: 5}}, {Name: plainService}, {Name: otherService},
	}
	for team, key := range c.keys {
		d.Tenants = append(d.Tenants, teamLine{Name: team, APIKeys: []string{key}})
	}
	return json.Marshal(d)
}

func (c configuration) line(k Kind) documentLine {
	l := documentLine{
		Name: string(k), Host: host, PathPrefix: "/" + string(k) + "/", TimeoutMs: k.timeout().Milliseconds(), SloMs: 300, MaxAttempts: 2,
		RouteKind: "non_idempotent", Service: plainService, Resumable: k == Resumable,
	}
	switch {
	case k.isStream():
		l.RouteKind, l.Service = "streaming", engineService
	case k == Safe:
		l.RouteKind = "idempotent"
	case k == Moved:
		l.Service = c.moved
	}
	return l
}
