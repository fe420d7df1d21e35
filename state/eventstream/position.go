package eventstream

import "bytes"

// maxLineBuffered limits the buffered size of a line that arrives in pieces, in bytes. A stream
// cannot be resumed after an id in a longer line.
const maxLineBuffered = 512

var (
	// byteOrderMark may start a stream and is not part of the first line.
	byteOrderMark = []byte("\uFEFF")
	// idName is the name of the field that contains an event's id.
	idName = []byte("id")
)

// Position is an incremental parser that tracks the position in an event stream by the line
// endings, comments and fields of the standard (WHATWG HTML, server-sent events). The zero
// value is the start of a stream.
type Position struct {
	// line is the buffered start of the current line, and size its total size so far in bytes.
	line []byte
	size int
	// afterReturn reports whether the last line ended with CR; an LF that follows directly is
	// part of that line ending.
	afterReturn bool
	// firstLineEnded reports whether the first line has ended.
	firstLineEnded bool
	// fields is the number of fields of the current event.
	fields int
	// id is the id of the current event; isNamed reports whether it has one.
	id      []byte
	isNamed bool
	// last is the last complete event.
	last  Event
	count int
}

// Event is a complete event.
type Event struct {
	// ID is the value of its id field. It is valid until the position advances.
	ID []byte
	// IsNamed reports whether it has an id after which the stream may be resumed.
	IsNamed bool
}

// Count returns the number of complete events so far.
func (p *Position) Count() int { return p.count }

// Last returns the last complete event.
func (p *Position) Last() Event { return p.last }

// IsInside reports whether the bytes so far end inside an event, or inside a line.
func (p *Position) IsInside() bool {
	if p.fields > 0 {
		return true
	}
	if p.firstLineEnded {
		return p.size > 0
	}
	return p.size > 0 && !bytes.Equal(p.line, byteOrderMark)
}

// restart resets the position to the start of another stream that continues this one.
func (p *Position) restart() {
	p.line, p.size, p.afterReturn, p.firstLineEnded = p.line[:0], 0, false, false
	p.fields, p.id, p.isNamed = 0, p.id[:0], false
}

// Advance processes all of the data.
func (p *Position) Advance(data []byte) {
	for len(data) > 0 {
		n, _, _ := p.next(data)
		data = data[n:]
	}
}

// next processes the data up to the end of the first line that is outside any event. It
// returns the number of bytes processed, whether there is such a line end, and whether it
// completed an event. The data must not be empty.
func (p *Position) next(data []byte) (n int, isOutside, ended bool) {
	if p.afterReturn {
		p.afterReturn = false
		if data[0] == '\n' {
			return 1, !p.IsInside(), false
		}
	}
	for n < len(data) {
		end, found := lineEnd(data[n:])
		line := p.appendLine(data[n:n+end], found)
		n += end
		if !found {
			return n, false, false
		}
		n += p.skipLineEnd(data[n:])
		if isOutside, ended = p.endLine(line); isOutside {
			return n, true, ended
		}
	}
	return n, false, false
}

// lineEnd returns the index of the line ending, or the length of the data.
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

// skipLineEnd returns the length of the line ending at the start of the data. It sets
// afterReturn if the data ends with CR, since an LF may follow in the next call.
func (p *Position) skipLineEnd(data []byte) int {
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

// appendLine appends to the current line and returns its buffered part. A line that arrives
// complete is not copied.
func (p *Position) appendLine(part []byte, isWhole bool) []byte {
	if p.size == 0 {
		if isWhole {
			p.size = len(part)
			return part
		}
		p.line = p.line[:0]
	}
	p.size += len(part)
	kept := min(len(part), maxLineBuffered-len(p.line))
	p.line = append(p.line, part[:kept]...)
	if bytes.IndexByte(part[kept:], 0) >= 0 {
		// An id with a null is ignored, wherever that is in the line.
		p.line[len(p.line)-1] = 0
	}
	return p.line
}

// endLine ends the current line. It reports whether no event is incomplete after the line, and
// whether the line completed an event.
func (p *Position) endLine(line []byte) (isOutside, ended bool) {
	isLong := p.size > maxLineBuffered
	if !p.firstLineEnded {
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	p.firstLineEnded, p.size = true, 0
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

// field processes a field of the current event.
func (p *Position) field(line []byte, isLong bool) {
	p.fields++
	name, value, _ := bytes.Cut(line, []byte(":"))
	if !bytes.Equal(name, idName) || bytes.IndexByte(value, 0) >= 0 {
		return
	}
	p.id = append(p.id[:0], bytes.TrimPrefix(value, []byte(" "))...)
	p.isNamed = len(p.id) > 0 && !isLong
}
