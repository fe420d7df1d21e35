// Package platform is a stand-in for the platform: a key-value service with compare-and-swap, leases and watches,
// and a list of instances that lags. It enforces rate limits, counts calls and injects faults.
package platform

import (
	"errors"
	"net/http"
	"time"

	"goldcrestport/standin/faults"
	"goldcrestport/standin/internal/reply"
)

const (
	maxValue     = 1 << 20
	defaultWatch = 30 * time.Second
	maxWatch     = 5 * time.Minute
	maxTTL       = 24 * time.Hour
)

// Config holds the settings of a platform.
type Config struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	ListLag         time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{WritesPerSecond: 500, ReadsPerSecond: 2000, ListLag: time.Second}
}

// Faults selects the faults that a platform injects.
type Faults struct {
	// Down closes the connection of every call without a response, including watches in progress.
	Down bool `json:"down"`
	// LatencyMS delays each call before it takes effect.
	LatencyMS int64 `json:"latency_ms"`
	// LoseAnswers is the fraction of calls that take effect but get no response.
	LoseAnswers float64 `json:"lose_answers"`
	// Seed seeds the random choice of the calls that lose their response.
	Seed uint64 `json:"seed"`
}

// Check returns an error if a setting is out of range.
func (f Faults) Check() error {
	if !faults.Fraction(f.LoseAnswers) || f.LatencyMS < 0 {
		return errors.New("lose_answers must lie in 0..1, latency_ms must not be negative")
	}
	return nil
}

// RandomSeed implements faults.Settings.
func (f Faults) RandomSeed() uint64 { return f.Seed }

// Server serves the platform's API over HTTP.
type Server struct {
	mux       *http.ServeMux
	store     *store
	meter     *meter
	instances *instances
	faults    *faults.Box[Faults]
}

// New returns an empty platform.
func New(config Config) *Server {
	s := &Server{
		mux: http.NewServeMux(), store: newStore(), meter: newMeter(config.ReadsPerSecond, config.WritesPerSecond),
		instances: newInstances(config.ListLag), faults: faults.NewBox[Faults](),
	}
	s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) routes() {
	s.handle("GET /v1/kv", read, s.list)
	s.handle("GET /v1/kv/{key...}", read, s.get)
	s.handle("PUT /v1/kv/{key...}", write, s.put)
	s.handle("DELETE /v1/kv/{key...}", write, s.remove)
	s.handle("GET /v1/watch", read, s.watch)
	s.handle("POST /v1/leases", write, s.grant)
	s.handle("POST /v1/leases/{id}", write, s.keepAlive)
	s.handle("DELETE /v1/leases/{id}", write, s.revoke)
	s.handle("GET /v1/instances", read, s.listInstances)
	s.handle("PUT /v1/instances/{id}", unmetered, s.putInstance)
	s.handle("DELETE /v1/instances/{id}", unmetered, s.removeInstance)
	s.mux.Handle("GET /admin/faults", s.faults)
	s.mux.Handle("PUT /admin/faults", s.faults)
	s.mux.HandleFunc("GET /admin/counters", func(w http.ResponseWriter, _ *http.Request) {
		counters := s.meter.counters()
		counters.WatchesWaiting = s.store.watcherCount()
		reply.JSON(w, http.StatusOK, counters)
	})
}

// callKind determines how a call is counted and which faults affect it.
type callKind int

const (
	read      callKind = iota
	write              // counted as a write
	unmetered          // not counted or rate limited; only the fault "down" affects it
)

// answer is the response to a call; status 0 closes the connection without a response.
type answer struct {
	status int
	body   any
}

// handle registers a handler that is subject to the rate limits and the injected faults.
func (s *Server) handle(pattern string, k callKind, handle func(*http.Request, []byte) answer) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		fault := s.faults.Get()
		if fault.Down {
			s.meter.countDropped()
			reply.Abort(w)
			return
		}
		if k != unmetered && !s.meter.admit(k == write, r.Header.Get("X-Caller")) {
			w.Header().Set("Retry-After", "1")
			reply.Error(w, http.StatusTooManyRequests, "over the rate")
			return
		}
		body, status := reply.Body(w, r, maxValue)
		if status != 0 {
			reply.Error(w, status, "the body can't be read")
			return
		}
		if k != unmetered {
			time.Sleep(time.Duration(fault.LatencyMS) * time.Millisecond)
		}
		out := handle(r, body)
		if out.status == 0 || k != unmetered && s.faults.Chance(fault.LoseAnswers) {
			reply.Abort(w)
			return
		}
		reply.JSON(w, out.status, out.body)
	})
}
