package direct

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/health"
	"goldcrestport/state/routing"
	"goldcrestport/transport/backend"
)

// relay follows the events of a stream, so that it can go on at another server
// after the last one that the caller has.
type relay struct {
	last string
	rest []byte
	// count of the events that were passed on.
	count int
	// at is when the last of them was, and pause the longest time between two.
	at    time.Time
	pause time.Duration
}

// passedOn counts events that are passed on now.
func (e *relay) passedOn(now time.Time, count int) {
	if count == 0 {
		return
	}
	if !e.at.IsZero() {
		e.pause = max(e.pause, now.Sub(e.at))
	}
	e.at = now
	e.count += count
}

// lastEvent is the id of the last whole event that was passed on.
func (e *relay) lastEvent() string { return e.last }

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// whole returns the whole events in the data, together with what was held back
// before, and holds back the begin of one that is not whole.
func (e *relay) whole(data []byte) []byte {
	e.rest = append(e.rest, data...)
	end := bytes.LastIndex(e.rest, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	out := bytes.Clone(e.rest[:end])
	e.rest = append(e.rest[:0], e.rest[end:]...)
	if id := lastID(out); id != "" {
		e.last = id
	}
	return out
}

// idField begins the line of an event that holds its id.
var idField = []byte("id:")

// lastID returns the id of the last event in the data that has one.
func lastID(data []byte) string {
	for {
		at := bytes.LastIndex(data, idField)
		if at < 0 {
			return ""
		}
		if at == 0 || data[at-1] == '\n' {
			line, _, _ := bytes.Cut(data[at+len(idField):], []byte("\n"))
			return string(bytes.TrimSpace(line))
		}
		data = data[:at]
	}
}

// pass passes an answer on to the caller.
func (c *call) pass(ctx context.Context, answer *backend.Answer, reply Reply, events *relay) (step, health.Result, error) {
	success := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	switch {
	case c.begun:
		if !success || !reply.Marked {
			return broken, health.Failure, errors.Newf("the stream could not be resumed: %d", answer.Status)
		}
		return c.passEvents(ctx, answer, events)
	case success && !reply.Marked:
		return failed, health.Failure, errors.New("a success without the server's mark")
	case success && c.route.Kind == routing.Streaming:
		return c.passEvents(ctx, answer, events)
	case answer.Length <= wholeBody:
		return c.passWhole(ctx, answer, success)
	default:
		return c.passBytes(ctx, answer)
	}
}

// brokeOff judges a run whose answer broke off: a caller who left says nothing
// about the server.
func brokeOff(ctx context.Context) health.Result {
	if ctx.Err() != nil {
		return health.NoResult
	}
	return health.Failure
}

// passWhole reads the answer to its end before any of it is passed on.
func (c *call) passWhole(ctx context.Context, answer *backend.Answer, success bool) (step, health.Result, error) {
	body, err := io.ReadAll(io.LimitReader(answer, wholeBody))
	if err != nil {
		return failed, brokeOff(ctx), err
	}
	if len(body) == wholeBody && answer.Length != wholeBody {
		c.head(answer, -1)
		return c.passRest(ctx, answer, body)
	}
	if !success && answer.Status >= http.StatusInternalServerError && c.mayRepeatError() {
		return failed, health.Failure, errors.Mark(errors.Newf("the server answered %d", answer.Status), errAnswered)
	}
	c.head(answer, int64(len(body)))
	_, _ = c.w.Write(body)
	c.completed(answer)
	if success || answer.Status < http.StatusInternalServerError {
		return done, health.Success, nil
	}
	return done, health.Failure, nil
}

// mayRepeatError reports whether an error of the server is worth a try at
// another one; the last one's error is passed on as it is.
func (c *call) mayRepeatError() bool {
	return c.route.MayRepeat() && c.reached < c.route.Attempts && c.sent < sends && c.left() > c.route.Objective/2 && c.r.otherServer(c)
}

// passBytes passes a long answer on as it comes.
func (c *call) passBytes(ctx context.Context, answer *backend.Answer) (step, health.Result, error) {
	c.head(answer, answer.Length)
	return c.passRest(ctx, answer, nil)
}

func (c *call) passRest(ctx context.Context, answer *backend.Answer, first []byte) (step, health.Result, error) {
	_, _ = c.w.Write(first)
	buf := make([]byte, relayBuffer)
	for {
		n, err := answer.Read(buf)
		if n > 0 {
			if _, writeErr := c.w.Write(buf[:n]); writeErr != nil {
				return c.lostCaller(writeErr)
			}
		}
		if errors.Is(err, io.EOF) {
			c.completed(answer)
			return done, health.Success, nil
		}
		if err != nil {
			return broken, brokeOff(ctx), err
		}
	}
}

// passEvents passes whole events on as they arrive.
func (c *call) passEvents(ctx context.Context, answer *backend.Answer, events *relay) (step, health.Result, error) {
	resumable := c.route.MayRepeat()
	events.rest = events.rest[:0]
	flusher := http.NewResponseController(c.w)
	buf := make([]byte, relayBuffer)
	for {
		n, err := answer.Read(buf)
		if n > 0 {
			out := buf[:n]
			if resumable {
				out = events.whole(out)
			}
			if writeErr := c.forward(flusher, answer, events, out); writeErr != nil {
				return c.lostCaller(writeErr)
			}
			if err == nil {
				c.gather(ctx)
			}
		}
		if errors.Is(err, io.EOF) {
			return c.streamEnded(answer, events)
		}
		if err != nil {
			if c.begun {
				return broken, brokeOff(ctx), err
			}
			return failed, brokeOff(ctx), err
		}
	}
}

// leastGather is the shortest time worth a timer.
const leastGather = 5 * time.Millisecond

// gather waits for further events, so that several go out in one write: on
// small instances each write and wake-up costs more than the event.
func (c *call) gather(ctx context.Context) {
	wait := c.r.gatherTime()
	if wait < leastGather {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (c *call) forward(flusher *http.ResponseController, answer *backend.Answer, events *relay, out []byte) error {
	if len(out) == 0 {
		return nil
	}
	events.passedOn(time.Now(), bytes.Count(out, eventEnd))
	c.pause = events.pause
	if !c.begun {
		c.head(answer, -1)
	}
	if _, err := c.w.Write(out); err != nil {
		return err
	}
	return flusher.Flush()
}

// streamEnded passes on what is left at the end of a stream.
func (c *call) streamEnded(answer *backend.Answer, events *relay) (step, health.Result, error) {
	if !c.begun {
		c.head(answer, -1)
	}
	_, _ = c.w.Write(events.rest)
	c.completed(answer)
	return done, health.Success, nil
}

func (c *call) lostCaller(err error) (step, health.Result, error) {
	c.logEnd("caller_lost: "+err.Error(), 0, 0)
	c.r.metrics.outcomes.Add("caller_lost", 1)
	c.closeConnection()
	return done, health.NoResult, nil
}

// head writes the answer's status and headers. Length is that of the body, or
// -1 when it is not known.
func (c *call) head(answer *backend.Answer, length int64) {
	h := c.w.Header()
	for name, values := range c.r.dialect.Incoming(answer.Header) {
		h[name] = values
	}
	if length >= 0 && c.req.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if h.Get("Content-Type") == "" {
		// Without this net/http would guess a type and add it.
		h["Content-Type"] = nil
	}
	c.keepAlive()
	c.begun = true
	c.w.WriteHeader(answer.Status)
}

func (c *call) completed(answer *backend.Answer) {
	c.r.metrics.completed(c)
	c.logCompleted(answer.Status)
}

// otherServer reports whether the service has a server that the call has not
// tried and that wants requests.
func (r *Router) otherServer(c *call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.HasOther(time.Now(), c.service, c.avoid)
}
