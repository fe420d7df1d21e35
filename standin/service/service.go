// Package service is a stand-in for a plain service: it responds to any method and path after a delay, with a limited
// number of slots, and records its runs.
package service

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"goldcrestport/standin/faults"
	"goldcrestport/standin/runs"
	"goldcrestport/standin/slots"
)

// Config holds the settings of a service.
type Config struct {
	Slots    int
	Time     time.Duration
	Jitter   time.Duration // mean of the exponentially distributed part of the service time
	LoadLag  time.Duration
	KeepRuns int
	Journal  io.Writer // receives a line for each start and end of a run; may be nil
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{Slots: 4, Time: 20 * time.Millisecond, Jitter: 5 * time.Millisecond, LoadLag: time.Second, KeepRuns: 200000}
}

// Server serves requests as a plain service.
type Server struct {
	config Config
	mux    *http.ServeMux
	pool   *slots.Pool
	log    *runs.Log
	faults *faults.Box[faults.Backend]
}

// New returns an idle service.
func New(config Config) *Server {
	s := &Server{
		config: config, mux: http.NewServeMux(), pool: slots.New(config.Slots, config.LoadLag),
		log: runs.NewLog(config.KeepRuns), faults: faults.NewBox[faults.Backend](),
	}
	s.log.Journal(config.Journal)
	s.mux.Handle("GET /load", s.pool)
	s.mux.HandleFunc("GET /admin/runs", s.log.ServeRuns)
	s.mux.HandleFunc("GET /admin/stats", s.log.ServeStats)
	s.mux.Handle("GET /admin/faults", s.faults)
	s.mux.Handle("PUT /admin/faults", s.faults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/admin/") || r.URL.Path == "/load" && r.Method == http.MethodGet {
		s.mux.ServeHTTP(w, r)
		return
	}
	sum := sha256.New()
	if _, err := io.Copy(sum, r.Body); err != nil {
		return // the client disconnected before the request was complete
	}
	if s.pool.Acquire(r.Context()) != nil {
		return // the client disconnected while queued: nothing ran
	}
	s.run(w, r, hex.EncodeToString(sum.Sum(nil)))
}

// run occupies a slot for the service time. It runs to its end even if the client disconnects.
func (s *Server) run(w http.ResponseWriter, r *http.Request, bodySum string) {
	run, fault := s.log.Start(r), s.faults.Get()
	time.Sleep(s.config.Time + time.Duration(rand.ExpFloat64()*float64(s.config.Jitter)) +
		time.Duration(fault.StallMS)*time.Millisecond)
	run.AddTokens(1)
	status, state, body := http.StatusOK, runs.Done, responseBody(r, run.Number(), bodySum)
	if s.faults.Chance(fault.Fail) {
		status, state, body = http.StatusInternalServerError, runs.Failed, []byte("{\"error\":\"fault\"}\n")
	}
	_, _ = run.Write(body)
	run.End(state)
	s.pool.Release()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	faults.NewCutter(w, fault.CutAfterBytes).Send(body)
}

func responseBody(r *http.Request, number int64, bodySum string) []byte {
	body, _ := json.Marshal(struct {
		RequestID string `json:"request_id"`
		Method    string `json:"method"`
		Path      string `json:"path"`
		Body      string `json:"body_sha256"`
		Run       int64  `json:"run"`
	}{r.Header.Get("X-Request-Id"), r.Method, r.URL.Path, bodySum, number}) // strings and integers always encode
	return append(body, '\n')
}
