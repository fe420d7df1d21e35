package router

import (
	"expvar"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// minBodyBuffer is the initial buffer size for a request body, in bytes; a
// body whose maximum length is known to be shorter gets a smaller one.
const minBodyBuffer = 64 << 10

// errBodiesFull means that the memory budget for request bodies is exhausted.
var errBodiesFull = errors.New("the memory for request bodies is used up")

// errBodyTooLarge means that a body exceeds the maximum size of one body.
var errBodyTooLarge = errors.New("the body is too large")

// bodyBudget limits the memory of the request bodies in the router, in total
// and for one team.
type bodyBudget struct {
	mu      sync.Mutex
	used    int64
	limit   int64
	perTeam int64
	teams   map[string]int64
	gauge   *expvar.Int
}

func newBodyBudget(limit int64, gauge *expvar.Int) *bodyBudget {
	return &bodyBudget{limit: limit, perTeam: limit / 2, teams: map[string]int64{}, gauge: gauge}
}

// reserve reserves n bytes for the team; it returns false if the budget does
// not allow it.
func (b *bodyBudget) reserve(team string, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit || b.teams[team]+n > b.perTeam {
		return false
	}
	b.used += n
	b.teams[team] += n
	b.gauge.Set(b.used)
	return true
}

func (b *bodyBudget) release(team string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.teams[team] -= n
	if b.teams[team] == 0 {
		delete(b.teams, team)
	}
	b.gauge.Set(b.used)
}

// requestBody is the body of one request with its reserved memory.
type requestBody struct {
	budget   *bodyBudget
	team     string
	data     []byte
	reserved int64
}

// release returns the reserved memory to the budget.
func (h *requestBody) release() {
	if h.reserved > 0 {
		h.budget.release(h.team, h.reserved)
		h.reserved = 0
	}
}

// grow reserves memory up to size and enlarges the buffer to it.
func (h *requestBody) grow(size int64) error {
	if !h.budget.reserve(h.team, size-h.reserved) {
		return errBodiesFull
	}
	h.reserved = size
	data := make([]byte, len(h.data), size)
	copy(data, h.data)
	h.data = data
	return nil
}

// read reads the whole body. Memory is reserved as the body arrives, so that a
// caller that declares a large length and sends little occupies little memory.
func (h *requestBody) read(body io.Reader, length, limit int64) error {
	if length > limit {
		return errBodyTooLarge
	}
	if length < 0 {
		// Reading one byte more than allowed detects a body that is too large.
		length = limit + 1
	}
	for int64(len(h.data)) < length {
		if len(h.data) == cap(h.data) {
			if err := h.grow(min(max(int64(2*cap(h.data)), minBodyBuffer), length)); err != nil {
				return err
			}
		}
		n, err := body.Read(h.data[len(h.data):cap(h.data)])
		h.data = h.data[:len(h.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	if int64(len(h.data)) > limit {
		return errBodyTooLarge
	}
	return nil
}

// hasBody reports whether the request may have a body.
func hasBody(req *http.Request) bool {
	return req.ContentLength != 0 && req.Body != nil && req.Body != http.NoBody
}
