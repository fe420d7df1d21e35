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
	// backoffEvent tells that a server asked a router for a time without requests,
	// backoffEndEvent that it takes them again.
	backoffEvent    = "backoff"
	backoffEndEvent = "backoff_ended"
)

// serverEvents are the events that explain a server when its id is asked for.
var serverEvents = []string{serverEvent, invalidAnswerEvent, backoffEvent, backoffEndEvent}

// backoffReason ends the requests that are refused because all servers asked for no
// requests.
const backoffReason = "backend-servers-back-off"

// names reports whether the line is about the request, the server, or what a server
// said to the request.
func (l Line) names(id string) bool {
	return l["request"] == id || l["said_to"] == id || l["server"] == id && slices.Contains(serverEvents, l["event"])
}

// inForce returns, for each refusal because servers asked for no requests, what they had
// asked of that router and was in force.
func inForce(lines, asked []Line) []Line {
	var out []Line
	for _, line := range lines {
		if line["why"] != backoffReason {
			continue
		}
		for _, one := range asked {
			if one["id"] == line["id"] && one.covers(line["ts"]) {
				out = append(out, one)
			}
		}
	}
	return out
}

// covers reports whether the time without requests of which the line tells has the
// moment in it. A line that cannot be read covers nothing.
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

// serverSentence says what a line about a server tells.
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
