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

// Read counts the requests that the lines tell of. A line that is too long counts as broken.
func Read(from io.Reader, by []Dimension) (*Tally, error) {
	t, logs := newTally(by), 0
	err := trail.EachLine(from, func(text []byte, isCut bool) {
		t.Lines++
		if isCut {
			t.Broken++
			return
		}
		logs += t.line(text)
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

// line counts one line and returns 1 for a router's log line.
func (t *Tally) line(text []byte) int {
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

// request is one request's last line.
type request struct {
	at      time.Time
	outcome Outcome
	reason  string
	line    trail.Line
	// leftOut lines of the kind were left out before this one.
	leftOut                                         int
	waitMs, limitMs, unread, queueTokens, queueRuns float64
}

// lastKey is the last key of a request's line that every one has; a line
// without it was cut.
const lastKey = "left_out"

func newRequest(l trail.Line) (request, bool) {
	at, err := time.Parse(time.RFC3339Nano, l["ts"])
	if err != nil || l[lastKey] == "" {
		return request{}, false
	}
	r := request{
		at: at, line: l, leftOut: int(number(l["left_out"])),
		waitMs: number(l["wait_ms"]), limitMs: number(l["limit_ms"]), unread: number(l["unread"]),
		queueTokens: number(l["queue_tokens"]), queueRuns: number(l["queue_runs"]),
	}
	r.outcome, r.reason = judge(l)
	return r, true
}

// number reads a figure; lines of older routers lack some, which count as 0.
func number(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return v
}

// judge says what became of the request, and why.
func judge(l trail.Line) (Outcome, string) {
	status := int(number(l["status"]))
	if l["event"] == "request_completed" {
		switch {
		case l["inside_event"] == "true":
			return Cut, brokeOff(l) + ", told as whole"
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

// cutReason says why an answer was cut.
func cutReason(l trail.Line) string {
	_, end, told := strings.Cut(l["answer"], "/")
	if !told || end == "marked" && l["inside_event"] != "true" || end == "given-up" {
		return "cut"
	}
	return brokeOff(l)
}

// brokeOff says how a server broke its answer off.
func brokeOff(l trail.Line) string {
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
		return standing(number(r.line["standing"]))
	case BySize:
		return size(number(r.line["prompt"]))
	case BySecond:
		return r.at.UTC().Format("15:04:05")
	default:
		return r.line[string(d)]
	}
}

// standing names what the team got of its share: admission treats teams below
// .7 and beyond 1.3 of it alike.
func standing(s float64) string {
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

// size names the prompt's size by powers of four, in tokens.
func size(prompt float64) string {
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
