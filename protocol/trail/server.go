package trail

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Events of lines about a backend server.
const (
	serverEvent        = "backend_server"
	invalidAnswerEvent = "invalid_answer"
	// backoffEvent reports a back-off requested by a server, backoffEndEvent that the
	// server accepts requests again.
	backoffEvent    = "backoff"
	backoffEndEvent = "backoff_ended"
)

// serverEvents are the events whose lines are about the server that they name.
var serverEvents = []string{serverEvent, invalidAnswerEvent, backoffEvent, backoffEndEvent}

// backoffReason is the reason of requests that are refused because all servers had
// requested a back-off.
const backoffReason = "backend-servers-back-off"

// isAbout reports whether the line is about the request or the server with the id, about an
// attempt that resumes the request's stream, or about what a server announced in its answer to the
// request.
func (l Line) isAbout(id string) bool {
	return l["request"] == id || l["said_to"] == id || l["resumes"] == id || l["stream"] == id || l["server"] == id && slices.Contains(serverEvents, l["event"])
}

// backoffsInForce returns, for each refusal because of back-offs, the lines of the back-offs that
// were in force at that router at the time.
func backoffsInForce(lines, backoffs []Line) []Line {
	var out []Line
	for _, line := range lines {
		if line["why"] != backoffReason {
			continue
		}
		for _, backoff := range backoffs {
			if backoff["id"] == line["id"] && backoff.covers(line["ts"]) {
				out = append(out, backoff)
			}
		}
	}
	return out
}

// covers reports whether the moment is within the back-off that the line reports. A line
// with malformed times covers nothing.
func (l Line) covers(moment string) bool {
	from, err := time.Parse(time.RFC3339Nano, l["ts"])
	if err != nil {
		return false
	}
	at, err := time.Parse(time.RFC3339Nano, moment)
	if err != nil {
		return false
	}
	ms, err := strconv.ParseInt(l["wait_ms"], 10, 64)
	return err == nil && !at.Before(from) && at.Before(from.Add(time.Duration(ms)*time.Millisecond))
}

// serverSentence describes a line about a server.
func serverSentence(l Line) string {
	switch l["event"] {
	case backoffEvent:
		return fmt.Sprintf("server %s turned request %s away and asked for %s ms without requests; %s ms were obeyed.", l["server"], orUnknown(l["said_to"]), l["asked_ms"], l["wait_ms"])
	case backoffEndEvent:
		return fmt.Sprintf("server %s takes requests again, %s ms after it asked for none; it asked %s times.", l["server"], l["lasted_ms"], l["times"])
	case invalidAnswerEvent:
		return fmt.Sprintf("an answer of server %s says what cannot be read (%s).", l["server"], l["text"])
	}
	switch l["reason"] {
	case "announced":
		return fmt.Sprintf("server %s said in the answer to request %s that it leaves; it gets nothing more.", l["server"], orUnknown(l["said_to"]))
	case "told":
		return fmt.Sprintf("server %s gets nothing for a time: it told router %s that it leaves.", l["server"], orUnknown(l["said_to"]))
	}
	if l["usable"] == "true" {
		return fmt.Sprintf("server %s may get work (%s).", l["server"], l["reason"])
	}
	return fmt.Sprintf("server %s gets nothing more (%s).", l["server"], l["reason"])
}
