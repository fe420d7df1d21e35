package router

import (
	"net"
	"net/http"
	"time"

	"goldcrestport/coordination/bodybudget"
	"goldcrestport/transport/callerbody"
)

// maxTeamShare is the greatest share of the memory for bodies that one team may use.
const maxTeamShare = 0.5

// refusalLinger is how long a connection stays open after the refusal of a body that still comes, so that its
// caller sees the refusal.
const refusalLinger = 500 * time.Millisecond

// newBodies returns the memory for the callers' bodies, of the limit in bytes.
func newBodies(limit int64, m *metrics) *callerbody.Budget {
	cfg := bodybudget.DefaultConfig()
	cfg.TeamShare = maxTeamShare
	return callerbody.NewBudget(cfg, limit, m.bodies.Set)
}

// requestBody is the body of one request with its memory.
type requestBody struct {
	budget *callerbody.Budget
	team   string
	conn   net.Conn
	data   []byte
	held   *callerbody.Body
}

// release gives back the memory.
func (b *requestBody) release() {
	b.held.Release()
	b.held, b.data = nil, nil
}

// read reads the whole body of the request within the limit in bytes.
func (b *requestBody) read(w http.ResponseWriter, req *http.Request, limit int64) error {
	if req.ContentLength > limit {
		return callerbody.ErrTooLarge
	}
	var err error
	if b.held, err = b.budget.Open(callerbody.OnConn(b.conn, b.team), req.ContentLength); err != nil {
		linger(w, 0)
		return err
	}
	if err := b.held.Read(req.Body, req.ContentLength, limit); err != nil {
		linger(w, b.held.IdleFor())
		return err
	}
	b.data, err = b.held.Joined()
	return err
}

// linger lets the server read on for a moment after a refusal, unless the caller sends nothing.
func linger(w http.ResponseWriter, idle time.Duration) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusalLinger - idle))
}

// hasBody reports whether the request may have a body.
func hasBody(req *http.Request) bool {
	return req.ContentLength != 0 && req.Body != nil && req.Body != http.NoBody
}
