package losses

import (
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/trail"
)

// ErrNoLog means that no line of the input is a router's log line.
var ErrNoLog = errors.New("no line is a router's log line")

// Read counts the requests in the log lines. A line that is too long counts as broken.
func Read(from io.Reader, by []Dimension) (*Tally, error) {
	t, logs := newTally(by), 0
	err := trail.EachLine(from, func(text []byte, isCut bool) {
		t.Lines++
		if isCut {
			t.Broken++
			return
		}
		logs += t.addLine(text)
	})
	if err != nil {
		return nil, err
	}
	if logs == 0 {
		return nil, ErrNoLog
	}
	t.finish()
	return t, nil
}

// addLine counts one line. It returns 1 for a router's log line and 0 otherwise.
func (t *Tally) addLine(text []byte) int {
	if !strings.Contains(string(text), "event=") {
		t.Broken++
		return 0
	}
	l := trail.Parse(text)
	if l["event"] != "request_ended" && l["event"] != "request_completed" {
		return 1
	}
	r, ok := newRequest(l)
	if !ok {
		t.Broken++
		return 0
	}
	t.add(r)
	return 1
}

// request is the content of a request's last log line.
type request struct {
	at      time.Time
	outcome Outcome
	reason  string
	line    trail.Line
	// leftOut is the number of lines of this kind that the router omitted before it.
	leftOut                                         int
	waitMs, limitMs, unread, queueTokens, queueRuns float64
}

// lastKey is the last key that is in every request's line; a line without it
// was truncated.
const lastKey = "left_out"

func newRequest(l trail.Line) (request, bool) {
	at, err := time.Parse(time.RFC3339Nano, l["ts"])
	if err != nil || l[lastKey] == "" {
		return request{}, false
	}
	r := request{
		at: at, line: l, leftOut: int(parseNumber(l["left_out"])),
		waitMs: parseNumber(l["wait_ms"]), limitMs: parseNumber(l["limit_ms"]), unread: parseNumber(l["unread"]),
		queueTokens: parseNumber(l["queue_tokens"]), queueRuns: parseNumber(l["queue_runs"]),
	}
	r.outcome, r.reason = classify(l)
	return r, true
}

// parseNumber parses a number. Keys that lines of older routers lack count as 0.
func parseNumber(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return v
}

// classify returns the request's outcome and the reason for it.
func classify(l trail.Line) (Outcome, string) {
	status := int(parseNumber(l["status"]))
	if l["event"] == "request_completed" {
		switch {
		case l["inside_event"] == "true":
			return Cut, describeBreak(l) + ", told as whole"
		case status >= 500:
			return Failed, "status " + l["status"]
		case l["late"] != "":
			return Late, l["late"]
		default:
			return Served, ""
		}
	}
	why := l["why"]
	switch {
	case strings.HasPrefix(why, "cut:"):
		return Cut, cutReason(l)
	case strings.HasPrefix(why, "caller_"):
		return Left, strings.SplitN(why, ":", 2)[0]
	case status == 503 || status == 429 || status == 408 || status == 421:
		return Refused, why
	case status >= 400 && status < 500:
		return Rejected, why
	default:
		return Failed, why
	}
}

// cutReason returns the reason why an answer was cut.
func cutReason(l trail.Line) string {
	_, end, known := strings.Cut(l["answer"], "/")
	if !known || end == "marked" && l["inside_event"] != "true" || end == "given-up" {
		return "cut"
	}
	return describeBreak(l)
}

// describeBreak describes how a server broke its answer off.
func describeBreak(l trail.Line) string {
	text := "broke off: " + l["answer"]
	switch {
	case l["inside_event"] == "true":
		return text + " inside an event"
	case l["server_then"] == "refuses":
		return text + ", server gone"
	}
	return text
}

// value returns the request's value of the dimension.
func (r request) value(d Dimension) string {
	switch d {
	case ByOutcome:
		return string(r.outcome)
	case ByReason:
		return r.reason
	case ByRouter:
		return r.line["id"]
	case ByStanding:
		return standingClass(parseNumber(r.line["standing"]))
	case BySize:
		return sizeClass(parseNumber(r.line["prompt"]))
	case BySecond:
		return r.at.UTC().Format("15:04:05")
	default:
		return r.line[string(d)]
	}
}

// standingClass returns the class of a team's standing, the ratio of what it got to its
// share (0: all requests fit, shares do not limit). The bounds are those of admission,
// which treats all teams below 0.7 alike and all teams beyond 1.3 alike.
func standingClass(s float64) string {
	switch {
	case s == 0:
		return "all fits"
	case s <= 0.7:
		return "below"
	case s <= 1.3:
		return "near"
	default:
		return "beyond"
	}
}

// sizeClass returns the class of the prompt's size in tokens, in powers of four.
func sizeClass(prompt float64) string {
	switch {
	case prompt == 0:
		return "none"
	case prompt < 1000:
		return "<1k"
	case prompt < 4000:
		return "<4k"
	case prompt < 16000:
		return "<16k"
	default:
		return ">=16k"
	}
}
