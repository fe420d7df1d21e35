package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A router was killed in the middle of a stream, and a caller that gets no chunks read the end
// of its connection as that of the stream.
func TestAKilledRouterLeavesNoAnswerThatLooksWhole(t *testing.T) {
	c := qt.New(t)
	w := startFleet(c, c.TempDir(), Size{Routers: 1, Engines: 1, Plain: 1, Other: 1})
	r := w.routers[0]
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		conn, err := net.Dial("tcp", r.Addr)
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST %s %s\r\nHost: %s\r\nAttempt-Id: k-%s\r\nCredential: %s\r\nDeadline-Ms: 4000\r\nToken-Count: 100,1000\r\nContent-Length: 2\r\n\r\n{}",
			Stream.path(), proto, host, proto[5:], w.key(teamName(0), false))
		c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
		_, err = io.ReadFull(resp.Body, make([]byte, 20))
		c.Assert(err, qt.IsNil)
		r.Kill()
		rest, err := io.ReadAll(resp.Body)
		c.Check(err, qt.IsNotNil, qt.Commentf("%s: %d bytes more look whole", proto, len(rest)))
		c.Assert(r.Start(), qt.IsNil)
		c.Assert(w.fleet.WaitReady(context.Background(), r.Process), qt.IsNil)
	}
}
