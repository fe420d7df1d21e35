package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"goldcrestport/standin/backend"
)

// Guards the soak's own servers: one that a request ended closed the connections of other copies
// in good order while it still took new ones, as no process that crashes does, so that nobody
// could distinguish their broken answers from whole ones.
func TestAServerThatCrashesTakesNoConnectionOnceOneEnds(t *testing.T) {
	c := qt.New(t)
	w := startFleet(c, c.TempDir(), Size{Routers: 1, Engines: 1, Plain: 1, Other: 1})
	w.frame(true)
	for n := range 20 {
		w.mu.Lock()
		id := w.serverID(w.nextID + 1)
		w.mu.Unlock()
		c.Assert(w.startServer(plainService, firstVersion, "127.0.0.1:0"), qt.IsNil)
		w.mu.Lock()
		address := w.servers[id].link.Addr()
		w.servers[id].leaving = true
		w.mu.Unlock()
		var copies sync.WaitGroup
		for i := range plainSlots - 1 {
			copies.Go(func() { c.Check(endsAlive(address, fmt.Sprintf("%d-%d", n, i)), qt.IsFalse) })
		}
		copies.Wait()
	}
}

// endsAlive sends a request that crashes the server, and reports whether its answer ended in good
// order while the server still took connections.
func endsAlive(address, id string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	body := backend.CrashBody(backend.InTheMiddle, 0)
	_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return false
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		return false
	}
	again, err := net.Dial("tcp", address)
	if err == nil {
		_ = again.Close()
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}
