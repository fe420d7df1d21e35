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

// A router's answer without a length broke off, closed in good order: an operator would take a
// part of it for all.
func TestAnAnswerToAnOperatorThatIsCutIsNotBelieved(t *testing.T) {
	whole, err := json.Marshal(operator.ConfigResponse{InForce: 3})
	qt.Assert(t, err, qt.IsNil)
	cut := ""
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+cut)
		_ = conn.Close()
	}))
	defer router.Close()
	c := New([]string{strings.TrimPrefix(router.URL, "http://")}, "token", time.Second)
	for at := range len(whole) + 1 {
		cut = string(whole[:at])
		_, err := c.Config(context.Background())
		qt.Check(t, err == nil, qt.Equals, at == len(whole), qt.Commentf("%q: %v", cut, err))
	}
}
