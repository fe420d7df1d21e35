package backend

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/completeness"
	"goldcrestport/transport/answermemory"
	"goldcrestport/transport/framing"
)

// ErrEndless means that the server sends bytes that are no answer, without end.
var ErrEndless = errors.New("bytes without end that are no answer")

// Limits of one answer. A server may send without end, and the router must neither keep what it
// sends nor wait for the end.
const (
	// maxHeadBytes and maxHeadLines bound the header of a response, together with the interim
	// responses before it. Common servers send at most 16 KiB and 100 lines. Each line costs many
	// times its size once it is parsed.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
	// maxDeclaredBytes bounds the declared length of a body: 4 TiB, about what a link of 10 Gbit/s
	// delivers in an hour.
	maxDeclaredBytes = 1 << 42
	// receiveBuffer bounds the bytes that the kernel keeps for a connection whose reader waits for
	// a slow caller. It is enough for 5 MB/s at a round-trip time of 6 ms. wideReceiveBuffer is
	// that of a long answer, as far as there is memory for it: enough for 20 MB/s.
	receiveBuffer     = 32 << 10
	wideReceiveBuffer = 128 << 10
)

// statusPrefix starts every response.
const statusPrefix = "HTTP/"

// headBudget is what may still arrive of the header that a connection waits for.
type headBudget struct {
	bytes, lines int
	// isOpen reports whether a header is being read, isRefused whether there is no memory for more of it.
	isOpen, isRefused bool
	// held is what the header may hold of the memory for all answers.
	held answermemory.Hold
}

// Costs of a header that is kept.
const (
	// freeHeadBytes is the size up to which a header is not charged to the memory for all answers: more than common
	// servers send.
	freeHeadBytes = 4 << 10
	// parsedCost is what a byte of a header costs once it is parsed, in bytes.
	parsedCost = 4
)

// open starts the budget for the header of one response and the interim ones before it.
func (b *headBudget) open() {
	b.bytes, b.lines, b.isOpen, b.isRefused = maxHeadBytes, maxHeadLines, true, false
}

// isSpent reports whether the header is too long. It is called before more bytes are read, which
// means that the header has not ended within those that were read.
func (b *headBudget) isSpent() bool {
	return b.isOpen && (b.bytes <= 0 || b.lines <= 0 || b.isRefused)
}

// spend counts bytes that arrived.
func (b *headBudget) spend(data []byte) {
	if !b.isOpen {
		return
	}
	b.bytes -= len(data)
	b.lines -= bytes.Count(data, []byte{'\n'})
	if read := maxHeadBytes - b.bytes; read > freeHeadBytes {
		b.isRefused = !b.held.Resize(int64(parsedCost * read))
	}
}

// noteParsed records that what arrived so far completed a header, or contained bytes of a body.
func (c *conn) noteParsed() { c.parsed.Store(c.arrived.Load()) }

// settleTime is how long a connection is idle before it is checked for bytes that follow its last answer.
const settleTime = 200 * time.Millisecond

// hasStray reports whether bytes arrived on an idle connection that belong to no request. It checks once in
// each idle period: most such bytes directly follow an answer, and each check costs a system call.
func (c *conn) hasStray(now time.Time) bool {
	if c.settledAt.Equal(c.idleSince) || now.Sub(c.idleSince) < settleTime {
		return false
	}
	c.settledAt = c.idleSince
	open, ended := c.look()
	return !open && !ended
}

// checkStart returns an error as soon as the bytes that arrive cannot start a response.
func checkStart(r *bufio.Reader) error {
	for n := 1; n <= len(statusPrefix); n++ {
		start, err := r.Peek(n)
		switch {
		case !strings.HasPrefix(statusPrefix, string(start)):
			return errors.Wrap(ErrUnexpectedData, "not the start of a response")
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
	return nil
}

// checkLength returns an error for a declared length that no server can deliver.
func checkLength(resp *http.Response) error {
	if framing.Of(resp) == completeness.Length && resp.ContentLength > maxDeclaredBytes {
		return errors.Wrapf(ErrEndless, "declared length of %d bytes", resp.ContentLength)
	}
	return nil
}

// skippedBody is the body of a response to another request.
type skippedBody struct {
	io.Reader
	conn *conn
}

// Read implements io.Reader.
func (s skippedBody) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b)
	if n > 0 {
		s.conn.noteParsed()
	}
	return n, err
}
