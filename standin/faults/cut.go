package faults

import (
	"net/http"

	"goldcrestport/standin/internal/reply"
)

// Cutter writes an answer's body and cuts the connection after a number of bytes.
type Cutter struct {
	w    http.ResponseWriter
	left int64 // negative: never cut
}

// NewCutter returns a cutter; after of 0 never cuts.
func NewCutter(w http.ResponseWriter, after int64) *Cutter {
	if after == 0 {
		after = -1
	}
	return &Cutter{w, after}
}

// Send writes and flushes bytes. It returns false when the connection was cut or has failed.
func (c *Cutter) Send(body []byte) bool {
	cut := c.left >= 0 && int64(len(body)) >= c.left
	if cut {
		body = body[:c.left]
	} else if c.left >= 0 {
		c.left -= int64(len(body))
	}
	_, err := c.w.Write(body)
	if err == nil {
		err = http.NewResponseController(c.w).Flush()
	}
	if cut {
		reply.Abort(c.w)
	}
	return err == nil && !cut
}
