package backend

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"goldcrestport/standin/internal/reply"
)

// CrashWay is the point of a request at which the server crashes.
type CrashWay string

// Points at which a server crashes.
const (
	// AtOnce crashes the server before any part of the response is sent.
	AtOnce CrashWay = "at-once"
	// InTheMiddle crashes the server after a part of the response.
	InTheMiddle CrashWay = "in-the-middle"
	// Afterwards crashes the server after the complete response.
	Afterwards CrashWay = "afterwards"
)

// crashPrefix is the prefix of the body of a request that crashes every server that starts it.
const crashPrefix = "crash "

// CrashPart is the part of a prompt that crashes every server that starts to answer on it, and
// PartCrash what Config.Crash gets then in place of the body.
const (
	CrashPart = "badbad01"
	PartCrash = "part " + CrashPart
)

// crashOf returns the point at which the request crashes the server, or "" if it does not, and what
// Config.Crash gets.
func crashOf(r *http.Request, body []byte) (CrashWay, string) {
	if strings.Contains(r.Header.Get(headerPromptPrefix), CrashPart) {
		return InTheMiddle, PartCrash
	}
	return parseCrashWay(body), string(body)
}

// crashDelay is the time from the start of a run, or from its response, to the crash.
const crashDelay = 20 * time.Millisecond

// CrashBody returns the body of a request that crashes servers; n distinguishes
// several such requests.
func CrashBody(way CrashWay, n int) string { return crashPrefix + string(way) + " " + strconv.Itoa(n) }

// Crashes reports whether a request with the given body crashes servers.
func Crashes(body string) bool { return parseCrashWay([]byte(body)) != "" }

func parseCrashWay(body []byte) CrashWay {
	fields := strings.Fields(string(body))
	if len(fields) != 3 || fields[0]+" " != crashPrefix {
		return ""
	}
	return CrashWay(fields[1])
}

// crash simulates a run that crashes the server; Config.Crash terminates it.
func (s *Server) crash(w http.ResponseWriter, r *http.Request, run Run, way CrashWay, body string) bool {
	terminate := func() { s.cfg.Crash(body) }
	switch way {
	case InTheMiddle:
		s.setHeaders(w, run)
		if s.cfg.Engine {
			form := s.shapeOf(run)
			w.Header().Set("Content-Type", "text/event-stream")
			event := Event(run.Version, run.ID, run.ResumedAfter+1)
			form.setFraming(w, 2*len(event))
			_, _ = w.Write([]byte(event))
			if s.hasShapes() {
				_, _ = w.Write([]byte(form.partBeforeCut(event)))
			}
		} else {
			answer := Body(run.ID)
			s.plainShape(run, Sound).setFraming(w, len(answer))
			_, _ = w.Write([]byte(answer[:len(answer)/2]))
		}
		_ = http.NewResponseController(w).Flush()
	case Afterwards:
		defer time.AfterFunc(crashDelay, terminate)
		return s.answer(w, r, run, Sound)
	}
	sleep(r, crashDelay)
	terminate()
	// Another request may already be terminating the server: this response must not complete normally.
	reply.Abort(w)
	return false
}
