package sidecar

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/wire"
)

// Errors returned to a reader of a response buffer.
var (
	// errSuperseded means that another stream has attached to the response.
	errSuperseded = errors.New("answer: another stream resumed it")
	// errOffsetDropped means that the requested offset is no longer buffered.
	errOffsetDropped = errors.New("answer: offset not kept")
)

// responseBuffer holds the part of one attempt's response that the router may
// still request. The run writes to it; one stream at a time reads from it.
//
// Invariant: at most window bytes are buffered, except that a write to an
// empty buffer is always accepted. While the buffer is full the run blocks, so
// that the backend server is read no faster than the router acknowledges.
type responseBuffer struct {
	window int

	mu sync.Mutex
	// wake is closed and replaced on every change.
	wake chan struct{}
	head *wire.Head
	// contentLength is the length announced in the response head, -1 if unknown;
	// short reports that it is known and at most readSize.
	contentLength int64
	short         bool
	// buf holds the bytes that start at offset base.
	buf  []byte
	base int64
	end  *wire.End
	// reader is the number of the latest reading stream; attached reports
	// whether that stream is still reading.
	reader   uint64
	attached bool
	dropped  bool
}

func newResponseBuffer(window int) *responseBuffer {
	return &responseBuffer{window: window, wake: make(chan struct{})}
}

// notifyAll wakes all waiters. It is called with mu locked.
func (a *responseBuffer) notifyAll() {
	close(a.wake)
	a.wake = make(chan struct{})
}

// setHead adds the head of a response with the given Content-Length, -1 if
// unknown. The head of a short response is not sent before its body, nor its
// last byte before its end, so that all go out as one message.
func (a *responseBuffer) setHead(h *wire.Head, length int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = h
	a.short = length >= 0 && length <= readSize
	a.contentLength = length
	if !a.short {
		a.notifyAll()
	}
}

// write appends bytes, blocking while the window is full.
func (a *responseBuffer) write(ctx context.Context, p []byte) error {
	for {
		a.mu.Lock()
		if len(a.buf) == 0 || len(a.buf)+len(p) <= a.window {
			a.buf = append(a.buf, p...)
			if !a.short || a.base+int64(len(a.buf)) < a.contentLength {
				a.notifyAll()
			}
			a.mu.Unlock()
			return nil
		}
		wake := a.wake
		a.mu.Unlock()
		select {
		case <-wake:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// finish adds the end of the response.
func (a *responseBuffer) finish(e *wire.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end = e
	a.notifyAll()
}

// size returns the number of buffered bytes.
func (a *responseBuffer) size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.buf))
}

// length returns the number of bytes written so far, including those already
// acknowledged.
func (a *responseBuffer) length() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.base + int64(len(a.buf))
}

// ack discards the bytes before the offset.
func (a *responseBuffer) ack(offset int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offset <= a.base || len(a.buf) == 0 {
		return
	}
	n := min(offset-a.base, int64(len(a.buf)))
	a.buf = append(a.buf[:0], a.buf[n:]...)
	a.base += n
	a.notifyAll()
}

// drop discards the buffered bytes; later reads fail with errOffsetDropped.
func (a *responseBuffer) drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropped = true
	a.buf = nil
	a.notifyAll()
}

// attach makes the caller the only reader and returns its number.
func (a *responseBuffer) attach() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reader++
	a.attached = true
	a.notifyAll()
	return a.reader
}

// detach releases the reader and reports whether it was still attached.
func (a *responseBuffer) detach(reader uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reader != reader || !a.attached {
		return false
	}
	a.attached = false
	return true
}

// abandoned reports whether no other reader has attached since the reader
// detached.
func (a *responseBuffer) abandoned(reader uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reader == reader && !a.attached
}

// piece is a part of a response that is sent as one message.
type piece struct {
	head *wire.Head
	data []byte
	end  *wire.End
}

// next waits for data that the reader does not have yet: the head if wanted,
// up to len(into) bytes from the offset on, and the end once all bytes before
// it are included.
func (a *responseBuffer) next(ctx context.Context, reader uint64, offset int64, wantHead bool, into []byte) (piece, error) {
	for {
		p, wake, err := a.poll(reader, offset, wantHead, into)
		if err != nil || p.head != nil || len(p.data) > 0 || p.end != nil {
			return p, err
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
}

func (a *responseBuffer) poll(reader uint64, offset int64, wantHead bool, into []byte) (piece, <-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var p piece
	switch {
	case a.reader != reader:
		return p, nil, errSuperseded
	case a.dropped || offset < a.base || offset > a.base+int64(len(a.buf)):
		return p, nil, errOffsetDropped
	}
	if wantHead {
		p.head = a.head
	}
	if p.head != nil || !wantHead {
		n := copy(into, a.buf[offset-a.base:])
		p.data = into[:n]
	}
	if offset+int64(len(p.data)) == a.base+int64(len(a.buf)) {
		p.end = a.end
	}
	return p, a.wake, nil
}
