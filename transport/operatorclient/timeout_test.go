package operatorclient

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/operator"
	"goldcrestport/standin/relay"
)

// Guards against a configuration that is confirmed after the operator's call has timed out: the
// network delays the request and delivers it after the client has closed the connection.
func TestTimedOutConfirmIsNotDeliveredLater(t *testing.T) {
	var confirmed atomic.Int64
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			confirmed.Add(1)
		}
		_, _ = w.Write([]byte("{}"))
	}))
	defer router.Close()
	link, err := relay.Listen("127.0.0.1:0", strings.TrimPrefix(router.URL, "http://"))
	qt.Assert(t, err, qt.IsNil)
	defer link.Close()
	c := New([]string{link.Addr()}, "token", 150*time.Millisecond)
	_, err = c.Confirm(context.Background(), operator.ConfirmRequest{})
	qt.Assert(t, err, qt.IsNil)
	link.Hold()
	_, err = c.Confirm(context.Background(), operator.ConfirmRequest{})
	qt.Assert(t, err, qt.IsNotNil)
	time.Sleep(20 * time.Millisecond)
	link.Heal()
	time.Sleep(300 * time.Millisecond)
	qt.Check(t, confirmed.Load(), qt.Equals, int64(1))
}
