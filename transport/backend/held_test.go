package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"goldcrestport/standin/relay"
)

// links hold what is sent to a server: acknowledged, or in the sender's kernel.
var links = map[string]func(addr, target string) (*relay.Relay, error){
	"acknowledged by the path": relay.Listen,
	"in the sender's kernel":   relay.ListenTight,
}

// heldBody is larger than what a tight link acknowledges while it holds, in bytes.
const heldBody = 200_000

// healTime is the time that held bytes have to arrive once the path is whole.
const healTime = 300 * time.Millisecond

// heldRequest sends a request on a kept connection whose path holds what is sent, heals the
// path once the exchange is over, and returns the failure and how many requests the server
// got by then.
func heldRequest(c *qt.C, listen func(addr, target string) (*relay.Relay, error), ctx context.Context, wait time.Duration) (*Failure, int64) {
	var got atomic.Int64
	s := serve(c, func(conn net.Conn, r *bufio.Reader) {
		for id := read(r); id != ""; id = read(r) {
			got.Add(1)
			_, _ = conn.Write([]byte(answer(id, "")))
		}
	})
	link, err := listen("127.0.0.1:0", s.target.Address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(link.Close)
	p := NewPool(DefaultConfig())
	to := Target{ID: "i-1", Address: link.Addr()}
	_, err = get(p, to, "r0")
	c.Assert(err, qt.IsNil)
	link.Hold()
	req := request("r1")
	req.Body = make([]byte, heldBody)
	_, failure := p.Do(ctx, to, req)
	time.Sleep(wait)
	link.Heal()
	time.Sleep(healTime)
	return failure, got.Load() - 1
}

// Guards against a request that runs after its caller left: its bytes were held on the path
// and went on when that was whole again.
func TestTheBytesOfACancelledRequestDoNotArriveLater(t *testing.T) {
	for name, listen := range links {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(100*time.Millisecond, cancel)
			failure, got := heldRequest(c, listen, ctx, 20*time.Millisecond)
			c.Check(failure, qt.IsNotNil)
			c.Check(got, qt.Equals, int64(0))
		})
	}
}

// Guards against a request that runs after its deadline: its bytes were held on the path and
// went on when that was whole again.
func TestTheBytesOfARequestPastItsDeadlineDoNotArriveLater(t *testing.T) {
	for name, listen := range links {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			failure, got := heldRequest(c, listen, ctx, 20*time.Millisecond)
			c.Check(failure, qt.IsNotNil)
			c.Check(got, qt.Equals, int64(0))
		})
	}
}

// Guards against a request that runs at a server after it was given up for want of progress,
// and was sent to another one: its bytes lay in the sender's kernel.
func TestTheBytesOfARequestWithoutProgressDoNotArriveLater(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	began := time.Now()
	failure, got := heldRequest(c, relay.ListenTight, ctx, 0)
	c.Assert(failure, qt.IsNotNil)
	c.Check(time.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	c.Check(got, qt.Equals, int64(0))
}

// slowToReset is a connection whose end wakes its reader some time before its reset is out, as
// the end of one that is being written to does on a busy host.
type slowToReset struct {
	net.Conn
	isOut atomic.Bool
}

func (s *slowToReset) Close() error {
	_ = s.SetReadDeadline(time.Unix(1, 0))
	time.Sleep(50 * time.Millisecond)
	s.isOut.Store(true)
	return s.Conn.Close()
}

// Guards against a request that is sent to another server while its bytes at the first can
// arrive yet: the exchange was over before its connection was reset.
func TestAnExchangeThatWasGivenUpIsOverOnceItsConnectionIsReset(t *testing.T) {
	c := qt.New(t)
	s := serve(c, func(_ net.Conn, r *bufio.Reader) {
		for read(r) != "" {
		}
	})
	p := NewPool(DefaultConfig())
	opened, err := p.dial(context.Background(), s.target)
	c.Assert(err, qt.IsNil)
	slow := &slowToReset{Conn: opened.Conn}
	opened.Conn = slow
	p.put(opened, time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, failure := p.Do(ctx, s.target, request("r1"))
	c.Assert(failure, qt.IsNotNil)
	c.Check(slow.isOut.Load(), qt.IsTrue)
}

// Guards against a request that runs at a server after the kernel ended its connection without
// a word to the other end: neither its keep-alive nor a bound on unacknowledged bytes may be on.
func TestTheKernelGivesUpNoBytesOnTheirWay(t *testing.T) {
	c := qt.New(t)
	s := serve(c, func(conn net.Conn, r *bufio.Reader) {
		for id := read(r); id != ""; id = read(r) {
			_, _ = conn.Write([]byte(answer(id, "")))
		}
	})
	p := NewPool(DefaultConfig())
	_, err := get(p, s.target, "r0")
	c.Assert(err, qt.IsNil)
	raw, err := p.take("i-1", time.Now()).Conn.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	c.Assert(raw.Control(func(fd uintptr) {
		keepAlive, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		c.Check(err, qt.IsNil)
		c.Check(keepAlive, qt.Equals, 0)
		bound, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		c.Check(err, qt.IsNil)
		c.Check(bound, qt.Equals, 0)
	}), qt.IsNil)
}

// Guards against an answer that is cut for a caller on a slow path: a server that leaves is not
// silent while nobody reads what it sends.
func TestAnAnswerThatNobodyReadsIsNotSilence(t *testing.T) {
	const size = 8 << 20
	c := qt.New(t)
	s := serve(c, func(conn net.Conn, r *bufio.Reader) {
		id := read(r)
		_, _ = conn.Write([]byte(answer(id, strings.Repeat("x", size))))
	})
	cfg := DefaultConfig()
	cfg.InFlight.Silence, cfg.InFlight.Dead = 200*time.Millisecond, 200*time.Millisecond
	p := NewPool(cfg)
	a, failure := p.Do(context.Background(), s.target, request("r1"))
	c.Assert(failure, qt.IsNil)
	defer a.Close()
	p.Left(s.target.ID)
	time.Sleep(600 * time.Millisecond)
	n, err := io.Copy(io.Discard, a)
	c.Check(err, qt.IsNil)
	c.Check(n, qt.Equals, int64(size))
}
