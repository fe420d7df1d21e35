package router

import (
	"net"
	"net/http"

	"goldcrestport/coordination/bodybudget"
	"goldcrestport/transport/callerbody"
)

// maxTeamShare is the greatest share of the memory for bodies that one team may use.
const maxTeamShare = 0.5

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
func (b *requestBody) read(req *http.Request, limit int64) error {
	if req.ContentLength > limit {
		return callerbody.ErrTooLarge
	}
	var err error
	if b.held, err = b.budget.Open(callerbody.OnConn(b.conn, b.team), req.ContentLength); err != nil {
		return err
	}
	if err := b.held.Read(req.Body, req.ContentLength, limit); err != nil {
		return err
	}
	b.data, err = b.held.Joined()
	return err
}

// hasBody reports whether the request may have a body.
func hasBody(req *http.Request) bool {
	return req.ContentLength != 0 && req.Body != nil && req.Body != http.NoBody
}
