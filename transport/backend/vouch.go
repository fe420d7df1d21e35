package backend

import (
	"io"
	"math"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"goldcrestport/coordination/vouching"
)

// Trust is what a request needs to know of the process that its connection leads to.
type Trust int

// Degrees of trust.
const (
	// AnyProcess: whichever process serves there.
	AnyProcess Trust = iota
	// NoSuspect: one whose connection is vouched for, or any while there is no sign that the
	// process behind the server's entry is another one.
	NoSuspect
	// VouchedFor: one whose connection is vouched for.
	VouchedFor
)

// ErrUnknownProcess means that the connection may lead to another process than the one that wrote
// the server's entry.
var ErrUnknownProcess = errors.New("the process behind the server's entry is not known")

// Entered records that the server's entry is new to this router, or names another version than
// before: connections that were opened before say nothing about it.
func (p *Pool) Entered(id string) {
	one := p.peerOf(id)
	one.lastAnswered.Store(0)
	one.entryMu.Lock()
	defer one.entryMu.Unlock()
	one.entry = vouching.Entry{SeenAt: sinceEpochDuration()}
	one.generation++
}

// Confirmed records that all entries were current at the time.
func (p *Pool) Confirmed(at time.Time) {
	p.confirmMu.Lock()
	defer p.confirmMu.Unlock()
	p.confirmations = p.cfg.Vouching.Confirm(p.confirmations, at.Sub(epoch))
}

// DeathSeen records that a process of the server ended the given time ago.
func (p *Pool) DeathSeen(id string, ago time.Duration) { p.peerOf(id).deathSeen(ago) }

func (one *peer) deathSeen(ago time.Duration) {
	one.entryMu.Lock()
	defer one.entryMu.Unlock()
	one.entry = one.entry.DeathSeen(sinceEpochDuration() - ago)
}

// endSeen records a sign that the process has ended that was known since the time.
func (one *peer) endSeen(since time.Duration) {
	one.entryMu.Lock()
	defer one.entryMu.Unlock()
	one.entry = one.entry.EndSeen(since)
}

// endSeen records that the server ended the connection: a sign that its process ended, unless another
// one to the same process is open.
func (c *conn) endSeen() {
	if c.peer.openSince(c) > c.since {
		c.peer.endSeen(c.since)
	}
}

// never is later than any time.
const never = time.Duration(math.MaxInt64)

// openSince returns since when the process is known to which a connection is open now, other than the
// given one and those to a process before the present entry; never if there is none.
func (one *peer) openSince(except *conn) time.Duration {
	one.entryMu.Lock()
	generation := one.generation
	one.entryMu.Unlock()
	since := never
	for _, c := range one.openConns() {
		if c == except || c.generation != generation || c.since >= since {
			continue
		}
		if open, _ := c.look(); open {
			since = c.since
		}
	}
	return since
}

// Offers reports whether the server has, or is likely to get, a connection that the trust allows.
func (p *Pool) Offers(id string, need Trust) bool {
	if need == AnyProcess {
		return true
	}
	one := p.peerOf(id)
	// A connection that is opened now leads to the process of those that are open.
	since := min(one.knownSince(), sinceEpochDuration())
	if p.cfg.Vouching.Vouches(p.entryOf(one), since) {
		return true
	}
	return need == NoSuspect && !p.cfg.Vouching.IsSuspect(p.entryOf(one))
}

// knownSince returns since when the process is known to which connections are open now; never if there
// is none.
func (one *peer) knownSince() time.Duration {
	since := one.openSince(nil)
	if since == never {
		one.noticeEnd()
	}
	return since
}

// noticeEnd records the end of the server's process if all connections to it have ended, of which none
// may have been read since.
func (one *peer) noticeEnd() {
	for _, c := range one.openConns() {
		if _, ended := c.look(); ended {
			c.endSeen()
		}
	}
}

// entryOf returns what is known of the server's entry.
func (p *Pool) entryOf(one *peer) vouching.Entry {
	one.entryMu.Lock()
	e := one.entry
	one.entryMu.Unlock()
	p.confirmMu.Lock()
	defer p.confirmMu.Unlock()
	e.ConfirmedAt, e.ResumedAt = p.confirmations.ConfirmedAt, p.confirmations.ResumedAt
	return e
}

// isVouched reports whether the connection is vouched for, as long as it is open.
func (p *Pool) isVouched(c *conn) bool {
	c.peer.entryMu.Lock()
	isCurrent := c.generation == c.peer.generation
	c.peer.entryMu.Unlock()
	return isCurrent && p.cfg.Vouching.Vouches(p.entryOf(c.peer), c.since)
}

// allows reports whether the connection, which is open, may carry a request that needs the trust.
func (p *Pool) allows(c *conn, need Trust) bool {
	switch need {
	case AnyProcess:
		return true
	case NoSuspect:
		return p.isVouched(c) || !p.cfg.Vouching.IsSuspect(p.entryOf(c.peer))
	default:
		return p.isVouched(c)
	}
}

// entryGeneration returns the number of the server's entry.
func (one *peer) entryGeneration() uint64 {
	one.entryMu.Lock()
	defer one.entryMu.Unlock()
	return one.generation
}

// join adds the connection, which was just opened, to those of its server.
func (one *peer) join(c *conn) {
	c.openedAt = sinceEpochDuration()
	c.since = min(c.openedAt, one.knownSince())
	one.entryMu.Lock()
	defer one.entryMu.Unlock()
	if one.conns == nil {
		one.conns = make(map[*conn]struct{})
	}
	one.conns[c] = struct{}{}
}

// leave removes a connection that is closed.
func (one *peer) leave(c *conn) {
	one.entryMu.Lock()
	defer one.entryMu.Unlock()
	delete(one.conns, c)
}

// openConns returns the connections that are not closed by this router.
func (one *peer) openConns() []*conn {
	one.entryMu.Lock()
	defer one.entryMu.Unlock()
	out := make([]*conn, 0, len(one.conns))
	for c := range one.conns {
		out = append(out, c)
	}
	return out
}

// look reports whether the connection is open, or its server has ended it, as far as has arrived. It
// may be called while the connection is being read. Unread bytes may hide an end, so that neither is
// known then.
func (c *conn) look() (open, ended bool) {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, readErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = readErr == unix.EAGAIN
		ended = readErr == nil && n == 0 || readErr == unix.ECONNRESET
	})
	return err == nil && open, err == nil && ended
}

// isEndedByServer reports whether the error of a read is the end of the connection by its server.
func isEndedByServer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func sinceEpochDuration() time.Duration { return time.Since(epoch) }

// HasEnded reports whether the connections to the server show that its process has ended: there are
// some, other than the answer's own, and the server has closed them all.
func (a *Answer) HasEnded() bool {
	ended := 0
	for _, c := range a.conn.peer.openConns() {
		if c == a.conn || c.openedAt > a.conn.openedAt && c.since > a.conn.since {
			continue
		}
		open, hasEnded := c.look()
		if open {
			return false
		}
		if hasEnded {
			ended++
		}
	}
	return ended > 0
}

// IsUnsuspected reports whether the answer's connection is vouched for, or there is no sign that the
// process behind the server's entry is another one.
func (a *Answer) IsUnsuspected() bool { return a.pool.allows(a.conn, NoSuspect) }

// IsVouched reports whether the answer's connection is vouched for: it comes from a process of the
// version that the server's entry names.
func (a *Answer) IsVouched() bool { return a.pool.isVouched(a.conn) }
