package backend

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"goldcrestport/standin/internal/reply"
)

// CrashWay says when a server ends under a request that crashes it.
type CrashWay string

// Ways of crashing.
const (
	// AtOnce: before anything of the answer.
	AtOnce CrashWay = "at-once"
	// InTheMiddle: after a part of it.
	InTheMiddle CrashWay = "in-the-middle"
	// Afterwards: after the whole answer.
	Afterwards CrashWay = "afterwards"
)

// crashMark begins the body of a request that crashes each server that begins it.
const crashMark = "crash "

// crashDelay is the time from the begin of a run, or its answer, to the crash.
const crashDelay = 20 * time.Millisecond

// CrashBody returns the body of a request that crashes servers; the number tells
// several apart.
func CrashBody(way CrashWay, n int) string { return crashMark + string(way) + " " + strconv.Itoa(n) }

// Crashes reports whether a request with the body crashes servers.
func Crashes(body string) bool { return crashWay([]byte(body)) != "" }

func crashWay(body []byte) CrashWay {
	fields := strings.Fields(string(body))
	if len(fields) != 3 || fields[0]+" " != crashMark {
		return ""
	}
	return CrashWay(fields[1])
}

// crash plays a run that ends the server, which the owner does in Config.Crash.
func (s *Server) crash(w http.ResponseWriter, r *http.Request, run Run, way CrashWay, body string) bool {
	end := func() { s.cfg.Crash(body) }
	switch way {
	case InTheMiddle:
		s.head(w, run)
		if s.cfg.Engine {
			look := s.shapeOf(run)
			w.Header().Set("Content-Type", "text/event-stream")
			event := Event(run.ID, run.ResumedAfter+1)
			look.headers(w, 2*len(event))
			_, _ = w.Write([]byte(event))
			if s.hasShapes() {
				_, _ = w.Write([]byte(look.cutOf(event)))
			}
		} else {
			answer := Body(run.ID)
			s.plainFraming(run, Sound).headers(w, len(answer))
			_, _ = w.Write([]byte(answer[:len(answer)/2]))
		}
		_ = http.NewResponseController(w).Flush()
	case Afterwards:
		defer time.AfterFunc(crashDelay, end)
		return s.answer(w, r, run, Sound)
	}
	pause(r, crashDelay)
	end()
	// The server may be going under another request: this answer must not end well.
	reply.Abort(w)
	return false
}
