package direct

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// clientFrom returns a client whose connections come from the address, with one request each.
func clientFrom(address string) *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
	return &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
}

// ask sends a request of the team with the key and returns its status.
func ask(f *fixture, with *http.Client, key, id string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.set.Listen.Callers+"/keyed/", strings.NewReader("body"))
	f.Assert(err, qt.IsNil)
	req.Host = "h"
	req.Header.Set(testID, id)
	req.Header.Set(testKey, key)
	resp, err := with.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against callers who occupy every connection before admission with connections on
// which they send nothing, or half a request, and so keep the callers of a known team out.
func TestSilentConnectionsDoNotStarveOtherCallers(t *testing.T) {
	f := start(t, testConfig(1), newBackend(t, "i-1", ok))
	known := clientFrom("127.0.0.2")
	f.Assert(ask(f, known, "key", "first"), qt.Equals, http.StatusOK)
	ctx, cancel := context.WithCancel(context.Background())
	var flooding sync.WaitGroup
	for i := range 4 {
		flooding.Go(func() {
			dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 3)}}
			for n := 0; ctx.Err() == nil; n++ {
				conn, err := dialer.Dial("tcp", f.set.Listen.Callers)
				if err != nil {
					continue
				}
				if i%2 == 0 {
					_, _ = fmt.Fprint(conn, "POST /keyed/ HTTP/1.1\r\nHost: h\r\n")
				}
				time.AfterFunc(time.Second, func() { _ = conn.Close() })
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	served, slowest := 0, time.Duration(0)
	const requests = 40
	for i := range requests {
		began := time.Now()
		if ask(f, known, "key", fmt.Sprint("known", i)) == http.StatusOK {
			served++
			slowest = max(slowest, time.Since(began))
		}
		time.Sleep(25 * time.Millisecond)
	}
	cancel()
	flooding.Wait()
	f.Check(served, qt.Equals, requests)
	f.Check(slowest < time.Second, qt.IsTrue, qt.Commentf("%v", slowest))
	f.Check(f.router.metrics.shed.Value() > 0, qt.IsTrue)
	f.waitFor("the flood is over and connections are still selected", func() bool { return !f.router.gate.Chooses() })
}
