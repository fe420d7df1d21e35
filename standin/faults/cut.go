package faults

import (
	"net/http"

	"goldcrestport/standin/internal/reply"
)

// Cutter writes a response body and closes the connection after a number of bytes.
type Cutter struct {
	w         http.ResponseWriter
	remaining int64 // bytes until the cut; negative: never
}

// NewCutter returns a Cutter that closes the connection after the given number of bytes; 0 means never.
func NewCutter(w http.ResponseWriter, after int64) *Cutter {
	if after == 0 {
		after = -1
	}
	return &Cutter{w, after}
}

// Send writes and flushes body. It returns false if it closed the connection or if the write failed.
func (c *Cutter) Send(body []byte) bool {
	cut := c.remaining >= 0 && int64(len(body)) >= c.remaining
	if cut {
		body = body[:c.remaining]
	} else if c.remaining >= 0 {
		c.remaining -= int64(len(body))
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
