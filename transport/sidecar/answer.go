package sidecar

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/wire"
)

// Errors of an answer.
var (
	// errSuperseded means that another stream took the answer over.
	errSuperseded = errors.New("answer: another stream resumed it")
	// errNotKept means that the wanted offset is not kept any more.
	errNotKept = errors.New("answer: offset not kept")
)

// answer holds the part of one attempt's answer that the router may still
// need. The run writes it, one stream at a time reads it.
//
// Invariant: at most window bytes are held. When they are, the run waits, so
// that the backend server is read no faster than the router takes.
type answer struct {
	window int

	mu sync.Mutex
	// wake is closed and replaced at each change.
	wake chan struct{}
	head *wire.Head
	// announced is the length by the head; short tells that it is known and small.
	announced int64
	short     bool
	// buf holds the bytes from the offset base on.
	buf  []byte
	base int64
	end  *wire.End
	// reader numbers the stream that reads; attached tells that it still does.
	reader   uint64
	attached bool
	dropped  bool
}

func newAnswer(window int) *answer {
	return &answer{window: window, wake: make(chan struct{})}
}

// changed wakes all that wait. It is called with mu held.
func (a *answer) changed() {
	close(a.wake)
	a.wake = make(chan struct{})
}

// setHead adds the head of an answer with the announced length, -1 for none.
// The head of a short answer waits for its bytes, and its last byte for the
// end, so that both go out as one message.
func (a *answer) setHead(h *wire.Head, length int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = h
	a.short = length >= 0 && length <= readSize
	a.announced = length
	if !a.short {
		a.changed()
	}
}

// write adds bytes, waiting while the window is full.
func (a *answer) write(ctx context.Context, p []byte) error {
	for {
		a.mu.Lock()
		if len(a.buf) == 0 || len(a.buf)+len(p) <= a.window {
			a.buf = append(a.buf, p...)
			if !a.short || a.base+int64(len(a.buf)) < a.announced {
				a.changed()
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

// finish adds the end.
func (a *answer) finish(e *wire.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end = e
	a.changed()
}

// size returns the number of bytes held.
func (a *answer) size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.buf))
}

// length returns the number of bytes so far, held or not.
func (a *answer) length() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.base + int64(len(a.buf))
}

// ack forgets the bytes before the offset.
func (a *answer) ack(offset int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offset <= a.base || len(a.buf) == 0 {
		return
	}
	n := min(offset-a.base, int64(len(a.buf)))
	a.buf = append(a.buf[:0], a.buf[n:]...)
	a.base += n
	a.changed()
}

// drop forgets the bytes for good.
func (a *answer) drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropped = true
	a.buf = nil
	a.changed()
}

// attach makes the caller the one reader and returns its number.
func (a *answer) attach() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reader++
	a.attached = true
	a.changed()
	return a.reader
}

// detach ends the reader's hold and reports whether it still had it.
func (a *answer) detach(reader uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reader != reader || !a.attached {
		return false
	}
	a.attached = false
	return true
}

// abandoned reports whether nobody attached since the reader detached.
func (a *answer) abandoned(reader uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reader == reader && !a.attached
}

// piece is a part of an answer to be sent as one message.
type piece struct {
	head *wire.Head
	data []byte
	end  *wire.End
}

// next waits for more than the reader has: the head if wanted, bytes from the
// offset on, at most as many as into holds, and the end once all bytes are in.
func (a *answer) next(ctx context.Context, reader uint64, offset int64, wantHead bool, into []byte) (piece, error) {
	for {
		p, wake, err := a.look(reader, offset, wantHead, into)
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

func (a *answer) look(reader uint64, offset int64, wantHead bool, into []byte) (piece, <-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var p piece
	switch {
	case a.reader != reader:
		return p, nil, errSuperseded
	case a.dropped || offset < a.base || offset > a.base+int64(len(a.buf)):
		return p, nil, errNotKept
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
