// Package eventstream follows the events of a stream that is passed on, so that its caller
// gets whole events only and it can go on at another server after the last one that the
// caller has.
//
// Direct routers use it, and sidecars its Position.
package eventstream

import (
	"time"
)

// Follower is one stream towards a caller. The zero value is one without events.
type Follower struct {
	// position is that of the bytes of the stream that came, and before the number of events
	// of the streams that this one goes on after.
	position Position
	before   int

	// held is the begin of the event under way, and out what Take returned last.
	held []byte
	out  []byte
	// isTorn tells that a part of the event under way was passed on.
	isTorn bool

	// last is the event that was passed on last, count the number of them, and taken that of
	// those that Take returned last.
	last  Event
	count int
	taken int
	// at is when the last of them was, and pause the longest time between two.
	at    time.Time
	pause time.Duration
}

// mostHeld bounds what is held back of an event, in bytes. What is longer is passed on in
// pieces.
const mostHeld = 256 << 10

// PassedOn notes that what Take returned was passed on now.
func (f *Follower) PassedOn(now time.Time) {
	if f.taken == 0 {
		return
	}
	if !f.at.IsZero() {
		f.pause = max(f.pause, now.Sub(f.at))
	}
	f.at = now
	f.count += f.taken
	f.taken = 0
}

// Count returns the number of events that were passed on.
func (f *Follower) Count() int { return f.count }

// Pause returns the longest time between two events that were passed on.
func (f *Follower) Pause() time.Duration { return f.pause }

// LastEvent returns the id of the last event that was passed on; empty if it has none.
func (f *Follower) LastEvent() string {
	if !f.last.IsNamed {
		return ""
	}
	return string(f.last.ID)
}

// Restart forgets what was held back: another server goes on after the last event.
func (f *Follower) Restart() {
	f.held = f.held[:0]
	f.position.restart()
	f.before = f.position.Count()
}

// Events returns the number of whole events that came since the last restart.
func (f *Follower) Events() int { return f.position.Count() - f.before }

// IsInside reports whether what came ends inside an event.
func (f *Follower) IsInside() bool { return f.position.IsInside() }

// Rest returns what is held back.
func (f *Follower) Rest() []byte { return f.held }

// Take takes data of the stream and returns what of it, and of what was held back before, is
// to be passed on: whole events. The result is valid until the next call.
func (f *Follower) Take(data []byte) []byte {
	safe, n := 0, 0
	f.taken = 0
	for n < len(data) {
		size, isBetween, ended := f.position.next(data[n:])
		n += size
		if ended {
			f.ended()
		}
		if isBetween {
			safe = n
		}
	}
	return f.split(data, safe)
}

// ended notes that an event ended.
func (f *Follower) ended() {
	f.taken++
	f.last.ID = append(f.last.ID[:0], f.position.last.ID...)
	f.last.IsNamed = f.position.last.IsNamed
}

// split returns what is held back together with the data up to safe, and holds back the rest.
func (f *Follower) split(data []byte, safe int) []byte {
	if safe == 0 {
		return f.hold(data)
	}
	f.isTorn = false
	out := data[:safe]
	if len(f.held) > 0 {
		f.out = append(append(f.out[:0], f.held...), out...)
		out = f.out
	}
	f.held = append(f.held[:0], data[safe:]...)
	return out
}

// hold holds the data back, unless the event is too long for that.
func (f *Follower) hold(data []byte) []byte {
	f.held = append(f.held, data...)
	if !f.isTorn && len(f.held) <= mostHeld {
		return nil
	}
	f.isTorn = true
	f.out = append(f.out[:0], f.held...)
	f.held = f.held[:0]
	return f.out
}
