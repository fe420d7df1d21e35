package callerbody

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
	"testing"

	"goldcrestport/coordination/bodybudget"
)

// FuzzChunked looks for chunked bodies that crash their reading, read otherwise than a reader without a budget,
// or hold more than their size and one part.
func FuzzChunked(f *testing.F) {
	const limit = 1 << 20
	for _, body := range []string{
		"5\r\nhello\r\n0\r\n\r\n", "1\r\na\r\n1\r\nb\r\n", "5;x=y\r\nhello\r\n0\r\nA: b\r\n\r\n", "ffffffffffffffff\r\n", "0\r\n", "5\r\nhel", "-1\r\n", "5\nhello\n0\n\n",
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		parse := func() *http.Request {
			head := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
			req, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader([]byte(head)), bytes.NewReader(sent))))
			if err != nil {
				t.Fatal(err)
			}
			return req
		}
		want, wantErr := io.ReadAll(io.LimitReader(parse().Body, limit+1))
		most := int64(0)
		b := NewBudget(bodybudget.DefaultConfig(), 8*limit, func(used int64) { most = max(most, used) })
		body, err := b.Open(Caller{}, -1)
		if err != nil {
			t.Fatal(err)
		}
		err = body.Read(parse().Body, -1, limit)
		if (err == nil) != (wantErr == nil && len(want) <= limit) {
			t.Errorf("error %v, without a budget %v", err, wantErr)
		}
		if got := slices.Concat(body.Parts()...); !bytes.Equal(got, want) {
			t.Errorf("%d bytes, without a budget %d", len(got), len(want))
		}
		if most > int64(len(want)+maxStep) {
			t.Errorf("%d bytes held for %d", most, len(want))
		}
		body.Release()
		if used := b.Stats().Used; used != 0 {
			t.Errorf("%d bytes held after the release", used)
		}
	})
}
