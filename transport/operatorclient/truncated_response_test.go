package operatorclient

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/operator"
)

// Guards against accepting a truncated response: without a Content-Length, a connection that is
// closed early looks like the regular end of the body.
func TestTruncatedResponseIsRejected(t *testing.T) {
	complete, err := json.Marshal(operator.ConfigResponse{InForce: 3})
	qt.Assert(t, err, qt.IsNil)
	truncated := ""
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+truncated)
		_ = conn.Close()
	}))
	defer router.Close()
	c := New([]string{strings.TrimPrefix(router.URL, "http://")}, "token", time.Second)
	for length := range len(complete) + 1 {
		truncated = string(complete[:length])
		_, err := c.Config(context.Background())
		qt.Check(t, err == nil, qt.Equals, length == len(complete), qt.Commentf("%q: %v", truncated, err))
	}
}
