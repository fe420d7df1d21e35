package backend

import (
	"bufio"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkExchange measures a short request and its response on a reused connection.
func BenchmarkExchange(b *testing.B) {
	s := serve(qt.New(b), func(conn net.Conn, r *bufio.Reader) {
		for id := read(r); id != ""; id = read(r) {
			_, _ = io.WriteString(conn, answer(id, "hello"))
		}
	})
	p := NewPool(DefaultConfig())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := get(p, s.target, "r"); err != nil {
			b.Fatal(err)
		}
	}
}
