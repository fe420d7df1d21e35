// Package eventstream follows the events of a stream that is passed on, so that its caller
// gets whole events only and it can go on at another server after the last one that the
// caller has.
//
// Direct routers use it, and sidecars its Position.
package eventstream

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotContinued means that a stream does not go on after the last event that its caller has.
var ErrNotContinued = errors.New("the stream does not go on after the last event")

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
	// continues tells that the stream goes on after one of which events were passed on,
	// resumes that it does so or that its caller has events of an earlier answer.
	continues, resumes bool
	// isFirst tells that nothing of the stream was passed on since the last restart.
	isFirst bool
	// isSparse tells that the ids of the events did not go up by one each time.
	isSparse bool

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

// ResumeAfter notes that the caller has the events up to that of the id, of an earlier answer.
func (f *Follower) ResumeAfter(id string) {
	f.last = Event{ID: []byte(id), IsNamed: id != ""}
	f.resumes = isNumber(f.last.ID)
}

// Restart forgets what was held back: another server goes on after the last event.
func (f *Follower) Restart() {
	f.continues = f.count > 0
	f.resumes = f.resumes || f.continues
	f.isFirst = true
	f.held, f.isTorn, f.taken = f.held[:0], false, 0
	f.position.restart()
	f.before = f.position.Count()
}

// Events returns the number of whole events that came since the last restart.
func (f *Follower) Events() int { return f.position.Count() - f.before }

// IsInside reports whether what came ends inside an event.
func (f *Follower) IsInside() bool { return f.position.IsInside() }

// Continues reports whether the stream goes on after one of which events were passed on.
func (f *Follower) Continues() bool { return f.continues }

// CanGoOn reports whether another server can go on after what was passed on: after whole
// events, the last of which has an id that says which ones come later.
func (f *Follower) CanGoOn() bool {
	return !f.isTorn && (f.count == 0 || f.last.IsNamed && isNumber(f.last.ID))
}

// Rest returns what is held back.
func (f *Follower) Rest() []byte { return f.held }

// Take takes data of the stream and returns what of it, and of what was held back before, is
// to be passed on: whole events. The result is valid until the next call. An error means that
// an event, which is not among these, does not come after the last one that the caller has.
func (f *Follower) Take(data []byte) ([]byte, error) {
	safe, n := 0, 0
	f.taken = 0
	for n < len(data) {
		size, isBetween, ended := f.position.next(data[n:])
		n += size
		if ended && !f.isNext() {
			out, _ := f.split(data[:safe], safe)
			return out, ErrNotContinued
		}
		if ended {
			f.ended()
		}
		if isBetween {
			safe = n
		}
	}
	return f.split(data, safe)
}

// isNext reports whether the event that ended may follow the last one that the caller has.
func (f *Follower) isNext() bool {
	switch event := f.position.last; {
	case !f.resumes:
		return true
	case !event.IsNamed:
		return !f.continues
	case !isNumber(event.ID) || !isGreater(event.ID, f.last.ID):
		return false
	default:
		return !f.isJoint() || isSuccessor(event.ID, f.last.ID)
	}
}

// isJoint reports whether the event that ended is the first of a continuation, of a stream
// whose ids went up by one each time: a greater step leaves events out.
func (f *Follower) isJoint() bool {
	return f.continues && !f.isSparse && f.count > 1 && f.Events() == 1
}

// ended notes that an event ended.
func (f *Follower) ended() {
	if !f.isSparse && f.count+f.taken > 0 {
		f.isSparse = !isSuccessor(f.position.last.ID, f.last.ID)
	}
	f.taken++
	f.last.ID = append(f.last.ID[:0], f.position.last.ID...)
	f.last.IsNamed = f.position.last.IsNamed
}

// split returns what is held back together with the data up to safe, and holds back the rest.
func (f *Follower) split(data []byte, safe int) ([]byte, error) {
	if safe == 0 {
		return f.hold(data)
	}
	f.isTorn = false
	out := data[:safe]
	if len(f.held) > 0 {
		f.out = append(append(f.out[:0], f.held...), out...)
		out = f.out
	}
	if f.continues && f.isFirst {
		// A byte order mark has its place at the begin of what the caller gets only.
		out = bytes.TrimPrefix(out, byteOrderMark)
	}
	f.isFirst = false
	f.held = append(f.held[:0], data[safe:]...)
	return out, nil
}

// hold holds the data back, unless the event is too long for that. One that has to come after
// others is not passed on before its id is known.
func (f *Follower) hold(data []byte) ([]byte, error) {
	f.held = append(f.held, data...)
	if !f.isTorn && len(f.held) <= mostHeld {
		return nil, nil
	}
	if f.continues {
		return nil, ErrNotContinued
	}
	f.isTorn = true
	f.out = append(f.out[:0], f.held...)
	f.held = f.held[:0]
	return f.out, nil
}
