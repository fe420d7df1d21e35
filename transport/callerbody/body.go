package callerbody

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/bodybudget"
)

// Sizes of the parts of a body, in bytes. The buffers double with what has arrived, so that a caller that sends
// little holds little.
const (
	// firstStep is the first part of a body of unknown length, firstDeclaredStep that of a declared one.
	firstStep         = 4 << 10
	firstDeclaredStep = 16 << 10
	// maxStep is the largest part.
	maxStep = 64 << 10
)

// Caller is what a body is read from.
type Caller struct {
	Owner bodybudget.Owner
	// Interrupt must make the reading fail at once. It is called when the body must end for others, on any
	// goroutine, and perhaps after the reading has ended.
	Interrupt func()
	// OnLarge is called when the body exceeds the first steps and more memory for it, of LargeOverhead bytes, is
	// charged. It may be nil.
	OnLarge       func()
	LargeOverhead int64
}

// Body is the body of one request in memory. Its parts do not change once it was read. Read is called once, by
// one goroutine; Retain and Release may be called by any.
type Body struct {
	budget *Budget
	caller Caller
	charge *bodybudget.Body
	parts  [][]byte
	size   int64
	// isLarge is set once OnLarge was called.
	isLarge bool
	refs    atomic.Int32
}

// Open returns an empty body of the caller, which must be released. length is what the caller declared, or -1.
// Open returns ErrFull if the declared length cannot be had.
func (b *Budget) Open(caller Caller, length int64) (*Body, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	charge := b.state.Open(time.Now(), caller.Owner, length, caller.Interrupt)
	if charge == nil {
		return nil, ErrFull
	}
	body := &Body{budget: b, caller: caller, charge: charge}
	body.refs.Store(1)
	return body, nil
}

// Read reads the whole body, of the declared length or until its end if that is -1. Its errors include ErrFull,
// ErrTooLarge for a body beyond the limit in bytes, and those of from.
func (b *Body) Read(from io.Reader, length, limit int64) error {
	if length > limit {
		return ErrTooLarge
	}
	err := b.readParts(from, length, limit)
	if !b.finish() {
		return ErrFull
	}
	return err
}

// finish records that the reading has ended. It returns false if the body was ended for others.
func (b *Body) finish() bool {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	return b.budget.state.Finish(b.charge)
}

// readParts reads parts until the body ends.
func (b *Body) readParts(from io.Reader, length, limit int64) error {
	for length < 0 || b.size < length {
		part, err := b.newPart(length, limit)
		if err != nil {
			return err
		}
		if err := b.fill(from, part); err != nil {
			if errors.Is(err, io.EOF) && length < 0 {
				return nil
			}
			return unexpectedEnd(err)
		}
		if b.size > limit {
			return ErrTooLarge
		}
	}
	return nil
}

// unexpectedEnd returns the error of a body that ends before its declared length.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// newPart returns the buffer of the next part, which is charged.
func (b *Body) newPart(length, limit int64) ([]byte, error) {
	first := int64(firstStep)
	// One byte more than allowed shows that a body is too large.
	rest := limit + 1 - b.size
	if length >= 0 {
		first, rest = firstDeclaredStep, length-b.size
	}
	if err := b.noteLarge(); err != nil {
		return nil, err
	}
	n := min(max(b.size, first), maxStep, rest)
	if err := b.budget.grow(b.charge, n); err != nil {
		return nil, err
	}
	return make([]byte, n), nil
}

// noteLarge charges what a large body costs besides its parts, once it is one.
func (b *Body) noteLarge() error {
	if b.isLarge || b.size < maxStep || b.caller.OnLarge == nil {
		return nil
	}
	if err := b.budget.grow(b.charge, b.caller.LargeOverhead); err != nil {
		return err
	}
	b.isLarge = true
	b.caller.OnLarge()
	return nil
}

// fill reads until the part is full. The bytes that arrived before an error belong to the body.
func (b *Body) fill(from io.Reader, part []byte) error {
	filled := 0
	var err error
	for filled < len(part) && err == nil {
		var n int
		n, err = from.Read(part[filled:])
		filled += n
		b.noteProgress(n)
	}
	b.size += int64(filled)
	if filled > 0 {
		b.parts = append(b.parts, part[:filled])
	}
	if filled == len(part) {
		// An end that came with the last bytes comes again with the next read.
		return nil
	}
	return err
}

// noteProgress records that n more bytes arrived.
func (b *Body) noteProgress(n int) {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	b.budget.state.Progress(time.Now(), b.charge, n)
}

// Len returns the size of the body in bytes. A nil Body is empty.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return int(b.size)
}

// Parts returns the parts of the body in order. They must not be changed, nor used after Release.
func (b *Body) Parts() [][]byte {
	if b == nil {
		return nil
	}
	return b.parts
}

// Joined returns the body as one part. A body of several parts is copied, and its parts are given back.
func (b *Body) Joined() ([]byte, error) {
	if b == nil || len(b.parts) == 0 {
		return nil, nil
	}
	if len(b.parts) == 1 {
		return b.parts[0], nil
	}
	if err := b.budget.grow(b.charge, b.size); err != nil {
		return nil, err
	}
	whole := make([]byte, 0, b.size)
	held := int64(0)
	for _, part := range b.parts {
		whole = append(whole, part...)
		held += int64(cap(part))
	}
	b.parts = [][]byte{whole}
	b.budget.shrink(b.charge, held)
	return whole, nil
}

// Retain adds a holder, which must call Release.
func (b *Body) Retain() {
	if b != nil {
		b.refs.Add(1)
	}
}

// Release gives the memory back once all holders have called it.
func (b *Body) Release() {
	if b == nil || b.refs.Add(-1) > 0 {
		return
	}
	b.budget.close(b.charge)
}
