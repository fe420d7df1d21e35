// Package platform is a stand-in for the platform: a key-value service with compare-and-swap, leases and watches,
// and a lagging list of instances. It enforces rates, counts calls and shows faults.
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

// DefaultConfig returns the usual settings.
func DefaultConfig() Config {
	return Config{WritesPerSecond: 500, ReadsPerSecond: 2000, ListLag: time.Second}
}

// Faults is the set of faults of a platform.
type Faults struct {
	// Down closes the connection of every call without an answer; watches that wait are cut too.
	Down bool `json:"down"`
	// LatencyMS delays each call before it takes effect.
	LatencyMS int64 `json:"latency_ms"`
	// LoseAnswers is the fraction of calls that take effect without an answer.
	LoseAnswers float64 `json:"lose_answers"`
	// Seed starts the chance.
	Seed uint64 `json:"seed"`
}

// Check tells whether the settings make sense.
func (f Faults) Check() error {
	if !faults.Fraction(f.LoseAnswers) || f.LatencyMS < 0 {
		return errors.New("lose_answers must lie in 0..1, latency_ms must not be negative")
	}
	return nil
}

// RandomSeed returns the seed.
func (f Faults) RandomSeed() uint64 { return f.Seed }

// Server is the stand-in.
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

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) routes() {
	s.call("GET /v1/kv", read, s.list)
	s.call("GET /v1/kv/{key...}", read, s.get)
	s.call("PUT /v1/kv/{key...}", write, s.put)
	s.call("DELETE /v1/kv/{key...}", write, s.remove)
	s.call("GET /v1/watch", read, s.watch)
	s.call("POST /v1/leases", write, s.grant)
	s.call("POST /v1/leases/{id}", write, s.keepAlive)
	s.call("DELETE /v1/leases/{id}", write, s.revoke)
	s.call("GET /v1/instances", read, s.listInstances)
	s.call("PUT /v1/instances/{id}", environment, s.putInstance)
	s.call("DELETE /v1/instances/{id}", environment, s.removeInstance)
	s.mux.Handle("GET /admin/faults", s.faults)
	s.mux.Handle("PUT /admin/faults", s.faults)
	s.mux.HandleFunc("GET /admin/counters", func(w http.ResponseWriter, _ *http.Request) {
		counters := s.meter.counters()
		counters.WatchesWaiting = s.store.waiting()
		reply.JSON(w, http.StatusOK, counters)
	})
}

// kind is how a call counts.
type kind int

const (
	read        kind = iota
	write            // counted as a write
	environment      // not counted, and only "down" touches it
)

// answer is what a call is answered with; status 0 closes the connection.
type answer struct {
	status int
	body   any
}

// call registers a handler behind the rates and the faults.
func (s *Server) call(pattern string, k kind, handle func(*http.Request, []byte) answer) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		fault := s.faults.Get()
		if fault.Down {
			s.meter.dropped()
			reply.Abort(w)
			return
		}
		if k != environment && !s.meter.admit(k == write, r.Header.Get("X-Caller")) {
			w.Header().Set("Retry-After", "1")
			reply.Error(w, http.StatusTooManyRequests, "over the rate")
			return
		}
		body, status := reply.Body(w, r, maxValue)
		if status != 0 {
			reply.Error(w, status, "the body can't be read")
			return
		}
		if k != environment {
			time.Sleep(time.Duration(fault.LatencyMS) * time.Millisecond)
		}
		out := handle(r, body)
		if out.status == 0 || k != environment && s.faults.Chance(fault.LoseAnswers) {
			reply.Abort(w)
			return
		}
		reply.JSON(w, out.status, out.body)
	})
}
