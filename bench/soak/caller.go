package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/outcome"
	"goldcrestport/standin/backend"
)

// Figures of the callers.
const (
	// thinkTime is the mean pause between two requests of a caller.
	thinkTime = 60 * time.Millisecond
	// leavePart of the requests are given up before their end, out of 100, and
	// newPart go over a new connection.
	leavePart = 5
	newPart   = 5
	// oldKeyPart of the requests bear a key that was taken away, out of 100.
	oldKeyPart = 10
	// leaveWithin bounds when a caller gives up.
	leaveWithin = 300 * time.Millisecond
	// mostTokens bounds the answer of a stream.
	mostTokens = 200
	// returnMost bounds the pause before a refused caller comes back.
	returnMost = time.Second
	// otherEvery is how often a caller asks for what others do, where most take up streams.
	otherEvery = 4
)

// caller sends one request after the other over a connection that it keeps.
type caller struct {
	w      *World
	name   string
	random *rand.Rand
	client *http.Client
	router int
	count  int
	// isOld is set if the caller uses HTTP/1.0.
	isOld bool
	// resumes is set if the caller asks for streams only, each of which it takes up once, after a
	// pause.
	resumes bool
	pause   span
}

func newCaller(w *World, name string, seed uint64) *caller {
	c := &caller{w: w, name: name, random: rand.New(rand.NewPCG(seed, 7)), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
	c.move()
	return c
}

// move takes a new connection to a router that gets some.
func (c *caller) move() {
	c.client.CloseIdleConnections()
	c.router = c.w.balancer.pick(c.random)
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		kind := kinds[c.random.IntN(len(kinds))]
		team := fmt.Sprintf("team-%d", c.random.IntN(4))
		body := c.body()
		if c.resumes {
			c.resumeOnce(team, body)
		} else if kind == Resumable && c.w.resumesStreams() {
			c.resumeUntilWhole(team, body)
		} else if after := c.attempt(kind, team, body); after > 0 {
			time.Sleep(after)
			c.move()
			c.attempt(kind, team, body)
		}
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(thinkTime)))
	}
}

// commonEvery is how often a request asks for what all others ask for, too.
const commonEvery = 5

// body returns the body of the next request.
func (c *caller) body() string {
	if c.count%commonEvery == 0 {
		return "{}"
	}
	return fmt.Sprintf(`{"caller":%q,"n":%d}`, c.name, c.count)
}

// attempt sends one request, keeps what came of it, and returns after how long
// to come back, or 0.
func (c *caller) attempt(kind Kind, team, body string) time.Duration {
	after, _ := c.attemptOf(Call{Kind: kind, Team: team, Body: body}, 5+c.random.IntN(mostTokens))
	return after
}

// attemptOf sends one request of the call, which says what it asks for, and returns after how
// long to come back, and what came of it.
func (c *caller) attemptOf(call Call, tokens int) (time.Duration, Call) {
	if c.random.IntN(100) < newPart {
		c.move()
	}
	c.count++
	r := c.w.routers[c.router]
	call.ID, call.Crashes, call.Key = fmt.Sprintf("%s-%d", c.name, c.count), backend.Crashes(call.Body) || call.hasCrashPart(), c.w.key(call.Team, c.random.IntN(100) < oldKeyPart)
	call.Router, call.Life = c.router, r.lives()
	ctx, cancel := context.WithTimeout(context.Background(), call.Kind.timeout()+2*time.Second)
	defer cancel()
	if c.random.IntN(100) < leavePart {
		timer := time.AfterFunc(time.Duration(c.random.Int64N(int64(leaveWithin))), func() {
			c.w.Record.add(func() { call.Left = time.Now() })
			cancel()
		})
		defer timer.Stop()
	}
	call.Sent = time.Now()
	after := c.exchange(ctx, &call, tokens, r.callers.Addr())
	if call.Life != r.lives() {
		// Which life took it is not known.
		call.Life = 0
	}
	c.w.Record.add(func() {
		call.Ended = time.Now()
		c.w.Record.Calls = append(c.w.Record.Calls, call)
	})
	return after, call
}

// exchange sends the request and reads its answer.
func (c *caller) exchange(ctx context.Context, call *Call, tokens int, address string) time.Duration {
	// A reader of a type that net/http does not know keeps it from sending the
	// request again by itself.
	body := io.MultiReader(strings.NewReader(call.Body))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+call.Kind.path(), body)
	if err != nil {
		call.Err = err.Error()
		return 0
	}
	req.Host = host
	req.Header.Set("Attempt-Id", call.ID)
	req.Header.Set("Credential", call.Key)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(call.Kind.timeout().Milliseconds(), 10))
	req.Header.Set("Token-Count", fmt.Sprintf("%d,%d", 100+c.random.IntN(2000), tokens))
	if call.Parts != "" {
		req.Header.Set("Prompt-Prefix", call.Parts)
	}
	if call.Resumes != "" {
		req.Header.Set("Last-Event-Id", strconv.Itoa(call.After))
		req.Header.Set("Resumes", call.Resumes)
	}
	resp, err := c.do(req)
	if err != nil {
		call.Err = err.Error()
		c.move()
		return 0
	}
	defer resp.Body.Close()
	call.Status = resp.StatusCode
	if resp.Close {
		defer c.move()
	}
	if resp.StatusCode != http.StatusOK {
		body, err := io.ReadAll(resp.Body)
		call.Whole, call.Why = err == nil, whyRefused(body)
		return retryAfter(resp)
	}
	c.read(call, resp, tokens)
	return 0
}

// whyRefused returns the reason of a refusal and its text, or "" if the body names none.
func whyRefused(body []byte) string {
	var p outcome.Problem
	if json.Unmarshal(body, &p) != nil || p.Reason == "" {
		return ""
	}
	return string(p.Reason) + " (" + p.Detail + ")"
}

// retryAfter returns when the caller is asked to come back, or 0.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), returnMost)
}

// read reads a success and checks that it is the whole answer to the call.
func (c *caller) read(call *Call, resp *http.Response, tokens int) {
	var err error
	if call.Kind.isStream() {
		err = readStream(call, resp.Body, backend.Events(tokens))
	} else {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		if err == nil && string(body) != backend.Body(call.ID) {
			call.Problem = "the body is not that of the request"
		}
	}
	call.Whole = err == nil
	call.Broke = errors.Is(err, errBroke)
	if call.Broke {
		c.w.Record.add(func() { call.Left = time.Now() })
	}
	if err != nil {
		call.Err = err.Error()
		c.move()
	}
	if mark := resp.Header.Get("Replica-Stamp"); !strings.HasSuffix(mark, "."+call.ID) {
		call.Problem = "the mark is that of another answer: " + mark
	}
}

// readStream reads events and checks that they are those of the call, in order
// and, when the stream ends as whole, to the last.
func readStream(call *Call, r io.Reader, last int) error {
	lines := bufio.NewReader(r)
	for n := call.After + 1; ; n++ {
		if call.Broke && n == call.breakAfter(last) {
			return errBroke
		}
		event, err := readEvent(lines)
		if err == io.EOF {
			// An end in good order says that the stream is whole.
			if n != last+1 || event != "" {
				call.Problem = fmt.Sprintf("the stream ended as whole after event %d of %d and %q", n-1, last, event)
			}
			return nil
		}
		if err != nil {
			return err
		}
		version := versionOf(event)
		if event != backend.Event(version, call.ID, n) {
			call.Problem = fmt.Sprintf("event %d is %q", n, event)
		}
		call.sawEvent(n, version)
	}
}

// readEvent reads up to the empty line that ends an event. Comments are left out, as the standard says: a
// server may send some to keep the connection alive.
func readEvent(lines *bufio.Reader) (string, error) {
	var event strings.Builder
	for {
		line, err := lines.ReadString('\n')
		if !strings.HasPrefix(line, ":") {
			event.WriteString(line)
		}
		if err != nil || line == "\n" {
			return event.String(), err
		}
	}
}
