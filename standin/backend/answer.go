package backend

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"goldcrestport/standin/internal/reply"
)

// answer runs the request and responds to it. It reports whether the run completed.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, run Run, fault Fault) bool {
	switch fault {
	case Hangs:
		<-r.Context().Done()
		return false
	case Loses:
		completed := sleep(r, s.cfg.Time)
		reply.Abort(w)
		return completed
	case Endless:
		s.endless(w, run)
		return false
	case Fails:
		completed := sleep(r, s.cfg.Time)
		s.setHeaders(w, run)
		reply.Error(w, http.StatusInternalServerError, "fault")
		return completed
	}
	if s.cfg.Engine {
		return s.stream(w, r, run, fault)
	}
	return s.plain(w, r, run, fault)
}

func (s *Server) setHeaders(w http.ResponseWriter, run Run) {
	w.Header().Set(headerID, run.ID)
	w.Header().Set(headerStamp, run.Server+"."+run.ID)
	w.Header().Set(headerLoad, s.load())
}

// sleep waits for d. It returns false if the client disconnects first.
func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// Body returns the body of a plain service's response to the request.
func Body(id string) string { return strings.Repeat("answer to "+id+"\n", 20) }

func (s *Server) plain(w http.ResponseWriter, r *http.Request, run Run, fault Fault) bool {
	if !sleep(r, s.cfg.Time) {
		return false
	}
	body := Body(run.ID)
	s.setHeaders(w, run)
	s.plainShape(run, fault).setFraming(w, len(body))
	if fault == Breaks {
		body = body[:len(body)/2]
	}
	_, _ = w.Write([]byte(body))
	s.endWithFault(w, fault, run, body)
	return true
}

// plainShape returns the shape of a plain response. A response that a running server truncates has a
// Content-Length: without it, the client could not distinguish it from a complete response.
func (s *Server) plainShape(run Run, fault Fault) shape {
	if !s.hasShapes() || fault != Sound {
		return shape{framing: contentLength}
	}
	return s.shapeOf(run)
}

// endWithFault closes the connection of a truncated response, or sends a second response on it.
func (s *Server) endWithFault(w http.ResponseWriter, fault Fault, run Run, body string) {
	if fault != Breaks && fault != Doubles {
		return
	}
	_ = http.NewResponseController(w).Flush()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if fault == Doubles {
		// The connection stays open, so that a client that reuses it would read this response.
		// It carries the request ID, as servers send it in every response.
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n%s: x\r\n\r\n%s", len(body), headerID, run.ID, headerStamp, body)
		time.AfterFunc(doubledLifetime, func() { _ = conn.Close() })
		return
	}
	_ = conn.Close()
}

// doubledLifetime is how long a connection with a second response stays open.
const doubledLifetime = 2 * time.Second

// eventTokens is the number of tokens in one event.
const eventTokens = 5

// Events returns the number of events in the stream of a request whose output is
// limited to the given number of tokens.
func Events(tokens int) int { return max(tokens/eventTokens, 1) }

// Event returns the n-th event of the stream of a request, as a server of the software version
// writes it; the version is empty for servers that have none.
func Event(version, id string, n int) string {
	if version == "" {
		return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n)
	}
	return fmt.Sprintf("id: %d\nevent: %s\ndata: %s %d\n\n", n, version, id, n)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, run Run, fault Fault) bool {
	_, output, _ := strings.Cut(r.Header.Get(headerTokens), ",")
	tokens, _ := strconv.Atoi(output)
	last := Events(tokens)
	form, truncateAt := s.shapeOf(run), last+1
	if fault == Breaks {
		truncateAt = max(last/2, run.ResumedAfter+1)
	}
	s.setHeaders(w, run)
	w.Header().Set("Content-Type", "text/event-stream")
	form.setFraming(w, streamSize(form, run, last, truncateAt))
	flusher := http.NewResponseController(w)
	for n := run.ResumedAfter + 1; n <= last; n++ {
		if !sleep(r, s.cfg.Time) {
			return false
		}
		event := Event(run.Version, run.ID, n)
		if n == truncateAt {
			_, _ = w.Write([]byte(form.partBeforeCut(event)))
			form.truncate(w)
			return false
		}
		if _, err := w.Write([]byte(event)); err != nil {
			return false
		}
		_ = flusher.Flush()
	}
	return true
}

// streamSize returns the Content-Length of a stream: the size of all its events, or of the part
// that is sent if the truncated response is framed as complete.
func streamSize(form shape, run Run, last, truncateAt int) int {
	size := 0
	for n := run.ResumedAfter + 1; n <= last; n++ {
		event := Event(run.Version, run.ID, n)
		if n == truncateAt && form.end == endsFraming {
			return size + len(form.partBeforeCut(event))
		}
		size += len(event)
	}
	return size
}
