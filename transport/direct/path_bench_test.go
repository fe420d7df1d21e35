package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// BenchmarkStreams measures the cost of relaying a stream of fifty events.
func BenchmarkStreams(b *testing.B) {
	const together, perStream = 20, 50
	run := func(w io.Writer, req *http.Request) bool { return events(w, req, perStream, 2*time.Millisecond, false) }
	f := start(b, testConfig(1), newBackend(b, "i-1", run), newBackend(b, "i-2", run))
	b.ResetTimer()
	var wg sync.WaitGroup
	for worker := range together {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := worker; i < b.N; i += together {
				if r := f.call("/stream/", fmt.Sprint("r", i), testLeft, "15000"); r.err != nil {
					b.Error(r.err)
				}
			}
		}()
	}
	wg.Wait()
}

// BenchmarkRefusals measures the cost of a refused request on a new connection.
func BenchmarkRefusals(b *testing.B) {
	f := start(b, testConfig(1))
	b.ResetTimer()
	for i := range b.N {
		conn, err := net.Dial("tcp", f.set.Listen.Callers)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "POST /safe/ HTTP/1.1\r\nHost: h\r\n%s: r%d\r\n%s: 15000\r\nContent-Length: 3\r\n\r\nabc", testID, i, testLeft)
		_, _ = conn.Read(make([]byte, 1024))
		_ = conn.Close()
	}
}

// BenchmarkKeptRefusals measures the cost of a refused request with the body of a long prompt
// on a kept connection, as in the flood of one caller.
func BenchmarkKeptRefusals(b *testing.B) {
	f := start(b, testConfig(1))
	conn, err := net.Dial("tcp", f.set.Listen.Callers)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	const body = 12_000
	request := fmt.Appendf(nil, "POST /safe/ HTTP/1.1\r\nHost: h\r\n%s: r\r\n%s: 15000\r\nContent-Length: %d\r\n\r\n%s", testID, testLeft, body, strings.Repeat("x", body))
	answers := bufio.NewReader(conn)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}

// BenchmarkServedRequests measures one served request on a kept connection, with a short body and with one of 64 KiB.
func BenchmarkServedRequests(b *testing.B) {
	for name, size := range map[string]int{"short": 100, "64KiB": 64 << 10} {
		b.Run(name, func(b *testing.B) {
			f := start(b, testConfig(1), newBackend(b, "i-1", ok))
			conn, err := net.Dial("tcp", f.set.Listen.Callers)
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			request := fmt.Appendf(nil, "POST /safe/ HTTP/1.1\r\nHost: h\r\n%s: r\r\n%s: 15000\r\nContent-Length: %d\r\n\r\n%s", testID, testLeft, size, strings.Repeat("x", size))
			answers := bufio.NewReader(conn)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(answers, nil)
				if err != nil {
					b.Fatal(err)
				}
				if resp.StatusCode != http.StatusOK {
					b.Fatal(resp.Status)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		})
	}
}
