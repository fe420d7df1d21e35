package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"goldcrestport/protocol/outcome"
)

// Paths of the routers.
const (
	chatPath  = "/v1/chat/completions"
	plainPath = "/services/" + PlainService + "/receipts"
)

// idHeader carries the fleet's name of the request.
const idHeader = "Goldcrest-Request-Id"

// streamEnd ends a whole streamed answer.
const streamEnd = "data: [DONE]\n\n"

// leastRetry is the pause when a refusal gives no hint.
const leastRetry = 200 * time.Millisecond

// Token returns the bearer token of a team.
func Token(team string) string { return "token-" + team }

// call sends one request and reads its answer to the end. The duration is how
// long the caller has to stay away after a refusal.
func (d *Driver) call(ctx context.Context, team Team, router string, body []byte) (Result, time.Duration) {
	r := Result{Team: team.Name, Ending: Broken, Sent: time.Now()}
	d.record.begin(team.Name)
	after := d.exchange(ctx, team, router, body, &r)
	r.End = time.Now()
	if r.First.IsZero() {
		r.First = r.End
	}
	d.record.end(r)
	return r, after
}

func (d *Driver) exchange(ctx context.Context, team Team, router string, body []byte, r *Result) time.Duration {
	path := chatPath
	if team.Kind == Plain {
		path = plainPath
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+path, bytes.NewReader(body))
	if err != nil {
		return leastRetry
	}
	req.Header.Set("Authorization", "Bearer "+Token(team.Name))
	resp, err := d.http.Do(req)
	if err != nil {
		return leastRetry
	}
	defer resp.Body.Close()
	r.ID = resp.Header.Get(idHeader)
	if resp.StatusCode != http.StatusOK {
		r.Ending = Failed
		if resp.Header.Get(outcome.Header) == string(outcome.NotRun) {
			r.Ending = Refused
		}
		_, _ = io.Copy(io.Discard, resp.Body) // only to use the connection again
		return retryAfter(resp.Header)
	}
	if readAnswer(resp.Body, team.Kind != Plain, r) {
		r.Ending = Completed
		return 0
	}
	return leastRetry
}

// readAnswer reads a body, notes the time of its first byte and reports
// whether it is whole.
func readAnswer(body io.Reader, stream bool, r *Result) bool {
	buf := make([]byte, 16<<10)
	var tail []byte
	for {
		n, err := body.Read(buf)
		if n > 0 && r.First.IsZero() {
			r.First = time.Now()
		}
		tail = append(tail, buf[:n]...)
		tail = tail[max(len(tail)-len(streamEnd), 0):]
		switch {
		case err == io.EOF:
			return !stream || string(tail) == streamEnd
		case err != nil:
			return false
		}
	}
}

// retryAfter reads when to come back.
func retryAfter(h http.Header) time.Duration {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s <= 0 {
		return leastRetry
	}
	return time.Duration(s) * time.Second
}
