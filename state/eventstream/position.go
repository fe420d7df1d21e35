package eventstream

import "bytes"

// lineKept bounds what is kept of a line that comes in pieces, in bytes. An id in a longer
// line cannot be resumed after.
const lineKept = 512

var (
	// byteOrderMark may begin a stream and belongs to no line.
	byteOrderMark = []byte("\uFEFF")
	// idName is the name of the field that holds an event's id.
	idName = []byte("id")
)

// Position tells how far the bytes of a stream have come in its events, by the line ends,
// comments and fields of the standard (WHATWG HTML, server-sent events). The zero value is
// the begin of a stream.
type Position struct {
	// line is the begin of the line under way, and size all of it, in bytes.
	line []byte
	size int
	// afterReturn tells that the last line ended with CR: a LF right after belongs to it.
	afterReturn bool
	// begun tells that the first line has ended.
	begun bool
	// fields is the number of fields of the event under way.
	fields int
	// id is that of the event under way, isNamed tells that it has one.
	id      []byte
	isNamed bool
	// last is the event that ended last.
	last  Event
	count int
}

// Event is one whole event.
type Event struct {
	// ID is the value of its id field. It is valid until the position moves on.
	ID []byte
	// IsNamed tells that it has an id that may be resumed after.
	IsNamed bool
}

// Count returns the number of whole events so far.
func (p *Position) Count() int { return p.count }

// Last returns the event that ended last.
func (p *Position) Last() Event { return p.last }

// IsInside reports whether the bytes so far end inside an event, or inside a line.
func (p *Position) IsInside() bool {
	if p.fields > 0 {
		return true
	}
	if p.begun {
		return p.size > 0
	}
	return p.size > 0 && !bytes.Equal(p.line, byteOrderMark)
}

// restart puts the position at the begin of another stream that goes on after this one.
func (p *Position) restart() {
	p.line, p.size, p.afterReturn, p.begun = p.line[:0], 0, false, false
	p.fields, p.id, p.isNamed = 0, p.id[:0], false
}

// Advance moves over all of the data.
func (p *Position) Advance(data []byte) {
	for len(data) > 0 {
		n, _, _ := p.next(data)
		data = data[n:]
	}
}

// next moves over the data up to the end of a line after which no event is under way, and
// returns how far that is, whether there is such an end, and whether an event ended there.
// The data must not be empty.
func (p *Position) next(data []byte) (n int, isBetween, ended bool) {
	if p.afterReturn {
		p.afterReturn = false
		if data[0] == '\n' {
			return 1, !p.IsInside(), false
		}
	}
	for n < len(data) {
		end, found := lineEnd(data[n:])
		line := p.take(data[n:n+end], found)
		n += end
		if !found {
			return n, false, false
		}
		n += p.skipEnd(data[n:])
		if isBetween, ended = p.endLine(line); isBetween {
			return n, true, ended
		}
	}
	return n, false, false
}

// lineEnd returns where the line ends, or all of the data.
func lineEnd(data []byte) (at int, found bool) {
	at = bytes.IndexByte(data, '\n')
	found = at >= 0
	if !found {
		at = len(data)
	}
	if cr := bytes.IndexByte(data[:at], '\r'); cr >= 0 {
		return cr, true
	}
	return at, found
}

// skipEnd returns the length of the line end that the data begins with.
func (p *Position) skipEnd(data []byte) int {
	if data[0] == '\n' {
		return 1
	}
	if len(data) == 1 {
		p.afterReturn = true
		return 1
	}
	if data[1] == '\n' {
		return 2
	}
	return 1
}

// take adds to the line under way and returns it, as far as it is kept. A line that comes
// whole is not copied.
func (p *Position) take(part []byte, isWhole bool) []byte {
	if p.size == 0 {
		if isWhole {
			p.size = len(part)
			return part
		}
		p.line = p.line[:0]
	}
	p.size += len(part)
	p.line = append(p.line, part[:min(len(part), lineKept-len(p.line))]...)
	return p.line
}

// endLine ends the line under way, and reports whether no event is under way after it and
// whether one ended with it.
func (p *Position) endLine(line []byte) (isBetween, ended bool) {
	isLong := p.size > lineKept
	if !p.begun {
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	p.begun, p.size = true, 0
	switch {
	case len(line) == 0:
		return true, p.endEvent()
	case line[0] == ':':
		return p.fields == 0, false
	default:
		p.field(line, isLong)
		return false, false
	}
}

func (p *Position) endEvent() bool {
	if p.fields == 0 {
		return false
	}
	p.last.ID = append(p.last.ID[:0], p.id...)
	p.last.IsNamed = p.isNamed
	p.fields, p.isNamed, p.id = 0, false, p.id[:0]
	p.count++
	return true
}

// field takes a field of the event under way.
func (p *Position) field(line []byte, isLong bool) {
	p.fields++
	name, value, _ := bytes.Cut(line, []byte(":"))
	if !bytes.Equal(name, idName) || bytes.IndexByte(value, 0) >= 0 {
		return
	}
	p.id = append(p.id[:0], bytes.TrimPrefix(value, []byte(" "))...)
	p.isNamed = len(p.id) > 0 && !isLong
}
