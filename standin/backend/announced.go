package backend

import (
	"net/http"
	"strconv"
	"time"
)

// Headers by which an answer tells of its server.
const (
	// headerLeaving is "1" in all answers of a server that leaves, headerRetryAfter
	// the seconds for which one that turns a request away wants none.
	headerLeaving    = "Server-Leaving"
	headerRetryAfter = "Retry-After"
)

// Word is what the answer to a request says of its server.
type Word struct {
	ID, Server string
	Born       int64
	// Leaving tells that it leaves, RetryAfter for how long it wants no requests.
	Leaving    bool
	RetryAfter time.Duration
	At         time.Time
}

// Says is what a server says of itself in its answers.
type Says struct {
	// Leaving: it leaves.
	Leaving bool
	// RetryAfter is for how long it wants no requests of those whose requests it
	// turns away; 0: it does not say.
	RetryAfter time.Duration
}

// SetSays replaces what later answers say of the server.
func (s *Server) SetSays(says Says) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.says = says
}

// said returns what answers say of the server.
func (s *Server) said() Says {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.says
}

// announce writes into an answer's head what the server says, and returns that.
func (s *Server) announce(w http.ResponseWriter, id string) Says {
	says := s.said()
	if says.Leaving {
		w.Header().Set(headerLeaving, "1")
		s.journal.Said(Word{ID: id, Server: s.cfg.ID, Born: s.cfg.Born, Leaving: true, At: time.Now()})
	}
	return says
}

// turnAway refuses a request for which there is no room, and says for how long the
// server wants none.
func (s *Server) turnAway(w http.ResponseWriter, id string, after time.Duration) {
	if after > 0 {
		w.Header().Set(headerRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
		s.journal.Said(Word{ID: id, Server: s.cfg.ID, Born: s.cfg.Born, RetryAfter: after, At: time.Now()})
	}
	s.refuse(w, http.StatusServiceUnavailable)
}
