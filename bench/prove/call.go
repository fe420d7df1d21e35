package prove

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/bench/history"
	"goldcrestport/protocol/outcome"
)

// headerCall names a call towards the stand-ins.
const headerCall = "X-Call-Id"

// headerRequest carries the request id that the router gave.
const headerRequest = "Goldcrest-Request-Id"

// maxProblem bounds a problem document, in bytes.
const maxProblem = 1 << 16

// call sends one call and reads its answer to the end. It also returns when
// the caller was told to come back.
func (c *caller) call(op operation, id string, through *router) (history.Call, time.Duration) {
	record := history.Call{
		ID: id, Operation: op.id, Router: through.Name, Team: op.team, Service: op.service,
		NonIdempotent: op.nonIdempotent, Key: op.key, Stream: op.stream, Sent: time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), callBound)
	defer cancel()
	after := c.exchange(ctx, op, through, &record)
	record.Ended = time.Now()
	if ctx.Err() != nil {
		record.Ending = history.TimedOut
	}
	return record, after
}

func (c *caller) exchange(ctx context.Context, op operation, through *router, record *history.Call) time.Duration {
	req, err := request(ctx, op, record.ID, through)
	if err != nil {
		record.Ending, record.Error = history.Unsent, err.Error()
		return 0
	}
	resp, err := c.client.Do(req)
	if err != nil {
		record.Ending, record.Error = broken(err), err.Error()
		return 0
	}
	defer resp.Body.Close()
	record.Status = resp.StatusCode
	record.Outcome = outcome.Kind(resp.Header.Get(outcome.Header))
	record.RequestID = resp.Header.Get(headerRequest)
	return readAnswer(resp, record)
}

func request(ctx context.Context, op operation, id string, through *router) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+through.Addr+op.path, strings.NewReader(op.body))
	if err != nil {
		return nil, err
	}
	// Without it, net/http does not repeat the request by itself.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+token(op.team))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Goldcrest-Deadline", askedDeadline)
	req.Header.Set(headerCall, id)
	if op.key != "" {
		req.Header.Set("Idempotency-Key", op.key)
	}
	return req, nil
}

// broken tells how a call ended that got no response.
func broken(err error) history.Ending {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return history.Unsent
	}
	return history.Cut
}

// readAnswer reads the answer to its end into the record.
func readAnswer(resp *http.Response, record *history.Call) time.Duration {
	sum := sha256.New()
	head := &limited{left: maxProblem}
	n, err := io.Copy(io.MultiWriter(sum, head), resp.Body)
	record.Bytes, record.SHA256 = n, hex.EncodeToString(sum.Sum(nil))
	record.Ending = history.Answered
	if err != nil {
		record.Ending, record.Error = history.Cut, err.Error()
		return 0
	}
	if resp.Header.Get("Content-Type") == outcome.ContentType {
		readProblem(head.data, record)
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return time.Duration(seconds) * time.Second
}

func readProblem(data []byte, record *history.Call) {
	var p outcome.Problem
	if json.Unmarshal(data, &p) != nil || p.Outcome != record.Outcome {
		return
	}
	record.Problem, record.Reason = true, string(p.Reason)
	if record.RequestID == "" {
		record.RequestID = p.RequestID
	}
}

// limited keeps the first bytes written to it.
type limited struct {
	data []byte
	left int
}

// Write implements io.Writer.
func (l *limited) Write(p []byte) (int, error) {
	n := min(len(p), l.left)
	l.data = append(l.data, p[:n]...)
	l.left -= n
	return len(p), nil
}
