// Package backend is a stand-in for a backend server of the users' platform,
// written from the users' pages: a model engine that streams events, or a plain
// service. It tells every run that it began and how the run ended, and it
// shows the faults that the pages name.
package backend

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
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
}

// New returns a sound server.
func New(cfg Config, journal Journal) *Server { return &Server{cfg: cfg, journal: journal} }

// SetFault replaces the fault of later answers.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
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

// answer runs the request. It reports whether the run came to its end.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, run Run, fault Fault) bool {
	switch fault {
	case Hangs:
		<-r.Context().Done()
		return false
	case Loses:
		whole := pause(r, s.cfg.Time)
		reply.Abort(w)
		return whole
	case Fails:
		whole := pause(r, s.cfg.Time)
		s.head(w, run)
		reply.Error(w, http.StatusInternalServerError, "fault")
		return whole
	}
	if s.cfg.Engine {
		return s.stream(w, r, run, fault)
	}
	return s.plain(w, r, run, fault)
}

func (s *Server) head(w http.ResponseWriter, run Run) {
	w.Header().Set(headerID, run.ID)
	w.Header().Set(headerMark, run.Server+"."+run.ID)
	w.Header().Set(headerLoad, s.load())
}

// pause waits; it reports false when the caller left first.
func pause(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// Body returns the body of a plain answer to the request.
func Body(id string) string { return strings.Repeat("answer to "+id+"\n", 20) }

func (s *Server) plain(w http.ResponseWriter, r *http.Request, run Run, fault Fault) bool {
	if !pause(r, s.cfg.Time) {
		return false
	}
	body := Body(run.ID)
	s.head(w, run)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if fault == Breaks {
		body = body[:len(body)/2]
	}
	_, _ = w.Write([]byte(body))
	s.spoil(w, fault, run, body)
	return true
}

// spoil ends a broken answer, or sends a second one.
func (s *Server) spoil(w http.ResponseWriter, fault Fault, run Run, body string) {
	if fault != Breaks && fault != Doubles {
		return
	}
	_ = http.NewResponseController(w).Flush()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if fault == Doubles {
		// The connection stays open: whoever uses it again would read this. Servers
		// name the request in every answer.
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n%s: x\r\n\r\n%s", len(body), headerID, run.ID, headerMark, body)
		time.AfterFunc(doubledStays, func() { _ = conn.Close() })
		return
	}
	_ = conn.Close()
}

// doubledStays is how long a connection with a second answer stays open.
const doubledStays = 2 * time.Second

// eventTokens is the number of tokens in one event.
const eventTokens = 5

// Events returns the number of events in the stream of a request that bounds
// its answer to the tokens.
func Events(tokens int) int { return max(tokens/eventTokens, 1) }

// Event returns one event of the stream of a request.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

func (s *Server) stream(w http.ResponseWriter, r *http.Request, run Run, fault Fault) bool {
	_, output, _ := strings.Cut(r.Header.Get(headerTokens), ",")
	tokens, _ := strconv.Atoi(output)
	last := Events(tokens)
	s.head(w, run)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for n := run.ResumedAfter + 1; n <= last; n++ {
		if !pause(r, s.cfg.Time) {
			return false
		}
		event := Event(run.ID, n)
		if fault == Breaks && n >= last/2 {
			_, _ = w.Write([]byte(event[:len(event)/2]))
			_ = flusher.Flush()
			reply.Abort(w)
			return false
		}
		if _, err := w.Write([]byte(event)); err != nil {
			return false
		}
		_ = flusher.Flush()
	}
	return true
}
