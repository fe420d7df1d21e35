package fairness

import (
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/trail"
)

// Event is the event name of the log lines that are read.
const Event = "team_use"

// ErrNoLog means that no line reports a team's use.
var ErrNoLog = errors.New("no line tells what a team asked and got")

// Read reads the log lines that report teams' use.
func Read(from io.Reader) (*Log, error) {
	l := &Log{}
	err := trail.EachLine(from, func(text []byte, isCut bool) {
		l.Lines++
		if isCut {
			l.Broken++
			return
		}
		l.addLine(string(text))
	})
	if err != nil {
		return nil, err
	}
	if len(l.counts) == 0 {
		return nil, ErrNoLog
	}
	return l, nil
}

func (l *Log) addLine(text string) {
	if !strings.Contains(text, "event="+Event+" ") {
		return
	}
	line := trail.Parse([]byte(text))
	at, err := time.Parse(time.RFC3339Nano, line["ts"])
	if err != nil || line["left_out"] == "" {
		l.Broken++
		return
	}
	span := time.Duration(parseNumber(line["span_ms"])) * time.Millisecond
	if span <= 0 {
		l.Broken++
		return
	}
	l.add(count{
		// The line is written at the end of the span that it covers.
		from: at.Add(-span), to: at, team: line["team"], place: Place{DataCentre: line["data_centre"], Router: line["id"]},
		use: Use{
			Asked: parseNumber(line["asked"]), Begun: parseNumber(line["begun"]), Delivered: parseNumber(line["delivered"]), Largest: parseNumber(line["largest"]), Late: int(parseNumber(line["late"])),
			Requests: int(parseNumber(line["requests"])), Unread: int(parseNumber(line["unread"])), Refused: parseRefused(line["refused"], parseNumber(line["standing"])),
		},
	})
}

// parseRefused parses comma-separated reason:count pairs.
func parseRefused(text string, standing float64) map[Bound]int {
	if text == "" {
		return nil
	}
	out := make(map[Bound]int)
	for _, part := range strings.Split(text, ",") {
		reason, n, _ := strings.Cut(part, ":")
		out[boundOfRefusal(outcome.Reason(reason), standing)] += int(parseNumber(n))
	}
	return out
}

// boundOfRefusal returns the limiting factor behind a refusal. A refusal because of full
// server queues counts as ByShare if the team was beyond its share.
func boundOfRefusal(reason outcome.Reason, standing float64) Bound {
	switch reason {
	case outcome.ReasonQueueFull:
		if standing > 1 {
			return ByShare
		}
		return ByServer
	case outcome.ReasonConnections:
		return ByStreams
	case outcome.ReasonLeaving, outcome.ReasonPlatform, outcome.ReasonNoConfig:
		return ByRouter
	default:
		return ByServer
	}
}

// parseNumber parses a number; anything else counts as 0.
func parseNumber(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return v
}
