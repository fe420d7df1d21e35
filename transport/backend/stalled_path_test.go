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

// stalledPaths are the relays whose paths can be stalled: one acknowledges the bytes that it does not
// forward, the other leaves most of them in the sender's kernel.
var stalledPaths = map[string]func(addr, target string) (*relay.Relay, error){
	"acknowledged by the path": relay.Listen,
	"in the sender's kernel":   relay.ListenTight,
}

// stalledBodySize is larger than what a tight relay acknowledges while it is stalled, in bytes.
const stalledBodySize = 200_000

// healTime is the time that the delayed bytes have to arrive once the path forwards again.
const healTime = 300 * time.Millisecond

// requestOnStalledPath sends a request on a reused connection whose path is stalled, restores
// the path after the exchange, and returns the failure and how many requests the server has
// received by then.
func requestOnStalledPath(c *qt.C, listen func(addr, target string) (*relay.Relay, error), ctx context.Context, wait time.Duration) (*Failure, int64) {
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
	req.Body = make(bytesBody, stalledBodySize)
	_, failure := p.Do(ctx, to, req)
	time.Sleep(wait)
	link.Heal()
	time.Sleep(healTime)
	return failure, got.Load() - 1
}

// Guards against a request that runs after its caller cancelled it: its bytes were delayed on
// the path and delivered once the path forwarded again.
func TestBytesOfCancelledRequestAreNotDeliveredLater(t *testing.T) {
	for name, listen := range stalledPaths {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(100*time.Millisecond, cancel)
			failure, got := requestOnStalledPath(c, listen, ctx, 20*time.Millisecond)
			c.Check(failure, qt.IsNotNil)
			c.Check(got, qt.Equals, int64(0))
		})
	}
}

// Guards against a request that runs after its deadline: its bytes were delayed on the path
// and delivered once the path forwarded again.
func TestBytesOfTimedOutRequestAreNotDeliveredLater(t *testing.T) {
	for name, listen := range stalledPaths {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			failure, got := requestOnStalledPath(c, listen, ctx, 20*time.Millisecond)
			c.Check(failure, qt.IsNotNil)
			c.Check(got, qt.Equals, int64(0))
		})
	}
}

// Guards against a request that runs on one server after it was abandoned as stalled and sent
// to another: its bytes were still queued in the sender's kernel.
func TestBytesOfStalledRequestAreNotDeliveredLater(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	began := time.Now()
	failure, got := requestOnStalledPath(c, relay.ListenTight, ctx, 0)
	c.Assert(failure, qt.IsNotNil)
	c.Check(time.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	c.Check(got, qt.Equals, int64(0))
}

// slowToReset is a connection whose Close interrupts its reader some time before the reset is
// sent, as happens on a busy host when the connection is being written to.
type slowToReset struct {
	net.Conn
	resetSent atomic.Bool
}

func (s *slowToReset) Close() error {
	_ = s.SetReadDeadline(time.Unix(1, 0))
	time.Sleep(50 * time.Millisecond)
	s.resetSent.Store(true)
	return s.Conn.Close()
}

// Guards against a request that is sent to another server while its bytes can still reach the
// first: Do returned before the connection was reset.
func TestDoReturnsOnlyAfterTheConnectionIsReset(t *testing.T) {
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
	c.Check(slow.resetSent.Load(), qt.IsTrue)
}

// Guards against a request that runs on a server after the kernel dropped its connection without
// notifying the peer: neither keep-alive nor TCP_USER_TIMEOUT may be set.
func TestKernelTimeoutsAreDisabled(t *testing.T) {
	c := qt.New(t)
	s := serve(c, func(conn net.Conn, r *bufio.Reader) {
		for id := read(r); id != ""; id = read(r) {
			_, _ = conn.Write([]byte(answer(id, "")))
		}
	})
	p := NewPool(DefaultConfig())
	_, err := get(p, s.target, "r0")
	c.Assert(err, qt.IsNil)
	raw, err := p.takeIdle("i-1", time.Now(), AnyProcess).Conn.(*net.TCPConn).SyscallConn()
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

// Guards against a response that is cut off for a slow caller: a draining server does not count
// as silent while the bytes that it sent wait unread.
func TestUnreadResponseDoesNotCountAsSilence(t *testing.T) {
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
