package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a truncated response that looks complete: a router with sidecars is killed in
// the middle of a response, and an HTTP/1.0 caller, which gets no chunked encoding, takes the end
// of its connection for the end of the response.
func TestKilledRouterLeavesTruncatedResponseDetectable(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t)
	router := f.members[len(f.members)-1]
	id := slowPrefix + "killed"
	conn, err := net.Dial("tcp", strings.TrimPrefix(router.callers, "http://"))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /services/ledger-app/pledges HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", fleetToken, len(id), id)
	c.Assert(err, qt.IsNil)
	var got strings.Builder
	c.Assert(conn.SetReadDeadline(time.Now().Add(slowDuration)), qt.IsNil)
	for !strings.HasSuffix(got.String(), id) {
		_, err := io.CopyN(&got, conn, 1)
		c.Assert(err, qt.IsNil, qt.Commentf("%q", got.String()))
	}
	c.Assert(strings.HasPrefix(got.String(), "HTTP/1.0 200"), qt.IsTrue, qt.Commentf("%q", got.String()))
	c.Assert(router.process.Kill(), qt.IsNil)
	_, err = io.ReadAll(conn)
	c.Check(err, qt.IsNotNil)
}
