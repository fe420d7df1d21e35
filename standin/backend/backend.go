// Package backend is a stand-in for a backend server of the users' platform,
// written from the users' pages: a model engine that streams events, or a plain
// service. It tells every run that it began and how the run ended, and it
// shows the faults that the pages name.
package backend

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"goldcrestport/standin/internal/reply"
)

// Headers of requests and answers.
const (
	headerID     = "Attempt-Id"
	headerTeam   = "Tenant"
	headerServer = "Expect-Replica"
	headerLeft   = "Deadline-Ms"
	headerTokens = "Token-Count"
	headerLast   = "Last-Event-Id"
	headerNotRun = "Not-Executed"
	headerMark   = "Replica-Stamp"
	headerLoad   = "Replica-Load"
)

// Config holds what a backend server is.
type Config struct {
	// ID names the server, and Born this process of it: the Unix millisecond of its
	// start.
	ID      string
	Born    int64
	Service string
	// Slots is the number of requests that run at once.
	Slots int
	// Time is how long a plain request takes, and the pause between two
	// events of a stream.
	Time time.Duration
	// Engine tells that answers are streams.
	Engine bool
	// Crash ends the server; it is called with the body of the request that
	// crashes it, and may be called again before the server is gone. Without it
	// such a request is like any other.
	Crash func(body string)
}

// Fault is what goes wrong with answers.
type Fault string

// Faults of answers.
const (
	// Sound is a server without a fault.
	Sound Fault = ""
	// Fails answers 500 after the run.
	Fails Fault = "fails"
	// Sheds refuses every request at once.
	Sheds Fault = "sheds"
	// Hangs never answers; the run ends with its connection.
	Hangs Fault = "hangs"
	// Loses runs the request and closes the connection without an answer.
	Loses Fault = "loses"
	// Breaks ends the answer in its middle.
	Breaks Fault = "breaks"
	// Doubles sends a second answer after the first.
	Doubles Fault = "doubles"
)

// Run is one run of a request.
type Run struct {
	// ID is the caller's id of the request, Team the one that the router named.
	ID, Team string
	// Server and Service are where it ran, Born the server's process.
	Server, Service string
	Born            int64
	Path            string
	Began           time.Time
	// Ended is the zero time while it runs.
	Ended time.Time
	// Whole tells that it ran to its end.
	Whole bool
	// ResumedAfter is the event after which a stream went on.
	ResumedAfter int
	// TimeLeft is what the router said that the caller still waits.
	TimeLeft time.Duration
}

// Journal takes runs.
type Journal interface {
	// Began is told of a run before any of its answer is sent.
	Began(Run)
	// Ended is told of the same run at its end.
	Ended(Run)
	// Arrived is told of every request, also of one that is refused.
	Arrived(Arrival)
	// Said is told what an answer says of the server.
	Said(Word)
}

// Arrival is a request's arrival at a server.
type Arrival struct {
	Service, Server string
	Born            int64
	// ID is the caller's id of the request.
	ID string
	At time.Time
	// Misdirected tells that it was for another server, and was refused for that.
	Misdirected bool
}

// Server is one backend server.
type Server struct {
	cfg     Config
	journal Journal

	mu      sync.Mutex
	running int
	fault   Fault
	says    Says
	shapes  bool
}

// New returns a sound server.
func New(cfg Config, journal Journal) *Server { return &Server{cfg: cfg, journal: journal} }

// SetFault replaces the fault of later answers.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetShapes lets later answers come in chunks, with a length or with neither, and break off in
// every way, by their requests. Before, all come as net/http frames them.
func (s *Server) SetShapes(shapes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shapes = shapes
}

// hasShapes reports whether answers come in every framing.
func (s *Server) hasShapes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shapes
}

// maxBody bounds a request's body, in bytes.
const maxBody = 4 << 20

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	want := r.Header.Get(headerServer)
	isOther := want != "" && want != s.cfg.ID
	s.journal.Arrived(Arrival{Service: s.cfg.Service, Server: s.cfg.ID, Born: s.cfg.Born, ID: id, At: time.Now(), Misdirected: isOther})
	says := s.announce(w, id)
	if isOther {
		s.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		s.refuse(w, http.StatusBadRequest)
		return
	}
	fault, free := s.take()
	if fault == Sheds {
		s.release()
	}
	if !free || fault == Sheds {
		s.turnAway(w, id, says.RetryAfter)
		return
	}
	defer s.release()
	// A connection's end is noticed only once the body has been read.
	body, status := reply.Body(w, r, maxBody)
	if status != 0 {
		s.refuse(w, status)
		return
	}
	run := s.begin(r)
	s.journal.Began(run)
	if way := crashWay(body); way != "" && s.cfg.Crash != nil {
		run.Whole = s.crash(w, r, run, way, string(body))
	} else {
		run.Whole = s.answer(w, r, run, fault)
	}
	run.Ended = time.Now()
	s.journal.Ended(run)
}

// refuse answers that the request was not run.
func (s *Server) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotRun, "1")
	reply.Error(w, status, "not run")
}

// take takes a slot if one is free.
func (s *Server) take() (Fault, bool) {
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

func (s *Server) begin(r *http.Request) Run {
	// What is missing counts as 0.
	after, _ := strconv.Atoi(r.Header.Get(headerLast))
	left, _ := strconv.ParseInt(r.Header.Get(headerLeft), 10, 64)
	return Run{
		ID: r.Header.Get(headerID), Team: r.Header.Get(headerTeam), Server: s.cfg.ID, Born: s.cfg.Born, Service: s.cfg.Service, Path: r.URL.Path,
		Began: time.Now(), ResumedAfter: after, TimeLeft: time.Duration(left) * time.Millisecond,
	}
}
