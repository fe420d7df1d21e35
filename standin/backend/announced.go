package backend

import (
	"net/http"
	"strconv"
	"time"
)

// Response headers that report the server's state.
const (
	// headerDraining is "1" in all responses of a server that is draining. headerRetryAfter
	// is the back-off, in seconds, that an overloaded server requests when it rejects a request.
	headerDraining   = "Server-Leaving"
	headerRetryAfter = "Retry-After"
)

// Word records what the response to a request reports about its server.
type Word struct {
	ID, Server string
	Born       int64
	// Leaving is set if the server is draining. RetryAfter is the back-off that it requested.
	Leaving    bool
	RetryAfter time.Duration
	At         time.Time
}

// Says is the state that a server reports in its responses.
type Says struct {
	// Leaving is set while the server is draining.
	Leaving bool
	// RetryAfter is the back-off that it requests when it rejects a request as
	// overloaded; 0 means that it requests none.
	RetryAfter time.Duration
}

// SetSays replaces the state that later responses report.
func (s *Server) SetSays(state Says) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// reportedState returns the state that responses report.
func (s *Server) reportedState() Says {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// reportState sets the response headers that report the server's state, and returns that state.
func (s *Server) reportState(w http.ResponseWriter, id string) Says {
	state := s.reportedState()
	if state.Leaving {
		w.Header().Set(headerDraining, "1")
		s.journal.Said(Word{ID: id, Server: s.cfg.ID, Born: s.cfg.Born, Leaving: true, At: time.Now()})
	}
	return state
}

// rejectOverloaded rejects a request because no slot is free or the server sheds load, and
// requests the back-off if it is positive.
func (s *Server) rejectOverloaded(w http.ResponseWriter, id string, after time.Duration) {
	if after > 0 {
		w.Header().Set(headerRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
		s.journal.Said(Word{ID: id, Server: s.cfg.ID, Born: s.cfg.Born, RetryAfter: after, At: time.Now()})
	}
	s.refuse(w, http.StatusServiceUnavailable)
}
