// Package eventstream tracks the events of a forwarded server-sent event stream, so that the
// caller receives complete events only and another server can resume the stream after the
// last event that the caller received.
//
// Direct routers use it; sidecars use only Position.
package eventstream

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotContinued means that a stream does not continue after the last event that its caller
// received.
var ErrNotContinued = errors.New("the stream does not go on after the last event")

// ErrEndless means that a stream goes on without completing an event.
var ErrEndless = errors.New("the stream goes on without an event")

// Follower tracks one stream to a caller. The zero value is a stream without events.
type Follower struct {
	// position is the parsing position in the received bytes, and eventsBefore the number of
	// events received before the last restart.
	position     Position
	eventsBefore int

	// buffered is the start of the incomplete event, and out the buffer for the result of
	// Take.
	buffered []byte
	out      []byte
	// hold asks for the memory that the two take beyond freeBuffered; nil: it is granted.
	hold func(bytes int64) bool
	// isPartlyForwarded reports whether a part of the incomplete event was forwarded.
	isPartlyForwarded bool
	// continues reports whether the stream continues one of which events were forwarded;
	// resumes is also true if the caller received events of an earlier answer.
	continues, resumes bool
	// isAtStart reports whether there was a restart and nothing was forwarded since.
	isAtStart bool
	// isSparse reports whether the event ids did not always increase by one.
	isSparse bool

	// last is the last event returned by Take, count the number of forwarded events, and taken
	// the number of events in the last result of Take.
	last  Event
	count int
	taken int
	// sinceEvent is the number of bytes received since the last complete event.
	sinceEvent int
	// lastForwarded is when the last event was forwarded, and pause the longest time between two.
	lastForwarded time.Time
	pause         time.Duration
}

// maxBuffered limits the buffered size of an incomplete event in bytes. Longer events are
// forwarded in pieces.
const maxBuffered = 128 << 10

// freeBuffered is the size in bytes up to which an incomplete event is held without asking.
const freeBuffered = 8 << 10

// SetHold sets what is asked for the memory that the stream takes for incomplete events, in bytes in all. An event
// for which there is none is forwarded in pieces, like one that is too long.
func (f *Follower) SetHold(hold func(bytes int64) bool) { f.hold = hold }

// mayHold reports whether the buffered start of an event may be kept. Both buffers may get its size.
func (f *Follower) mayHold() bool {
	return f.hold == nil || len(f.buffered) <= freeBuffered || f.hold(int64(2*cap(f.buffered)))
}

// trim gives back buffers that a long event took and that hold nothing.
func (f *Follower) trim() {
	if f.hold == nil || len(f.buffered) > 0 || cap(f.buffered) <= freeBuffered && cap(f.out) <= freeBuffered {
		return
	}
	f.buffered, f.out = nil, nil
	f.hold(0)
}

// maxSinceEvent limits the bytes that a stream may send without completing an event: one long event,
// comments or empty lines. The longest events contain a picture.
const maxSinceEvent = 2 << 20

// PassedOn records that the last result of Take was forwarded at the time now.
func (f *Follower) PassedOn(now time.Time) {
	if f.taken == 0 {
		return
	}
	if !f.lastForwarded.IsZero() {
		f.pause = max(f.pause, now.Sub(f.lastForwarded))
	}
	f.lastForwarded = now
	f.count += f.taken
	f.taken = 0
}

// Count returns the number of forwarded events.
func (f *Follower) Count() int { return f.count }

// Pause returns the longest time between two forwarded events.
func (f *Follower) Pause() time.Duration { return f.pause }

// LastEvent returns the id of the last forwarded event, or "" if it has none.
func (f *Follower) LastEvent() string {
	if !f.last.IsNamed {
		return ""
	}
	return string(f.last.ID)
}

// ResumeAfter records that the caller received the events up to the given id from an earlier
// answer.
func (f *Follower) ResumeAfter(id string) {
	f.last = Event{ID: []byte(id), IsNamed: id != ""}
	f.resumes = isNumber(f.last.ID)
}

// Restart discards the buffered data, because another server continues after the last event.
func (f *Follower) Restart() {
	f.continues = f.count > 0
	f.resumes = f.resumes || f.continues
	f.isAtStart = true
	f.buffered, f.isPartlyForwarded, f.taken, f.sinceEvent = f.buffered[:0], false, 0, 0
	f.position.restart()
	f.eventsBefore = f.position.Count()
}

// Events returns the number of complete events received since the last restart.
func (f *Follower) Events() int { return f.position.Count() - f.eventsBefore }

// IsInside reports whether the received data ends inside an event.
func (f *Follower) IsInside() bool { return f.position.IsInside() }

// Continues reports whether the stream continues one of which events were forwarded.
func (f *Follower) Continues() bool { return f.continues }

// maxCommentBytes limits the bytes that may have been forwarded after the last event for another server
// to resume: comments that keep a connection alive have some bytes each.
const maxCommentBytes = 4 << 10

// CanGoOn reports whether another server can resume after the forwarded data: no part of an
// incomplete event was forwarded, nor more than a few comments since the last one, and the last
// event, if any, has a numeric id, by which later events are recognised.
func (f *Follower) CanGoOn() bool {
	comments := f.sinceEvent - len(f.buffered)
	return !f.isPartlyForwarded && comments <= maxCommentBytes && (f.count == 0 || f.last.IsNamed && isNumber(f.last.ID))
}

// Rest returns the buffered start of an incomplete event.
func (f *Follower) Rest() []byte { return f.buffered }

// Take processes received data and returns the complete events, including buffered data, that
// are to be forwarded. The result is valid until the next call. ErrNotContinued means that the
// next event, which is not part of the result, does not follow the last one that the caller
// received; ErrEndless means that too many bytes follow the last event, and comes
// with a result.
func (f *Follower) Take(data []byte) ([]byte, error) {
	safe, n := 0, 0
	f.taken = 0
	f.trim()
	for n < len(data) {
		size, isOutside, ended := f.position.next(data[n:])
		n += size
		if ended && !f.mayFollow() {
			out, _ := f.split(data[:safe], safe)
			return out, ErrNotContinued
		}
		f.sinceEvent += size
		if ended {
			f.recordEvent()
			f.sinceEvent = 0
		}
		if isOutside {
			safe = n
		}
	}
	out, err := f.split(data, safe)
	if err == nil && f.sinceEvent > maxSinceEvent {
		err = ErrEndless
	}
	return out, err
}

// mayFollow reports whether the event that was just completed may follow the last one that the
// caller received.
func (f *Follower) mayFollow() bool {
	switch event := f.position.last; {
	case !f.resumes:
		return true
	case !event.IsNamed:
		return !f.continues
	case !isNumber(event.ID) || !isGreater(event.ID, f.last.ID):
		return false
	default:
		return !f.isFirstContinued() || isSuccessor(event.ID, f.last.ID)
	}
}

// isFirstContinued reports whether the event that was just completed is the first after a
// restart, in a stream whose ids always increased by one. A larger step then means that events
// are missing.
func (f *Follower) isFirstContinued() bool {
	return f.continues && !f.isSparse && f.count > 1 && f.Events() == 1
}

// recordEvent records the completion of an event.
func (f *Follower) recordEvent() {
	if !f.isSparse && f.count+f.taken > 0 {
		f.isSparse = !isSuccessor(f.position.last.ID, f.last.ID)
	}
	f.taken++
	f.last.ID = append(f.last.ID[:0], f.position.last.ID...)
	f.last.IsNamed = f.position.last.IsNamed
}

// split returns the buffered data together with the data up to safe, and buffers the rest.
func (f *Follower) split(data []byte, safe int) ([]byte, error) {
	if safe == 0 {
		return f.buffer(data)
	}
	f.isPartlyForwarded = false
	out := data[:safe]
	if len(f.buffered) > 0 {
		f.out = append(append(f.out[:0], f.buffered...), out...)
		out = f.out
	}
	if f.continues && f.isAtStart {
		// A byte order mark is valid only at the very start of the caller's stream.
		out = bytes.TrimPrefix(out, byteOrderMark)
	}
	f.isAtStart = false
	f.buffered = append(f.buffered[:0], data[safe:]...)
	return out, nil
}

// buffer buffers the data. If the event is too long to be buffered, buffer returns it for
// forwarding, except in a continued stream, where the id must be checked first.
func (f *Follower) buffer(data []byte) ([]byte, error) {
	f.buffered = append(f.buffered, data...)
	if !f.isPartlyForwarded && len(f.buffered) <= maxBuffered && f.mayHold() {
		return nil, nil
	}
	if f.continues {
		return nil, ErrNotContinued
	}
	f.isPartlyForwarded = true
	f.out, f.buffered = f.buffered, f.out[:0]
	return f.out, nil
}
