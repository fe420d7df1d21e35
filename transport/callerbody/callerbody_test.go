package callerbody

import (
	"bytes"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/bodybudget"
)

const mib = 1 << 20

func newBudget(limit int64) *Budget {
	return NewBudget(bodybudget.DefaultConfig(), limit, func(int64) {})
}

// stuck is a caller that sends some bytes and then nothing, until it is interrupted.
type stuck struct {
	send []byte
	// waits is closed once all is sent, ended when the reading is interrupted.
	waits, ended chan struct{}
	once         sync.Once
}

func newStuck(n int) *stuck {
	return &stuck{send: make([]byte, n), waits: make(chan struct{}), ended: make(chan struct{})}
}

// errInterrupted is what a read of an interrupted connection returns.
var errInterrupted = errors.New("deadline passed")

func (s *stuck) Read(p []byte) (int, error) {
	if len(s.send) > 0 {
		n := copy(p, s.send)
		s.send = s.send[n:]
		return n, nil
	}
	s.once.Do(func() { close(s.waits) })
	<-s.ended
	return 0, errInterrupted
}

func (s *stuck) interrupt() { close(s.ended) }

// readStuck reads the body of a stuck caller on a goroutine until nothing more comes. The returned channel gets
// the error of the read, after which the body was released.
func readStuck(c *qt.C, b *Budget, s *stuck, length, limit int64) <-chan error {
	body, err := b.Open(Caller{Interrupt: s.interrupt}, length)
	c.Assert(err, qt.IsNil)
	done := make(chan error, 1)
	go func() {
		err := body.Read(s, length, limit)
		body.Release()
		done <- err
	}()
	<-s.waits
	return done
}

// A caller that declares a large length and sends little holds little.
func TestDeclaredLengthReservesNoMemory(t *testing.T) {
	c := qt.New(t)
	b := newBudget(4 * mib)
	s := newStuck(100)
	done := readStuck(c, b, s, 512<<10, mib)
	c.Check(b.Stats().Used, qt.Equals, int64(firstDeclaredStep))
	s.interrupt()
	c.Check(errors.Is(<-done, errInterrupted), qt.IsTrue)
	c.Check(b.Stats().Used, qt.Equals, int64(0))
}

// A body is read whole, in whatever pieces it comes, and holds no more than its size and one part.
func TestBodiesAreReadWhole(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 76))
	for _, size := range []int{0, 1, firstStep - 1, firstStep, firstStep + 1, firstDeclaredStep + 1, maxStep, 3*maxStep + 7, mib} {
		whole := make([]byte, size)
		for i := range whole {
			whole[i] = byte(rng.Uint32())
		}
		for _, declared := range []bool{true, false} {
			b := newBudget(8 * mib)
			length := int64(-1)
			if declared {
				length = int64(size)
			}
			body, err := b.Open(Caller{}, length)
			c.Assert(err, qt.IsNil)
			c.Assert(body.Read(oneByOne{bytes.NewReader(whole), rng}, length, mib), qt.IsNil)
			c.Check(body.Len(), qt.Equals, size)
			c.Check(bytes.Equal(slices.Concat(body.Parts()...), whole), qt.IsTrue)
			c.Check(b.Stats().Used <= int64(size+maxStep), qt.IsTrue)
			joined, err := body.Joined()
			c.Assert(err, qt.IsNil)
			c.Check(bytes.Equal(joined, whole), qt.IsTrue)
			c.Check(b.Stats().Used <= int64(size+maxStep), qt.IsTrue)
			body.Release()
			c.Check(b.Stats().Used, qt.Equals, int64(0))
		}
	}
}

// oneByOne returns a few bytes with each read.
type oneByOne struct {
	from io.Reader
	rng  *rand.Rand
}

func (o oneByOne) Read(p []byte) (int, error) {
	return o.from.Read(p[:min(len(p), 1+o.rng.IntN(5000))])
}

func TestBodiesThatAreTooLargeOrTooShort(t *testing.T) {
	c := qt.New(t)
	b := newBudget(8 * mib)
	for _, tc := range []struct {
		length int64
		sent   int
		want   error
	}{
		{1001, 1001, ErrTooLarge}, {-1, 1001, ErrTooLarge}, {1000, 1000, nil}, {-1, 1000, nil}, {1000, 999, io.ErrUnexpectedEOF},
	} {
		body, err := b.Open(Caller{}, tc.length)
		c.Assert(err, qt.IsNil)
		err = body.Read(strings.NewReader(strings.Repeat("x", tc.sent)), tc.length, 1000)
		c.Check(errors.Is(err, tc.want) || err == tc.want, qt.IsTrue, qt.Commentf("%+v: %v", tc, err))
		body.Release()
	}
	c.Check(b.Stats().Used, qt.Equals, int64(0))
}

// A body that waits for memory gets it when a stalled one has ended, whose reading fails with ErrFull.
func TestAStalledBodyEndsForAnother(t *testing.T) {
	c := qt.New(t)
	cfg := bodybudget.DefaultConfig()
	cfg.StallTime = 20 * time.Millisecond
	b := NewBudget(cfg, 4*mib, func(int64) {})
	var ends []<-chan error
	for range 3 {
		ends = append(ends, readStuck(c, b, newStuck(mib-1), mib, mib))
	}
	time.Sleep(2 * cfg.StallTime)
	body, err := b.Open(Caller{}, mib)
	c.Assert(err, qt.IsNil)
	c.Assert(body.Read(bytes.NewReader(make([]byte, mib)), mib, mib), qt.IsNil)
	ended := 0
	for _, end := range ends {
		select {
		case err := <-end:
			ended++
			c.Check(errors.Is(err, ErrFull), qt.IsTrue)
		default:
		}
	}
	c.Check(ended >= 1, qt.IsTrue)
	c.Check(b.Stats().Ended >= 1, qt.IsTrue)
	body.Release()
}

// A large body is charged for its connection's receive buffer too, once; a small one is not.
func TestALargeBodyCostsItsReceiveBuffer(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{maxStep, 4 * maxStep} {
		b := newBudget(4 * mib)
		calls := 0
		body, err := b.Open(Caller{OnLarge: func() { calls++ }, LargeOverhead: 1000}, int64(size))
		c.Assert(err, qt.IsNil)
		c.Assert(body.Read(bytes.NewReader(make([]byte, size)), int64(size), mib), qt.IsNil)
		isLarge := size > maxStep
		c.Check(calls == 1, qt.Equals, isLarge)
		c.Check(b.Stats().Used == int64(size), qt.Equals, !isLarge)
		c.Check(b.Stats().Used <= int64(size+1000), qt.IsTrue)
		body.Release()
	}
}

// A body is given back once its last holder has released it: an abandoned send may still read it.
func TestABodyIsHeldUntilItsLastHolderReleasesIt(t *testing.T) {
	c := qt.New(t)
	b := newBudget(4 * mib)
	body, err := b.Open(Caller{}, 10)
	c.Assert(err, qt.IsNil)
	c.Assert(body.Read(strings.NewReader("0123456789"), 10, 10), qt.IsNil)
	body.Retain()
	body.Release()
	c.Check(b.Stats().Used, qt.Equals, int64(10))
	body.Release()
	c.Check(b.Stats().Used, qt.Equals, int64(0))
	var none *Body
	none.Retain()
	none.Release()
	c.Check(none.Len(), qt.Equals, 0)
	c.Check(none.Parts(), qt.HasLen, 0)
}

// Many callers that come, stall, are refused and leave at once: the account never exceeds its limit and ends at 0.
func TestManyCallersAtOnce(t *testing.T) {
	c := qt.New(t)
	cfg := bodybudget.DefaultConfig()
	cfg.StallTime = 5 * time.Millisecond
	const limit = 8 * mib
	over := false
	b := NewBudget(cfg, limit, func(used int64) { over = over || used > limit })
	var running sync.WaitGroup
	for worker := range 40 {
		rng := rand.New(rand.NewPCG(uint64(worker), 76))
		running.Go(func() {
			for range 20 {
				size := 1 + rng.IntN(mib)
				s := newStuck(size)
				var once sync.Once
				interrupt := func() { once.Do(s.interrupt) }
				body, err := b.Open(Caller{Interrupt: interrupt}, -1)
				if err != nil {
					continue
				}
				leave := time.AfterFunc(time.Duration(rng.IntN(20))*time.Millisecond, interrupt)
				_ = body.Read(s, -1, mib)
				leave.Stop()
				body.Release()
			}
		})
	}
	running.Wait()
	c.Check(over, qt.IsFalse)
	c.Check(b.Stats().Used, qt.Equals, int64(0))
	c.Check(b.Stats().Bodies, qt.Equals, 0)
}
