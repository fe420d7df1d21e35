package backend

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"goldcrestport/standin/internal/reply"
)

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
	s.plainFraming(run, fault).headers(w, len(body))
	if fault == Breaks {
		body = body[:len(body)/2]
	}
	_, _ = w.Write([]byte(body))
	s.spoil(w, fault, run, body)
	return true
}

// plainFraming is that of a plain answer. One that a living server breaks off has a length:
// nobody could tell one without from a whole answer.
func (s *Server) plainFraming(run Run, fault Fault) shape {
	if !s.hasShapes() || fault != Sound {
		return shape{framing: length}
	}
	return s.shapeOf(run)
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
	look, breaksAt := s.shapeOf(run), last+1
	if fault == Breaks {
		breaksAt = max(last/2, run.ResumedAfter+1)
	}
	s.head(w, run)
	w.Header().Set("Content-Type", "text/event-stream")
	look.headers(w, streamSize(look, run, last, breaksAt))
	flusher := http.NewResponseController(w)
	for n := run.ResumedAfter + 1; n <= last; n++ {
		if !pause(r, s.cfg.Time) {
			return false
		}
		event := Event(run.ID, n)
		if n == breaksAt {
			_, _ = w.Write([]byte(look.cutOf(event)))
			look.breakOff(w)
			return false
		}
		if _, err := w.Write([]byte(event)); err != nil {
			return false
		}
		_ = flusher.Flush()
	}
	return true
}

// streamSize is the length that a stream announces: that of all its events, or of what comes of
// them where it marks an end before.
func streamSize(look shape, run Run, last, breaksAt int) int {
	size := 0
	for n := run.ResumedAfter + 1; n <= last; n++ {
		event := Event(run.ID, n)
		if n == breaksAt && look.end == marks {
			return size + len(look.cutOf(event))
		}
		size += len(event)
	}
	return size
}
