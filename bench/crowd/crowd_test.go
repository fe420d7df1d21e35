package crowd

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// writeBound is how long a caller of a crowd waits for the router to read; it stays connected after that.
const writeBound = 5 * time.Second

// member is what one caller of a crowd sends after the connection is open. It returns an error when the
// connection was closed.
type member func(w *world, conn net.Conn) error

// crowd is a set of callers that stay connected until they are closed.
type crowd struct {
	w       *world
	send    member
	address func(n int) string

	mu    sync.Mutex
	conns []net.Conn
	busy  sync.WaitGroup
}

// oneAddress is the address of all callers of a crowd, and manyAddresses gives each one of its own.
func oneAddress(int) string { return "127.0.7.1" }

func manyAddresses(n int) string { return fmt.Sprintf("127.0.%d.%d", 20+n/250, 1+n%250) }

// gather connects a crowd and returns once all its callers have sent what they send.
func (w *world) gather(send member, address func(int) string) *crowd {
	c := &crowd{w: w, send: send, address: address}
	w.Cleanup(c.leave)
	c.come()
	return c
}

// come connects all callers once and waits until they have sent.
func (c *crowd) come() {
	for n := range crowdSize {
		c.busy.Go(func() { c.join(n) })
	}
	c.busy.Wait()
}

// join connects one caller and lets it send.
func (c *crowd) join(n int) {
	conn, err := dial(c.address(n), c.w.router.Addr)
	if err != nil {
		// The router is being stopped, or full.
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	_ = conn.SetWriteDeadline(time.Now().Add(writeBound))
	// An error means that the router closed the connection, which it may.
	_ = c.send(c.w, conn)
}

// leave closes all connections.
func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// write sends the parts, one write each.
func write(conn net.Conn, parts ...string) error {
	for _, p := range parts {
		if _, err := conn.Write([]byte(p)); err != nil {
			return err
		}
	}
	return nil
}

// chunks returns the chunks of a body of the size, each of at most the length.
func chunks(size, length int) string {
	var b strings.Builder
	for size > 0 {
		n := min(size, length)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, strings.Repeat("x", n))
		size -= n
	}
	return b.String()
}

// chunkedHead ends the head of a request with a chunked body.
const chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"

// chunkedShort sends a chunked body that lacks its last bytes.
func chunkedShort(length int) member {
	body := chunks(maxBody, length)
	return func(w *world, conn net.Conn) error {
		return write(conn, w.head()+chunkedHead, body[:len(body)-3])
	}
}

// lastChunkMissing sends a whole chunked body but for the empty chunk at its end.
func lastChunkMissing(length int) member {
	body := chunks(maxBody, length)
	return func(w *world, conn net.Conn) error { return write(conn, w.head()+chunkedHead, body) }
}

// lengthNotKept declares a length and sends the part of it.
func lengthNotKept(part int) member {
	return func(w *world, conn net.Conn) error {
		return write(conn, w.head()+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody), strings.Repeat("x", part))
	}
}

// byteWise sends the start of a chunked body, each byte on its own.
func byteWise(w *world, conn net.Conn) error {
	return write(conn, append([]string{w.head() + chunkedHead}, strings.Split(chunks(300, 1), "")...)...)
}

// trailersWithoutEnd sends trailers after a whole chunked body, and never their end.
func trailersWithoutEnd(w *world, conn net.Conn) error {
	return write(conn, w.head()+chunkedHead, chunks(maxBody/4, maxBody/4)+"0\r\n"+strings.Repeat("X-Trailer: 1\r\n", 20_000))
}

// headWithoutEnd sends fields of a head, and never their end.
func headWithoutEnd(w *world, conn net.Conn) error {
	return write(conn, w.head()+strings.Repeat("X-Field: 1\r\n", 20_000))
}

// requestsBehind sends one whole request and, behind it on the same connection, the bytes of more.
func requestsBehind(w *world, conn net.Conn) error {
	next := w.head() + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", maxBody, strings.Repeat("x", maxBody))
	return write(conn, w.head()+"Content-Length: 2\r\n\r\n{}"+next)
}

// wholeRequest sends one whole request with a large body, and reads nothing of its answer.
func wholeRequest(w *world, conn net.Conn) error {
	return write(conn, w.head()+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody), strings.Repeat("x", maxBody))
}

// smallRequest sends one whole request with a small body, and reads nothing of its answer.
func smallRequest(w *world, conn net.Conn) error {
	return write(conn, w.head()+"Content-Length: 2\r\n\r\n{}")
}

// headAndByte sends a head and one byte of its body.
func headAndByte(w *world, conn net.Conn) error {
	return write(conn, w.head()+fmt.Sprintf("Content-Length: %d\r\n\r\n{", maxBody))
}

// halfAHead sends the start of a head.
func halfAHead(w *world, conn net.Conn) error { return write(conn, w.head()) }

// nothing only connects.
func nothing(*world, net.Conn) error { return nil }

// unknownKey sends the same with a key that no team has.
func unknownKey(send member) member {
	return func(w *world, conn net.Conn) error {
		return send(&world{C: w.C, key: "unknown", router: w.router}, conn)
	}
}

// mustHold checks what must hold of a router before any crowd, and that ordinary callers get an answer beside
// it and after it.
func (w *world) mustHold(act func()) {
	w.Helper()
	stop := watch(w.router)
	act()
	w.mustServe("127.0.9.1")
	w.Check(w.router.Running(), qt.IsTrue, qt.Commentf("the router ended: %v", w.router.Exit()))
	most := stop()
	w.Logf("memory %d MiB, descriptors %d", most.memory>>20, most.descriptors)
	w.Check(most.memory <= routerMemory, qt.IsTrue, qt.Commentf("%d MiB of %d", most.memory>>20, routerMemory>>20))
	w.Check(most.descriptors <= maxDescriptors, qt.IsTrue, qt.Commentf("%d descriptors", most.descriptors))
}

// holds checks a crowd that comes, stays and leaves.
func holds(t *testing.T, send member, address func(int) string) {
	t.Helper()
	w := start(t)
	w.mustHold(func() {
		c := w.gather(send, address)
		w.mustServe("127.0.8.1")
		c.leave()
	})
}

// Guards against routers that keep what each caller sends of a body, without a bound for all of them: callers
// that stop short of the end of their bodies took a router over its instance's memory.
func TestLargeChunksFromOneAddress(t *testing.T) { holds(t, chunkedShort(64<<10), oneAddress) }

func TestLargeChunksFromManyAddresses(t *testing.T) { holds(t, chunkedShort(64<<10), manyAddresses) }

func TestOneChunkShortOfItsEnd(t *testing.T) { holds(t, chunkedShort(maxBody), manyAddresses) }

func TestVerySmallChunksFromOneAddress(t *testing.T) { holds(t, chunkedShort(8), oneAddress) }

func TestVerySmallChunksFromManyAddresses(t *testing.T) { holds(t, chunkedShort(8), manyAddresses) }

func TestALastChunkThatNeverComes(t *testing.T) { holds(t, lastChunkMissing(64<<10), manyAddresses) }

func TestALengthThatIsNotKept(t *testing.T) { holds(t, lengthNotKept(maxBody-1), manyAddresses) }

func TestALengthWithoutABody(t *testing.T) { holds(t, lengthNotKept(0), manyAddresses) }

func TestOneByteWrites(t *testing.T) { holds(t, byteWise, manyAddresses) }

func TestTrailersWithoutEnd(t *testing.T) { holds(t, trailersWithoutEnd, manyAddresses) }

func TestHeadsWithoutEnd(t *testing.T) { holds(t, headWithoutEnd, manyAddresses) }

func TestBodiesWithAnUnknownKey(t *testing.T) {
	holds(t, unknownKey(chunkedShort(64<<10)), manyAddresses)
}

// Guards against bytes that wait unread behind a request at work: they count toward the instance's memory.
func TestRequestsBehindOneAtWork(t *testing.T) {
	w := start(t)
	w.pause.Store(int64(3 * time.Second))
	w.mustHold(func() {
		c := w.gather(requestsBehind, manyAddresses)
		w.mustServe("127.0.8.1")
		c.leave()
	})
}

// Guards against bodies that are kept, or copied, while their requests are at work.
func TestWholeBodiesAtWork(t *testing.T) {
	w := start(t)
	w.pause.Store(int64(3 * time.Second))
	w.mustHold(func() {
		c := w.gather(wholeRequest, manyAddresses)
		w.mustServe("127.0.8.1")
		c.leave()
	})
}

// Guards against answers that pile up before callers who do not read them.
func TestAnswersThatAreNotRead(t *testing.T) {
	w := start(t)
	w.answer.Store(8 << 20)
	w.mustHold(func() {
		c := w.gather(wholeRequest, manyAddresses)
		w.answer.Store(100)
		w.mustServe("127.0.8.1")
		c.leave()
	})
}

// The same for callers whose requests cost nothing, so that all of them are answered.
func TestLargeAnswersToSmallRequestsThatAreNotRead(t *testing.T) {
	w := start(t)
	w.answer.Store(8 << 20)
	w.mustHold(func() {
		c := w.gather(smallRequest, manyAddresses)
		time.Sleep(2 * time.Second)
		w.answer.Store(100)
		w.mustServe("127.0.8.1")
		c.leave()
	})
}

// crowdRounds is how often a crowd comes again.
const crowdRounds = 3

// Guards against memory that is not given back when callers leave: the same crowd comes again and again.
func TestACrowdThatComesAgain(t *testing.T) {
	w := start(t)
	w.mustHold(func() {
		c := w.gather(chunkedShort(64<<10), manyAddresses)
		for range crowdRounds - 1 {
			c.leave()
			c.come()
		}
		w.mustServe("127.0.8.1")
		c.leave()
	})
}

// A router that a crowd is connected to is stopped in order, and its next life serves beside the same crowd.
func TestACrowdWhileTheRouterIsStopped(t *testing.T) {
	w := start(t)
	w.mustHold(func() {
		c := w.gather(chunkedShort(64<<10), manyAddresses)
		w.router.Signal(syscall.SIGTERM)
		w.Assert(w.router.Wait(startBound), qt.IsTrue, qt.Commentf("the router still runs"))
		w.Check(w.router.Exit(), qt.IsNil)
		w.Assert(w.router.Start(), qt.IsNil)
		w.waitReady()
		c.come()
		w.mustServe("127.0.8.1")
		c.leave()
	})
}

// A router that a crowd is connected to gets a new configuration, which takes the crowd's key away.
func TestACrowdWhileTheConfigurationChanges(t *testing.T) {
	w := start(t)
	w.mustHold(func() {
		c := w.gather(chunkedShort(64<<10), manyAddresses)
		w.configure("key-2")
		time.Sleep(2 * time.Second)
		w.mustServe("127.0.8.1")
		c.leave()
	})
}
