package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/wire"
)

func startOf(method, path string, idempotent bool, key string) *wire.RunStart {
	return &wire.RunStart{
		Attempt: &wire.Attempt{RequestId: "r", Number: 1}, Method: method, Path: path,
		Idempotent: idempotent, IdempotencyKey: key,
	}
}

// Guards against requests that net/http sends a second time. The backend server
// responds to the first call on a connection and closes the connection after
// receiving the next one, which makes net/http retry wherever it may.
func TestCallIsSentOnce(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "DELETE", "POST", "PUT", "PATCH"} {
		for _, body := range []string{"", "{}"} {
			for _, key := range []string{"", "k"} {
				for _, idempotent := range []bool{true, false} {
					name := fmt.Sprintf("%s body=%q key=%q idempotent=%v", method, body, key, idempotent)
					t.Run(name, func(t *testing.T) { checkSentOnce(t, startOf(method, "/x", idempotent, key), body) })
				}
			}
		}
	}
}

func checkSentOnce(t *testing.T, st *wire.RunStart, body string) {
	var runs atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/warm" {
			return
		}
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer srv.Close()
	b := newBackend(srv.URL)
	for range 3 {
		resp, err := b.do(context.Background(), startOf("GET", "/warm", true, ""), nil)
		qt.Assert(t, err, qt.IsNil)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	resp, err := b.do(context.Background(), st, []byte(body))
	if err == nil {
		resp.Body.Close()
	}
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, errors.Is(err, errNotWritten), qt.IsFalse)
	qt.Assert(t, runs.Load(), qt.Equals, int64(1))
}

func TestRedirectIsNotFollowed(t *testing.T) {
	var runs atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusSeeOther)
	}))
	defer srv.Close()
	resp, err := newBackend(srv.URL).do(context.Background(), startOf("POST", "/x", false, ""), []byte("{}"))
	qt.Assert(t, err, qt.IsNil)
	resp.Body.Close()
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusSeeOther)
	qt.Assert(t, runs.Load(), qt.Equals, int64(1))
}

func TestRefusedConnectionProvesThatNothingRan(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	lis.Close()
	_, err = newBackend("http://"+lis.Addr().String()).do(context.Background(), startOf("POST", "/x", false, ""), []byte("{}"))
	qt.Assert(t, errors.Is(err, errNotWritten), qt.IsTrue)
}

func TestEmptyBodyIsSentAsNone(t *testing.T) {
	for _, method := range []string{"GET", "DELETE", "POST"} {
		var got *http.Request
		srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.Clone(context.Background()) }))
		resp, err := newBackend(srv.URL).do(context.Background(), startOf(method, "/x", true, ""), nil)
		qt.Assert(t, err, qt.IsNil)
		resp.Body.Close()
		srv.Close()
		qt.Assert(t, got.TransferEncoding, qt.HasLen, 0, qt.Commentf(method))
		qt.Assert(t, got.ContentLength, qt.Equals, int64(0), qt.Commentf(method))
	}
}

// The window bounds how much is read from a backend server whose response is not
// consumed; an acknowledgement makes room for further bytes.
func TestFullWindowBlocksTheRun(t *testing.T) {
	c := qt.New(t)
	a := newResponseBuffer(8)
	ctx, cancel := context.WithCancel(context.Background())
	c.Assert(a.write(ctx, []byte("12345678")), qt.IsNil)
	wrote := make(chan error, 1)
	go func() { wrote <- a.write(ctx, []byte("9")) }()
	a.ack(1)
	c.Assert(<-wrote, qt.IsNil)
	c.Assert(a.size(), qt.Equals, int64(8))
	cancel()
	c.Assert(a.write(ctx, []byte("0")), qt.ErrorIs, context.Canceled)

	into := make([]byte, 4)
	reader := a.attach()
	_, err := a.next(context.Background(), reader, 0, false, into)
	c.Assert(err, qt.ErrorIs, errOffsetDropped)
	p, err := a.next(context.Background(), reader, 5, false, into)
	c.Assert(err, qt.IsNil)
	c.Assert(string(p.data), qt.Equals, "6789")
	a.attach()
	_, err = a.next(context.Background(), reader, 5, false, into)
	c.Assert(err, qt.ErrorIs, errSuperseded)
}
