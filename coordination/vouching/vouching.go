// Package vouching decides whether a connection leads to a process of the software version that a
// backend server's entry names.
//
// A server may start again as another version under its id and address, and its entry names the
// former one until the new process has written its own, or for longer while the store is away. A
// connection belongs to one process until it ends, and one that is opened while another is open
// leads to the same process. So the question is since when a process is known.
//
// The package performs no I/O and reads no clock. Direct routers use it.
package vouching

import "time"

// Config holds the time that entries need.
type Config struct {
	// EntryLag is within which a process that has started has written its entry, or the entry of
	// the former one has lapsed. Default 4s: three heartbeats of a second and the way to the
	// store and back.
	EntryLag time.Duration
	// ConfirmEvery is the interval at which entries are confirmed in a fleet that reaches the store.
	// Default 1s.
	ConfirmEvery time.Duration
}

// DefaultConfig returns the documented default.
func DefaultConfig() Config { return Config{EntryLag: 4 * time.Second, ConfirmEvery: time.Second} }

// Entry is what a router knows of a server's entry. Times are on one clock.
type Entry struct {
	// SeenAt is when the router first knew the entry with its version.
	SeenAt time.Duration
	// ConfirmedAt is when all entries were last known to be current, and ResumedAt when that was
	// known again after a time in which it was not: until then no process may have been able to
	// write its entry.
	ConfirmedAt, ResumedAt time.Duration
	// Ended means that there was a sign, since SeenAt, that a process of the server ended, and
	// DoubtedFrom since when the process was known that may have ended, the earliest of all signs.
	Ended       bool
	DoubtedFrom time.Duration
	// Died means that a process of the server is known to have ended, and DiedAt when it was last.
	Died   bool
	DiedAt time.Duration
}

// EndSeen returns the entry after a sign that the process ended which was known since the given time:
// the server closed a connection that was to stay open. One that lives may do so, too.
func (e Entry) EndSeen(since time.Duration) Entry {
	if !e.Ended || since < e.DoubtedFrom {
		e.DoubtedFrom = since
	}
	e.Ended = true
	return e
}

// DeathSeen returns the entry after a process is known to have ended by the time: the server refused
// a connection, or another router says so.
func (e Entry) DeathSeen(at time.Duration) Entry {
	e.Died, e.DiedAt = true, max(at, e.DiedAt)
	return e.EndSeen(at)
}

// Vouches reports whether a connection leads to a process of the entry's version. Since is when it was
// opened or, if another one was open then, when that one was, and so on: as long as one connection
// follows the other, both lead to one process.
//
// It does if the process served so long before the entries were last confirmed that it would have
// written another entry; or if it served when the entry was new, and none is known to have ended since.
func (c Config) Vouches(e Entry, since time.Duration) bool {
	if c.wouldShow(e, since) {
		return true
	}
	return since <= e.SeenAt+c.EntryLag && !(e.Ended && e.DoubtedFrom <= since)
}

// IsSuspect reports whether the process behind the entry is another one than that which wrote it, as
// far as is known: that one ended, and an entry of another would not be known yet.
func (c Config) IsSuspect(e Entry) bool { return e.Died && !c.wouldShow(e, e.DiedAt) }

// wouldShow reports whether the entry of a process that served at the time would be known.
func (c Config) wouldShow(e Entry, at time.Duration) bool {
	return e.ConfirmedAt >= max(at, e.ResumedAt)+c.EntryLag
}

// Confirmations tracks when the entries were known to be current.
type Confirmations struct {
	// ConfirmedAt and ResumedAt are those of an Entry.
	ConfirmedAt, ResumedAt time.Duration
}

// Confirm records that the entries were current at the time. Times may come in any order.
func (c Config) Confirm(s Confirmations, at time.Duration) Confirmations {
	if at <= s.ConfirmedAt {
		return s
	}
	if at > s.ConfirmedAt+c.EntryLag/2 {
		s.ResumedAt = at
	}
	s.ConfirmedAt = at
	return s
}
