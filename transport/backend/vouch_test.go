package backend

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// process is one process of a server that accepts connections and keeps them.
type process struct {
	lis   net.Listener
	conns chan net.Conn
}

func startProcess(c *qt.C, address string) *process {
	lis, err := net.Listen("tcp", address)
	c.Assert(err, qt.IsNil)
	p := &process{lis, make(chan net.Conn, 16)}
	c.Cleanup(p.end)
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			p.conns <- conn
		}
	}()
	return p
}

// end ends the process: its connections end with it.
func (p *process) end() {
	_ = p.lis.Close()
	for {
		select {
		case conn := <-p.conns:
			_ = conn.Close()
		case <-time.After(5 * time.Millisecond):
			return
		}
	}
}

// vouchFixture is a pool before one server whose entry it knows.
type vouchFixture struct {
	*qt.C
	pool *Pool
	to   Target
	p    *process
}

func startVouching(t *testing.T, lag time.Duration) *vouchFixture {
	c := qt.New(t)
	p := startProcess(c, "127.0.0.1:0")
	cfg := DefaultConfig()
	cfg.Vouching.EntryLag = lag
	f := &vouchFixture{C: c, pool: NewPool(cfg), to: Target{ID: "i-1", Address: p.lis.Addr().String()}, p: p}
	f.pool.Entered("i-1")
	return f
}

// open opens a connection, returns whether it is vouched for, and keeps it.
func (f *vouchFixture) open() bool {
	f.Helper()
	conn, err := f.pool.dial(context.Background(), f.to)
	f.Assert(err, qt.IsNil)
	f.pool.put(conn, time.Now())
	return f.pool.isVouched(conn)
}

// confirmUntil confirms the entries again and again until the server is offered with the trust, which
// is not before the lag is over. A confirmation that is late by half of the lag begins anew.
func (f *vouchFixture) confirmUntil(lag time.Duration, need Trust) {
	f.Helper()
	begin := time.Now()
	for range 100 {
		f.pool.Confirmed(time.Now())
		if f.pool.Offers("i-1", need) {
			f.Check(time.Since(begin) >= lag, qt.IsTrue)
			return
		}
		time.Sleep(lag / 5)
	}
	f.Error("the server is not offered though its entries are confirmed")
}

// restart ends the process and starts another one at its address.
func (f *vouchFixture) restart() {
	f.p.end()
	f.p = startProcess(f.C, f.to.Address)
}

// A connection that is opened beside a vouched one is vouched for, long after the entry was new;
// after a restart nothing at the address is, until its entry is rewritten or confirmed for long.
func TestConnectionsInheritUntilTheProcessEnds(t *testing.T) {
	const lag = 50 * time.Millisecond
	f := startVouching(t, lag)
	f.Check(f.open(), qt.IsTrue)
	time.Sleep(100 * time.Millisecond)
	f.Check(f.open(), qt.IsTrue)
	f.Check(f.pool.Offers("i-1", VouchedFor), qt.IsTrue)
	f.restart()
	f.Check(f.pool.Offers("i-1", VouchedFor), qt.IsFalse)
	f.Check(f.open(), qt.IsFalse)
	_, err := f.pool.get(context.Background(), f.to, VouchedFor)
	f.Check(errors.Is(err, ErrUnknownProcess), qt.IsTrue)
	got, err := f.pool.get(context.Background(), f.to, AnyProcess)
	f.Assert(err, qt.IsNil)
	f.pool.put(got, time.Now())
	// The entry stays as it is for longer than the new process would need to change it.
	f.confirmUntil(lag, VouchedFor)
	// Its entry names another version after all: older connections say nothing about it.
	f.pool.Entered("i-1")
	_, old := f.pool.get(context.Background(), f.to, VouchedFor)
	f.Check(old, qt.IsNil)
	f.Check(f.pool.isVouched(got), qt.IsFalse)
}

// Where there is one version only, a server is used unless its process is known to have ended, and
// again once its entry would have changed since.
func TestAKnownEndMakesAServerSuspect(t *testing.T) {
	const lag = 50 * time.Millisecond
	f := startVouching(t, lag)
	time.Sleep(100 * time.Millisecond)
	f.Check(f.pool.Offers("i-1", VouchedFor), qt.IsFalse)
	f.Check(f.pool.Offers("i-1", NoSuspect), qt.IsTrue)
	f.pool.DeathSeen("i-1", 0)
	f.Check(f.pool.Offers("i-1", NoSuspect), qt.IsFalse)
	_, err := f.pool.get(context.Background(), f.to, NoSuspect)
	f.Check(errors.Is(err, ErrUnknownProcess), qt.IsTrue)
	f.confirmUntil(lag, NoSuspect)
}

// A refused connection, and one that the server closed while it was idle, are signs that its
// process ended.
func TestSignsOfAnEnd(t *testing.T) {
	f := startVouching(t, time.Minute)
	f.Check(f.open(), qt.IsTrue)
	f.restart()
	f.Check(f.pool.takeIdle("i-1", time.Now(), AnyProcess), qt.IsNil)
	f.Check(f.open(), qt.IsFalse)
	f.pool.Entered("i-1")
	f.p.end()
	_, err := f.pool.dial(context.Background(), f.to)
	f.Check(err, qt.IsNotNil)
	f.p = startProcess(f.C, f.to.Address)
	f.Check(f.open(), qt.IsFalse)
}

// Witnesses carry no request, and are closed when nobody asks to keep them.
func TestWitnessesCarryNoRequest(t *testing.T) {
	f := startVouching(t, 50*time.Millisecond)
	one := f.pool.peerOf("i-1")
	f.Assert(f.pool.KeepVouched(context.Background(), f.to), qt.IsNil)
	f.Check(f.pool.takeIdle("i-1", time.Now(), AnyProcess), qt.IsNil)
	time.Sleep(100 * time.Millisecond)
	f.Check(f.open(), qt.IsTrue)
	f.pool.Sweep(time.Now())
	f.Check(one.witnesses.newest, qt.IsNotNil)
	f.restart()
	f.Assert(f.pool.KeepVouched(context.Background(), f.to), qt.IsNil)
	f.Check(f.open(), qt.IsFalse)
	f.pool.Forget("i-1")
	f.Check(one.witnesses.newest, qt.IsNil)
}

// Guards against gaps between witnesses of a server that closes idle connections: the process is known
// since the first one, whatever the server's idle timeout.
func TestWitnessesFollowEachOtherWithoutAGap(t *testing.T) {
	f := startVouching(t, 4*time.Second)
	one := f.pool.peerOf("i-1")
	const idleTimeout = time.Second
	go func() {
		for conn := range f.p.conns {
			time.AfterFunc(idleTimeout, func() { _ = conn.Close() })
		}
	}()
	for end := time.Now().Add(3500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		f.Assert(f.pool.KeepVouched(context.Background(), f.to), qt.IsNil)
		f.Check(f.pool.Offers("i-1", VouchedFor), qt.IsTrue)
	}
	f.Check(sinceEpochDuration()-one.witnesses.newest.since > 3*time.Second, qt.IsTrue)
	f.Check(one.entry.Ended, qt.IsFalse)
}

// A server that keeps connections gets few.
func TestAServerThatKeepsWitnessesGetsFew(t *testing.T) {
	f := startVouching(t, 50*time.Millisecond)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		f.Assert(f.pool.KeepVouched(context.Background(), f.to), qt.IsNil)
	}
	f.Check(f.pool.Dials() <= 8, qt.IsTrue, qt.Commentf("%d connections", f.pool.Dials()))
	f.Check(f.pool.peerOf("i-1").openConns(), qt.HasLen, 2)
}

// Guards against streams that nobody can take up in the first seconds of a release: until then an
// entry without a sign was enough, so that it is the base of what follows; a suspect one is not.
func TestAnEntryIsTrustedWhenWitnessesBegin(t *testing.T) {
	f := startVouching(t, 100*time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	f.Check(f.pool.Offers("i-1", VouchedFor), qt.IsFalse)
	f.Assert(f.pool.KeepVouched(context.Background(), f.to), qt.IsNil)
	f.Check(f.open(), qt.IsTrue)
	suspect := startVouching(t, 100*time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	suspect.pool.DeathSeen("i-1", 0)
	suspect.Assert(suspect.pool.KeepVouched(context.Background(), suspect.to), qt.IsNil)
	suspect.Check(suspect.open(), qt.IsFalse)
}

// Guards against a stream that goes on at another process, which came within the lag of a new entry: the
// sign of the former one's end is not forgotten when witnesses begin.
func TestASignOfAnEndIsNotForgottenWhenWitnessesBegin(t *testing.T) {
	f := startVouching(t, time.Minute)
	f.Check(f.open(), qt.IsTrue)
	f.restart()
	f.Check(f.open(), qt.IsFalse)
	f.Assert(f.pool.KeepVouched(context.Background(), f.to), qt.IsNil)
	f.Check(f.open(), qt.IsFalse)
}

// An end of one connection is no sign of an end of the process while an older one is open.
func TestAnEndBesideAnOpenConnectionIsNoSign(t *testing.T) {
	f := startVouching(t, time.Minute)
	f.Check(f.open(), qt.IsTrue)
	f.Check(f.open(), qt.IsTrue)
	first := <-f.p.conns
	_ = (<-f.p.conns).Close()
	time.Sleep(5 * time.Millisecond)
	f.Check(f.pool.Offers("i-1", VouchedFor), qt.IsTrue)
	f.Check(f.open(), qt.IsTrue)
	f.Check(f.pool.peerOf("i-1").entry.Ended, qt.IsFalse)
	f.p.conns <- first
}

// Guards against a crashed server whose address another process takes at once: that one accepts
// connections, and the first one's answer, whose end nothing marked, would count as whole.
func TestAnAnswerKnowsThatItsProcessEnded(t *testing.T) {
	f := startVouching(t, time.Minute)
	f.Assert(f.pool.KeepVouched(context.Background(), f.to), qt.IsNil)
	conn, err := f.pool.dial(context.Background(), f.to)
	f.Assert(err, qt.IsNil)
	a := &Answer{pool: f.pool, conn: conn}
	f.Check(a.HasEnded(), qt.IsFalse)
	f.restart()
	_, err = f.pool.dial(context.Background(), f.to)
	f.Assert(err, qt.IsNil)
	f.Check(a.HasEnded(), qt.IsTrue)
}
