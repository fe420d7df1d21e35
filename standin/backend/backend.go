// Package backend is a stand-in for a backend server of the users' platform,
// written from the users' documentation: a model engine that streams events, or a
// plain service. It reports the start and the end of every run to a journal, and
// injects the faults that the documentation describes.
package backend

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"goldcrestport/standin/internal/reply"
)

// Request and response headers.
const (
	headerID             = "Attempt-Id"
	headerTeam           = "Tenant"
	headerExpectedServer = "Expect-Replica"
	headerTimeLeft       = "Deadline-Ms"
	headerTokens         = "Token-Count"
	headerLastEvent      = "Last-Event-Id"
	headerPromptPrefix   = "Prompt-Prefix"
	headerNotRun         = "Not-Executed"
	headerStamp          = "Replica-Stamp"
	headerLoad           = "Replica-Load"
)

// Config holds the settings of a backend server.
type Config struct {
	// ID identifies the server. Born is the start time of its process in Unix
	// milliseconds, which distinguishes its incarnations.
	ID      string
	Born    int64
	Service string
	// Version is the version of the server's software, which its events name. It may be empty.
	Version string
	// Slots is the maximum number of requests that run concurrently.
	Slots int
	// Time is the duration of a plain request, and the interval between two
	// events of a stream.
	Time time.Duration
	// Engine makes the server respond with event streams.
	Engine bool
	// Crash terminates the server. It is called with the body of the request that
	// crashes it, or with PartCrash, and may be called again before the server has terminated. If it is
	// nil, such a request is handled like any other.
	Crash func(body string)
}

// Fault is a fault injected into responses.
type Fault string

// Faults of responses.
const (
	// Sound means that no fault is injected.
	Sound Fault = ""
	// Fails responds with status 500 after the run.
	Fails Fault = "fails"
	// Sheds rejects every request immediately.
	Sheds Fault = "sheds"
	// Hangs never responds; the run ends when the client disconnects.
	Hangs Fault = "hangs"
	// Loses runs the request and closes the connection without a response.
	Loses Fault = "loses"
	// Breaks truncates the response.
	Breaks Fault = "breaks"
	// Doubles sends a second response after the first.
	Doubles Fault = "doubles"
	// Endless sends bytes that are no answer until the client closes the connection.
	Endless Fault = "endless"
)

// Run is one run of a request.
type Run struct {
	// ID is the request ID that the caller sent. Team is the team that the router sent.
	ID, Team string
	// Server and Service are where it ran. Born is the start time of the server's process.
	Server, Service string
	Born            int64
	// Version is that of the server's software.
	Version string
	Path    string
	Began   time.Time
	// Ended is the zero time while the run is in progress.
	Ended time.Time
	// Whole is set if the run completed.
	Whole bool
	// ResumedAfter is the number of the event after which the stream was resumed.
	ResumedAfter int
	// TimeLeft is the time until the caller's deadline, as sent by the router.
	TimeLeft time.Duration
}

// Journal receives the events of a server.
type Journal interface {
	// Began is called at the start of a run, before any part of its response is sent.
	Began(Run)
	// Ended is called at the end of the run.
	Ended(Run)
	// Arrived is called for every request, including rejected ones.
	Arrived(Arrival)
	// Said is called when a response reports the server's state.
	Said(Word)
}

// Arrival records the arrival of a request at a server.
type Arrival struct {
	Service, Server string
	Born            int64
	// ID is the request ID that the caller sent.
	ID string
	At time.Time
	// Misdirected is set if the request was addressed to another server and therefore rejected.
	Misdirected bool
}

// Server is one backend server.
type Server struct {
	cfg     Config
	journal Journal

	mu      sync.Mutex
	running int
	fault   Fault
	state   Says
	shapes  bool
	// closing is set if all streams end when their connection closes.
	closing bool
}

// New returns a server that injects no fault.
func New(cfg Config, journal Journal) *Server { return &Server{cfg: cfg, journal: journal} }

// SetFault replaces the fault injected into later responses.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetShapes makes later responses vary by request in their framing (chunked, Content-Length or neither)
// and in how they are truncated. By default, net/http chooses the framing.
func (s *Server) SetShapes(shapes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shapes = shapes
}

// SetUntilClose makes later streams end when their connection closes, with no other mark of their end.
func (s *Server) SetUntilClose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
}

// endsByClose reports whether streams end when their connection closes.
func (s *Server) endsByClose() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// hasShapes reports whether responses vary in their framing.
func (s *Server) hasShapes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shapes
}

// maxBody is the maximum size of a request body, in bytes.
const maxBody = 4 << 20

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	want := r.Header.Get(headerExpectedServer)
	misdirected := want != "" && want != s.cfg.ID
	s.journal.Arrived(Arrival{Service: s.cfg.Service, Server: s.cfg.ID, Born: s.cfg.Born, ID: id, At: time.Now(), Misdirected: misdirected})
	state := s.reportState(w, id)
	if misdirected {
		s.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		s.refuse(w, http.StatusBadRequest)
		return
	}
	fault, free := s.acquire()
	if fault == Sheds {
		s.release()
	}
	if !free || fault == Sheds {
		s.rejectOverloaded(w, id, state.RetryAfter)
		return
	}
	defer s.release()
	// net/http detects that the client disconnected only once the body has been read.
	body, status := reply.Body(w, r, maxBody)
	if status != 0 {
		s.refuse(w, status)
		return
	}
	run := s.newRun(r)
	s.journal.Began(run)
	if way, cause := crashOf(r, body); way != "" && s.cfg.Crash != nil {
		run.Whole = s.crash(w, r, run, way, cause)
	} else {
		run.Whole = s.answer(w, r, run, fault)
	}
	run.Ended = time.Now()
	s.journal.Ended(run)
}

// refuse responds that the request was not run.
func (s *Server) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotRun, "1")
	reply.Error(w, status, "not run")
}

// acquire acquires a slot if one is free, and returns the fault to inject.
func (s *Server) acquire() (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.cfg.Slots {
		return Sound, false
	}
	s.running++
	return s.fault, true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", s.running, s.cfg.Slots)
}

func (s *Server) newRun(r *http.Request) Run {
	// Missing headers count as 0.
	after, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	timeLeft, _ := strconv.ParseInt(r.Header.Get(headerTimeLeft), 10, 64)
	return Run{
		ID: r.Header.Get(headerID), Team: r.Header.Get(headerTeam), Server: s.cfg.ID, Born: s.cfg.Born, Service: s.cfg.Service, Version: s.cfg.Version, Path: r.URL.Path,
		Began: time.Now(), ResumedAfter: after, TimeLeft: time.Duration(timeLeft) * time.Millisecond,
	}
}
