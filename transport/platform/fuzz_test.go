package platform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// fixedTransport is a transport that returns the same status and body for every request
// and counts the calls.
type fixedTransport struct {
	status int
	body   []byte
	calls  int
}

func (a *fixedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	a.calls++
	return &http.Response{
		StatusCode: a.status, Request: req, ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Location": {"/elsewhere"}},
		Body:   io.NopCloser(bytes.NewReader(a.body)),
	}, nil
}

func isDocumented(err error) bool {
	return errors.IsAny(err, ErrNotFound, ErrConflict, ErrBusy, ErrTooLarge, ErrUnknown)
}

// FuzzAnswers checks that, whatever the platform answers, each call is sent once
// and returns a result or one of the documented errors. A call that reads a result
// must not succeed on an empty body.
func FuzzAnswers(f *testing.F) {
	for _, body := range []string{
		"", "null", "{}", "[]", `{"version":7}`, `{"version":-1}`, `{"key":"k","value":"AA=="}`, `{"id":"l"}`,
		`{"entries":[{"key":"k","value":"AA==","version":1}],"revision":9}`,
		`{"instances":[{"id":"a","state":5}]}`, `{"instances":[null]}`,
	} {
		for _, status := range []int{0, 101, 200, 204, 303, 307, 404, 409, 413, 429, 500} {
			f.Add(status, []byte(body))
		}
	}
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		c := qt.New(t)
		a := &fixedTransport{status: status, body: body}
		client := NewClient("http://platform", "me", time.Second)
		client.http.Transport = a
		ctx := context.Background()
		check := func(reads bool, err error) {
			t.Helper()
			c.Check(a.calls, qt.Equals, 1)
			a.calls = 0
			success := status >= http.StatusOK && status < http.StatusMultipleChoices
			if err != nil {
				c.Check(isDocumented(err), qt.IsTrue, qt.Commentf("%v", err))
				return
			}
			c.Check(success, qt.IsTrue)
			c.Check(reads && len(body) == 0, qt.IsFalse)
		}
		_, err := client.Get(ctx, "a/b")
		check(true, err)
		_, err = client.Put(ctx, "a/b", []byte("x"), 1, "l")
		check(true, err)
		check(false, client.Delete(ctx, "a/b", AnyVersion))
		_, _, err = client.List(ctx, "a")
		check(true, err)
		_, _, err = client.Watch(ctx, "a", 3, time.Millisecond)
		check(true, err)
		_, err = client.Grant(ctx, time.Second)
		check(true, err)
		check(false, client.Renew(ctx, "l"))
		check(false, client.Revoke(ctx, "l"))
		_, err = client.Instances(ctx)
		check(true, err)
	})
}
