package direct

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/state/routing"
	"goldcrestport/transport/observe"
)

// failureLogLimit is the limit of log lines per second about requests that were refused, failed
// or went to another server. At ordinary rates no line is dropped.
const failureLogLimit = 100

// streamLogLimit is the limit of log lines per second about streams that start at one of several
// software versions, and of lines about streams that are resumed.
const streamLogLimit = 100

// logEnd logs a request that ended without a whole answer.
func (c *call) logEnd(why string, status int, after time.Duration) {
	keyvals := []any{"why", why, "status", status, "retry_after_ms", after.Milliseconds()}
	if c.reached > 0 {
		keyvals = append(keyvals, "parts", joinParts(c.meta.Shared))
	}
	c.line(c.r.failureLines, "request_ended", keyvals...)
}

// maxLoggedParts bounds the parts of a prompt in one line.
const maxLoggedParts = 16

// joinParts writes the ids of the parts of a prompt that other requests may share, in order.
func joinParts(parts []admission.Prefix) string {
	var texts []string
	for _, one := range parts[:min(len(parts), maxLoggedParts)] {
		texts = append(texts, strconv.FormatUint(one.ID, 16))
	}
	return strings.Join(texts, ",")
}

// logCompleted logs a request that was answered.
func (c *call) logCompleted(status int) {
	limit := c.r.completedLines
	switch {
	case status >= http.StatusInternalServerError:
		limit = c.r.failureLines
	case c.answer.isAssumedWhole():
		limit = c.r.attemptLines
	}
	c.line(limit, "request_completed", "status", status)
}

// logNextServer logs a request that is sent to another server.
func (c *call) logNextServer(d admission.Decision, after step, err error) {
	c.line(c.r.failureLines, "request_again", "after_server", d.Server, "ran", after != refused, "err", errText(err))
}

// lineKey returns the key for the limit of log lines: requests that were sent to a server have
// a limit of their own, so that lines about refusals cannot starve them.
func (c *call) lineKey(event string) string {
	if c.sent == 0 {
		return event
	}
	return event + " sent"
}

// line logs the request with the inputs of its decision.
func (c *call) line(limit *observe.LineLimit, event string, keyvals ...any) {
	allowed, dropped := limit.Allow(c.lineKey(event), time.Now())
	if !allowed {
		return
	}
	version := uint64(0)
	if c.table != nil {
		version = c.table.Version()
	}
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	all := []any{
		"request", c.meta.ID, "content", c.fingerprint, "route", route, "team", c.team, "version", version, "server", c.last.Server, "software", c.server.Version, "resumes", c.meta.Resumes, "resume_after", c.meta.LastEvent, "source", c.last.Source,
		"wait_ms", c.last.Wait.Milliseconds(), "limit_ms", c.last.Limit.Milliseconds(), "size", c.last.Size, "estimate_ms", c.last.Estimate.Milliseconds(), "sent", c.sent, "reached", c.reached,
		"standing", roundTo(c.last.Standing, standingDigits), "served", roundTo(c.last.Served, standingDigits), "throttled", c.last.Throttled, "rank", c.last.Rank, "cold", c.last.Cold, "backing_off", c.last.BackingOff, "since_backoff_ms", c.last.SinceBackoff.Milliseconds(), "elapsed_ms", c.elapsed.Milliseconds(),
		"first_ms", c.firstMillis(), "pause_ms", c.pause.Milliseconds(), "late", c.lateness(), "config_age_ms", c.r.configAge().Milliseconds(), "peers_age_ms", c.r.peersAge().Milliseconds(), "time_left_ms", c.meta.TimeLeft.Milliseconds(), "prompt", c.meta.Prompt, "output", c.meta.Output, "body_bytes", c.bodyBytes,
		"unread", c.last.Unread, "queue_tokens", c.last.QueueTokens, "queue_runs", c.last.QueueRuns,
		"lay_ms", c.unread.Milliseconds(), "took_ms", time.Since(c.received).Milliseconds(),
	}
	all = append(all, c.endKeyvals()...)
	all = append(all, keyvals...)
	c.r.event(event, append(all, "left_out", dropped)...)
}

// peersAge returns the age of the oldest digest that decisions currently use.
func (r *Router) peersAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.PeerStaleness(time.Now())
}

// standingDigits is the number of decimals of a logged standing.
const standingDigits = 2

func roundTo(value float64, digits int) float64 {
	unit := math.Pow10(digits)
	return math.Round(value*unit) / unit
}

// firstMillis is the time from the request to the start of its answer, or -1.
func (c *call) firstMillis() int64 {
	if c.firstByte.IsZero() {
		return -1
	}
	return c.firstByte.Sub(c.received).Milliseconds()
}

// lateness returns which part of an answer was late for its route: its first event, a pause
// between two events or, without events, the whole answer; "" if none was.
func (c *call) lateness() string {
	switch {
	case c.route == nil || c.firstByte.IsZero():
		return ""
	case c.route.Kind != routing.Streaming:
		if c.route.Objective > 0 && time.Since(c.received) > c.route.Objective {
			return "answer"
		}
		return ""
	case c.route.Objective > 0 && c.firstByte.Sub(c.received) > c.route.Objective:
		return "first"
	case c.route.Pause > 0 && c.pause > c.route.Pause:
		return "pause"
	default:
		return ""
	}
}
