package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// server is a test backend server on raw connections.
type server struct {
	target Target
	conns  atomic.Int64
}

// serve starts a server that handles each connection with the function.
func serve(c *qt.C, handle func(conn net.Conn, r *bufio.Reader)) *server {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = lis.Close() })
	s := &server{target: Target{ID: "i-1", Address: lis.Addr().String()}}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer conn.Close()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return s
}

// idHeader carries the id of a request and of its response in these tests.
const idHeader = "X-Id"

// bytesBody is a body of one part.
type bytesBody []byte

func (b bytesBody) Len() int        { return len(b) }
func (b bytesBody) Parts() [][]byte { return [][]byte{b} }
func (b bytesBody) Retain()         {}
func (b bytesBody) Release()        {}

func request(id string) Request {
	return Request{
		Method: http.MethodPost, URI: "/a?b=1", Host: "h.example", Header: http.Header{idHeader: {id}}, Body: bytesBody("body"), HasBody: true,
		Head: func(_ int, h http.Header) bool { return h.Get(idHeader) == "" || h.Get(idHeader) == id },
	}
}

// read reads one request and returns its id, or "" on an error.
func read(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req.Header.Get(idHeader)
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

// get sends one request and returns the body of its response.
func get(p *Pool, to Target, id string) (string, error) {
	a, failure := p.Do(context.Background(), to, request(id))
	if failure != nil {
		return "", failure.Err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func TestConnectionsAreReused(t *testing.T) {
	c := qt.New(t)
	s := serve(c, func(conn net.Conn, r *bufio.Reader) {
		for id := read(r); id != ""; id = read(r) {
			_, _ = io.WriteString(conn, answer(id, "to "+id))
		}
	})
	p := NewPool(DefaultConfig())
	for i := range 5 {
		body, err := get(p, s.target, fmt.Sprint("r", i))
		c.Assert(err, qt.IsNil)
		c.Check(body, qt.Equals, fmt.Sprint("to r", i))
	}
	c.Check(s.conns.Load(), qt.Equals, int64(1))
	// Another incarnation of a server at the same address gets its own connection.
	_, err := get(p, Target{ID: "i-2", Address: s.target.Address}, "x")
	c.Assert(err, qt.IsNil)
	c.Check(s.conns.Load(), qt.Equals, int64(2))
	p.Forget("i-1")
	_, err = get(p, s.target, "y")
	c.Assert(err, qt.IsNil)
	c.Check(s.conns.Load(), qt.Equals, int64(3))
}

// A request that Begin cancels once a connection is available sends no byte, and the next
// request uses the connection.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	c := qt.New(t)
	var got atomic.Int64
	s := serve(c, func(conn net.Conn, r *bufio.Reader) {
		for id := read(r); id != ""; id = read(r) {
			got.Add(1)
			_, _ = io.WriteString(conn, answer(id, "to "+id))
		}
	})
	p := NewPool(DefaultConfig())
	withdrawn := request("r1")
	reason := errors.New("server is draining")
	withdrawn.Begin = func() error { return reason }
	_, failure := p.Do(context.Background(), s.target, withdrawn)
	c.Check(failure.Stage, qt.Equals, NotSent)
	c.Check(errors.Is(failure.Err, ErrWithdrawn), qt.IsTrue)
	c.Check(errors.Is(failure.Err, reason), qt.IsTrue)
	body, err := get(p, s.target, "r2")
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "to r2")
	c.Check(got.Load(), qt.Equals, int64(1))
	c.Check(s.conns.Load(), qt.Equals, int64(1))
}

// A duplicate response is never taken for the response to the next request, whether the
// duplicate arrives at once or when the next request is sent.
func TestDuplicateResponseIsNotGivenToAnotherRequest(t *testing.T) {
	for _, late := range []bool{false, true} {
		c := qt.New(t)
		s := serve(c, func(conn net.Conn, r *bufio.Reader) {
			before := ""
			for id := read(r); id != ""; id = read(r) {
				if late {
					_, _ = io.WriteString(conn, before)
					before = answer(id, "to "+id)
				}
				_, _ = io.WriteString(conn, answer(id, "to "+id))
				if !late {
					_, _ = io.WriteString(conn, answer(id, "to "+id))
				}
			}
		})
		p := NewPool(DefaultConfig())
		for i := range 20 {
			body, err := get(p, s.target, fmt.Sprint("r", i))
			c.Assert(err, qt.IsNil, qt.Commentf("late %v, %d", late, i))
			c.Check(body, qt.Equals, fmt.Sprint("to r", i))
		}
	}
}

// A server may respond before it has read a long body and go on reading later: the connection
// must not be reused meanwhile.
func TestConnectionIsNotReusedAfterEarlyResponse(t *testing.T) {
	c := qt.New(t)
	s := serve(c, func(conn net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer(req.Header.Get(idHeader), "early"))
		time.Sleep(50 * time.Millisecond)
		n, _ := io.Copy(io.Discard, req.Body)
		_, _ = fmt.Fprint(conn, n)
	})
	p := NewPool(DefaultConfig())
	big := request("r1")
	big.Body = make(bytesBody, 8<<20)
	for range 2 {
		a, failure := p.Do(context.Background(), s.target, big)
		c.Assert(failure, qt.IsNil)
		body, err := io.ReadAll(a)
		c.Assert(err, qt.IsNil)
		c.Check(string(body), qt.Equals, "early")
		a.Close()
	}
	c.Check(s.conns.Load(), qt.Equals, int64(2))
}

func TestStageIsNotSentOnlyIfNoByteWasSent(t *testing.T) {
	c := qt.New(t)
	p := NewPool(DefaultConfig())
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := lis.Addr().String()
	c.Assert(lis.Close(), qt.IsNil)
	_, failure := p.Do(context.Background(), Target{ID: "gone", Address: address}, request("r"))
	c.Assert(failure, qt.IsNotNil)
	c.Check(failure.Stage, qt.Equals, NotSent)
	for name, handle := range map[string]func(net.Conn, *bufio.Reader){
		"closes":  func(_ net.Conn, r *bufio.Reader) { read(r) },
		"resets":  func(conn net.Conn, r *bufio.Reader) { read(r); _ = conn.(*net.TCPConn).SetLinger(0) },
		"babbles": func(conn net.Conn, r *bufio.Reader) { read(r); _, _ = io.WriteString(conn, "no answer\r\n\r\n") },
		"switches": func(conn net.Conn, r *bufio.Reader) {
			read(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\n\r\n")
		},
		"answers others": func(conn net.Conn, r *bufio.Reader) {
			read(r)
			_, _ = io.WriteString(conn, strings.Repeat(answer("other", "x"), maxStray))
		},
	} {
		_, failure := p.Do(context.Background(), serve(c, handle).target, request("r"))
		c.Assert(failure, qt.IsNotNil, qt.Commentf(name))
		c.Check(failure.Stage, qt.Equals, MaybeRun, qt.Commentf(name))
	}
}

// A truncated response ends with an error and its connection is not reused; a response
// without a length is complete only if its connection was closed without a reset.
func TestTruncatedResponsesAreNotComplete(t *testing.T) {
	for name, tc := range map[string]struct {
		text  string
		reset bool
		whole bool
	}{
		"short":           {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", false, false},
		"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false, false},
		"no length":       {"HTTP/1.1 200 OK\r\n\r\nabc", false, true},
		"no length reset": {"HTTP/1.1 200 OK\r\n\r\nabc", true, false},
	} {
		c := qt.New(t)
		s := serve(c, func(conn net.Conn, r *bufio.Reader) {
			read(r)
			_, _ = io.WriteString(conn, tc.text)
			time.Sleep(20 * time.Millisecond)
			if tc.reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		p := NewPool(DefaultConfig())
		_, err := get(p, s.target, "r")
		c.Check(err == nil, qt.Equals, tc.whole, qt.Commentf("%s: %v", name, err))
		_, _ = get(p, s.target, "r2")
		c.Check(s.conns.Load(), qt.Equals, int64(2), qt.Commentf(name))
	}
}

// The server sees the connection close as soon as the request's context is cancelled.
func TestCancelClosesConnection(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{})
	s := serve(c, func(_ net.Conn, r *bufio.Reader) {
		read(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, failure := NewPool(DefaultConfig()).Do(ctx, s.target, request("r"))
	c.Assert(failure, qt.IsNotNil)
	c.Check(failure.Stage, qt.Equals, MaybeRun)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		c.Fatal("the server's connection is still open")
	}
}

// A connection that the server closed, or that is near its idle timeout, is not used: a
// request sent on it would be lost.
func TestExpiredIdleConnectionsAreNotUsed(t *testing.T) {
	c := qt.New(t)
	s := serve(c, func(conn net.Conn, r *bufio.Reader) {
		id := read(r)
		_, _ = io.WriteString(conn, answer(id, "x"))
	})
	p := NewPool(DefaultConfig())
	for i := range 3 {
		_, err := get(p, s.target, fmt.Sprint(i))
		c.Assert(err, qt.IsNil)
		time.Sleep(10 * time.Millisecond)
	}
	c.Check(s.conns.Load(), qt.Equals, int64(3))

	short := serve(c, func(conn net.Conn, r *bufio.Reader) {
		for id := read(r); id != ""; id = read(r) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n", idHeader, id)
		}
	})
	_, err := get(p, short.target, "a")
	c.Assert(err, qt.IsNil)
	c.Check(p.takeIdle("i-1", time.Now().Add(600*time.Millisecond), AnyProcess), qt.IsNil)
	_, err = get(p, short.target, "b")
	c.Assert(err, qt.IsNil)
	p.Sweep(time.Now().Add(time.Minute))
	p.mu.Lock()
	c.Check(p.idle["i-1"], qt.HasLen, 0)
	p.mu.Unlock()
}

// Answered reports the time at which the request was sent, not that at which its response
// arrived: the response may have been delayed in transit.
func TestAnsweredIsTheSendTimeOfTheRequest(t *testing.T) {
	c := qt.New(t)
	const responseDelay = 100 * time.Millisecond
	s := serve(c, func(conn net.Conn, r *bufio.Reader) {
		for id := read(r); id != ""; id = read(r) {
			time.Sleep(responseDelay)
			_, _ = io.WriteString(conn, answer(id, ""))
		}
	})
	p := NewPool(DefaultConfig())
	c.Check(p.Answered(s.target.ID).IsZero(), qt.IsTrue)
	before := time.Now()
	_, err := get(p, s.target, "r1")
	c.Assert(err, qt.IsNil)
	at := p.Answered(s.target.ID)
	c.Check(!at.Before(before) && at.Before(before.Add(responseDelay)), qt.IsTrue, qt.Commentf("%v", at.Sub(before)))
}

// Guards against a request that is lost on a connection that its server ends: an answer to HEAD without a
// length ends with its connection, as any answer without framing, though it has no body.
func TestConnectionIsNotReusedAfterAnUnframedAnswerToHead(t *testing.T) {
	c := qt.New(t)
	s := serve(c, func(conn net.Conn, r *bufio.Reader) {
		for id := read(r); id != ""; id = read(r) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n", idHeader, id)
		}
	})
	p := NewPool(DefaultConfig())
	for range 2 {
		r := request("r1")
		r.Method, r.Body, r.HasBody = http.MethodHead, nil, false
		a, failure := p.Do(context.Background(), s.target, r)
		c.Assert(failure, qt.IsNil)
		_, err := io.ReadAll(a)
		c.Assert(err, qt.IsNil)
		a.Close()
	}
	c.Check(s.conns.Load(), qt.Equals, int64(2))
}
