package router

import (
	"expvar"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// bodyStep is the least memory that is taken for a body of unknown length, in
// bytes.
const bodyStep = 64 << 10

// errBodiesFull means that the memory for request bodies is used up.
var errBodiesFull = errors.New("the memory for request bodies is used up")

// errBodyTooLarge means that a body passes the bound of one body.
var errBodyTooLarge = errors.New("the body is too large")

// bodies bounds the memory of the request bodies that the router holds, in
// total and for one team.
type bodies struct {
	mu      sync.Mutex
	used    int64
	limit   int64
	perTeam int64
	teams   map[string]int64
	gauge   *expvar.Int
}

func newBodies(limit int64, gauge *expvar.Int) *bodies {
	return &bodies{limit: limit, perTeam: limit / 2, teams: map[string]int64{}, gauge: gauge}
}

// take reserves n bytes for the team or reports that there is no room.
func (b *bodies) take(team string, n int64) bool {
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

func (b *bodies) give(team string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.teams[team] -= n
	if b.teams[team] == 0 {
		delete(b.teams, team)
	}
	b.gauge.Set(b.used)
}

// heldBody is the body of one request with its reserved memory.
type heldBody struct {
	from *bodies
	team string
	data []byte
	held int64
}

// release gives the memory back.
func (h *heldBody) release() {
	if h.held > 0 {
		h.from.give(h.team, h.held)
		h.held = 0
	}
}

// grow makes room up to the size.
func (h *heldBody) grow(size int64) error {
	if !h.from.take(h.team, size-h.held) {
		return errBodiesFull
	}
	h.held = size
	data := make([]byte, len(h.data), size)
	copy(data, h.data)
	h.data = data
	return nil
}

// read reads the whole body. Memory is reserved as the body arrives, so that
// a caller who announces much and sends little holds little.
func (h *heldBody) read(body io.Reader, length, limit int64) error {
	if length > limit {
		return errBodyTooLarge
	}
	if length < 0 {
		// One more byte than allowed tells that the body is too large.
		length = limit + 1
	}
	for int64(len(h.data)) < length {
		if len(h.data) == cap(h.data) {
			if err := h.grow(min(max(int64(2*cap(h.data)), bodyStep), length)); err != nil {
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

// hasBody reports whether there is anything to read.
func hasBody(req *http.Request) bool {
	return req.ContentLength != 0 && req.Body != nil && req.Body != http.NoBody
}
