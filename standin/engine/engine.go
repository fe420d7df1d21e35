// Package engine is a stand-in for a model engine: it simulates continuous batching, caches prompt prefixes, streams
// responses that can be resumed and cancelled, reports load and cache events with a lag, and accepts orders.
package engine

import (
	"context"
	"io"
	"net/http"
	"time"

	"goldcrestport/standin/faults"
	"goldcrestport/standin/internal/reply"
	"goldcrestport/standin/runs"
	"goldcrestport/standin/slots"
)

const maxRequest = 8 << 20

// Config holds the settings of an engine.
type Config struct {
	PrefillRate   float64 // tokens per second
	Step          time.Duration
	BatchSlowdown float64
	Slots         int
	CacheBlocks   int
	LoadLag       time.Duration
	CacheEventLag time.Duration
	CheckFence    bool
	LoadTime      time.Duration
	KeepRuns      int
	Journal       io.Writer // receives a line for each start and end of a run; may be nil
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		PrefillRate: 20000, Step: 10 * time.Millisecond, BatchSlowdown: 0.02, Slots: 8, CacheBlocks: 4096,
		LoadLag: time.Second, CacheEventLag: time.Second, LoadTime: 200 * time.Millisecond, KeepRuns: 200000,
	}
}

// Server serves the engine's API over HTTP.
type Server struct {
	config  Config
	mux     *http.ServeMux
	pool    *slots.Pool
	cache   *cache
	streams *streams
	orders  *orders
	log     *runs.Log
	faults  *faults.Box[faults.Backend]
}

// New returns an idle engine. A prefill rate that isn't positive is replaced by the default.
func New(config Config) *Server {
	if !(config.PrefillRate > 0) {
		config.PrefillRate = DefaultConfig().PrefillRate
	}
	config.CacheBlocks = max(config.CacheBlocks, 0)
	s := &Server{
		config: config, mux: http.NewServeMux(), pool: slots.New(config.Slots, config.LoadLag),
		cache: newCache(config.CacheBlocks, config.CacheEventLag), streams: newStreams(),
		orders: newOrders(config.CheckFence, config.LoadTime), log: runs.NewLog(config.KeepRuns),
		faults: faults.NewBox[faults.Backend](),
	}
	s.log.Journal(config.Journal)
	s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) routes() {
	s.mux.HandleFunc("POST /v1/chat/completions", s.chat)
	s.mux.HandleFunc("GET /v1/streams/{id}", s.resume)
	s.mux.HandleFunc("DELETE /v1/streams/{id}", s.stop)
	s.mux.Handle("GET /load", s.pool)
	s.mux.Handle("GET /v1/cache/events", s.cache)
	s.mux.HandleFunc("POST /v1/orders", s.orders.post)
	s.mux.HandleFunc("GET /v1/orders", s.orders.get)
	s.mux.Handle("GET /admin/faults", s.faults)
	s.mux.Handle("PUT /admin/faults", s.faults)
	s.mux.HandleFunc("GET /admin/runs", s.log.ServeRuns)
	s.mux.HandleFunc("GET /admin/stats", s.log.ServeStats)
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	body, status := reply.Body(w, r, maxRequest)
	if status != 0 {
		reply.Error(w, status, "the body can't be read")
		return
	}
	q, err := parseRequest(r.Header.Get("X-Request-Id"), body)
	if err != nil {
		reply.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	if s.faults.Chance(s.faults.Get().Fail) {
		s.log.Start(r).End(runs.Failed)
		reply.Error(w, http.StatusInternalServerError, "fault")
		return
	}
	g := s.streams.add(q)
	resumable := r.Header.Get("X-Resumable") == "true"
	if !resumable {
		defer context.AfterFunc(r.Context(), g.cancel)()
	}
	go s.generate(g, r)
	if !s.send(w, r, g, 0) && !resumable {
		g.cancel()
	}
}

// send writes a generation's output from an offset on. It returns false if the client didn't receive all of it.
func (s *Server) send(w http.ResponseWriter, r *http.Request, g *generation, offset int64) bool {
	w.Header().Set("X-Stream-Id", g.id)
	w.Header().Set("Content-Type", "application/json")
	if g.request.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush() // an error shows at the first write to the broken connection
	}
	out := faults.NewCutter(w, s.faults.Get().CutAfterBytes)
	for {
		body, ended, more := g.outputFrom(offset)
		if len(body) > 0 && !out.Send(body) {
			return false
		}
		offset += int64(len(body))
		if ended {
			return s.endResponse(w, g)
		}
		select {
		case <-more:
		case <-r.Context().Done():
			return false
		}
	}
}

// endResponse ends a response. It aborts the connection of a cancelled one, so that no client takes it for complete.
func (s *Server) endResponse(w http.ResponseWriter, g *generation) bool {
	if !g.isComplete() {
		reply.Abort(w)
		return false
	}
	return true
}

func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	g := s.streams.find(r.PathValue("id"))
	from, _, err := reply.Uint(r, "from")
	switch {
	case g == nil:
		reply.Error(w, http.StatusNotFound, "no such stream")
	case err != nil:
		reply.Error(w, http.StatusBadRequest, "from must be a whole number")
	default:
		s.send(w, r, g, int64(from))
	}
}

func (s *Server) stop(w http.ResponseWriter, r *http.Request) {
	g := s.streams.find(r.PathValue("id"))
	if g == nil {
		reply.Error(w, http.StatusNotFound, "no such stream")
		return
	}
	g.cancel()
	reply.JSON(w, http.StatusOK, struct{}{})
}
