// Package eventstream follows the events of a stream that is passed on, so that it can
// go on at another server after the last one that the caller has.
//
// Direct routers use it.
package eventstream

import (
	"bytes"
	"time"
)

// Follower is one stream towards a caller. The zero value is one without events.
type Follower struct {
	// position is that of the bytes of the stream that came, passed on or not, and before
	// the number of events of the streams that this one goes on after.
	position Position
	before   int

	last string
	rest []byte
	// count of the events that were passed on.
	count int
	// at is when the last of them was, and pause the longest time between two.
	at    time.Time
	pause time.Duration
}

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// PassedOn notes that the data was passed on now.
func (f *Follower) PassedOn(now time.Time, data []byte) {
	count := bytes.Count(data, eventEnd)
	if count == 0 {
		return
	}
	if !f.at.IsZero() {
		f.pause = max(f.pause, now.Sub(f.at))
	}
	f.at = now
	f.count += count
}

// Count returns the number of events that were passed on.
func (f *Follower) Count() int { return f.count }

// Pause returns the longest time between two events that were passed on.
func (f *Follower) Pause() time.Duration { return f.pause }

// LastEvent returns the id of the last whole event that was passed on.
func (f *Follower) LastEvent() string { return f.last }

// Restart forgets what was held back: another server goes on after the last event.
func (f *Follower) Restart() {
	f.rest = f.rest[:0]
	f.position.restart()
	f.before = f.position.Count()
}

// Arrived notes data of the stream that came.
func (f *Follower) Arrived(data []byte) { f.position.Advance(data) }

// Events returns the number of whole events that came since the last restart.
func (f *Follower) Events() int { return f.position.Count() - f.before }

// LastID returns the id of the last whole event that came, or nothing if it had none.
func (f *Follower) LastID() string {
	if last := f.position.Last(); last.IsNamed {
		return string(last.ID)
	}
	return ""
}

// IsInside reports whether what came ends inside an event.
func (f *Follower) IsInside() bool { return f.position.IsInside() }

// Rest returns what is held back.
func (f *Follower) Rest() []byte { return f.rest }

// Whole returns the whole events in the data, together with what was held back
// before, and holds back the begin of one that is not whole.
func (f *Follower) Whole(data []byte) []byte {
	f.rest = append(f.rest, data...)
	end := bytes.LastIndex(f.rest, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	out := bytes.Clone(f.rest[:end])
	f.rest = append(f.rest[:0], f.rest[end:]...)
	if id := lastID(out); id != "" {
		f.last = id
	}
	return out
}

// idField begins the line of an event that holds its id.
var idField = []byte("id:")

// lastID returns the id of the last event in the data that has one.
func lastID(data []byte) string {
	for {
		at := bytes.LastIndex(data, idField)
		if at < 0 {
			return ""
		}
		if at == 0 || data[at-1] == '\n' {
			line, _, _ := bytes.Cut(data[at+len(idField):], []byte("\n"))
			return string(bytes.TrimSpace(line))
		}
		data = data[:at]
	}
}
