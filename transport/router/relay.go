package router

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/wire"
)

// ackEvery is the number of answer bytes after which they are acknowledged, so
// that the sidecar can discard them. It must be well below the sidecar's answer
// window.
const ackEvery = 256 << 10

// maxStatus is the highest status code that HTTP can represent.
const maxStatus = 999

// relayState is the progress of a relayed answer.
type relayState int

const (
	// relayOpen means that more messages are expected.
	relayOpen relayState = iota
	// relayDeclined means that the sidecar did not run the attempt.
	relayDeclined
	// relayEnded means that the end message of the attempt was received.
	relayEnded
	// relayBroken means that a part is missing or belongs to another attempt;
	// the answer can continue only after a resume.
	relayBroken
	// relayCallerGone means that the caller no longer reads the answer.
	relayCallerGone
)

// relay forwards the answer of one request to its caller, over one or more
// streams of the same attempt, and verifies that it is complete.
//
// Invariant: the bytes written are a prefix of the answer of exactly one
// attempt on one sidecar incarnation. A chunk that does not continue them is
// dropped and counted.
type relay struct {
	w        http.ResponseWriter
	flush    *http.ResponseController
	id       string
	metrics  *metrics
	observer *requestObserver

	// number and incarnation identify the attempt whose answer is relayed.
	number      uint32
	incarnation string

	// wrote is true once a part of the answer was written to the caller.
	wrote  bool
	offset int64
	acked  int64
	sum    *xxhash.Digest
	end    *wire.End
	// declined is true if the sidecar declined the last attempt.
	declined bool
	// status is that of the backend server's answer.
	status int
}

func newRelay(w http.ResponseWriter, id string, m *metrics) *relay {
	return &relay{w: w, flush: http.NewResponseController(w), id: id, metrics: m, sum: xxhash.New()}
}

// expect sets the attempt whose answer is relayed. It must not be called after
// a part of another attempt's answer was written.
func (l *relay) expect(number uint32, incarnation string) {
	l.number, l.incarnation, l.declined = number, incarnation, false
}

// handle processes one message of the stream.
func (l *relay) handle(down *wire.RunDown) relayState {
	switch m := down.Kind.(type) {
	case *wire.RunDown_Declined:
		if l.wrote {
			return relayBroken
		}
		l.declined = true
		return relayDeclined
	case *wire.RunDown_Head:
		if !l.head(m.Head) {
			return relayBroken
		}
	case *wire.RunDown_Chunk:
		if s := l.chunk(m.Chunk); s != relayOpen {
			return s
		}
	case *wire.RunDown_End:
		return l.finish(m.End)
	}
	if down.First != nil {
		if s := l.chunk(down.First); s != relayOpen {
			return s
		}
	}
	if down.Last != nil {
		return l.finish(down.Last)
	}
	return relayOpen
}

// head writes the response head once; a resumed stream repeats it.
func (l *relay) head(h *wire.Head) bool {
	if l.incarnation != "" && h.Incarnation != l.incarnation {
		l.metrics.dropped(chunkForeign)
		return false
	}
	if h.Status < http.StatusOK || h.Status > maxStatus {
		l.metrics.dropped(answerMismatch)
		return false
	}
	if l.wrote {
		return true
	}
	header := l.w.Header()
	for _, f := range h.Headers {
		header.Add(f.Name, f.Value)
	}
	header.Set("Goldcrest-Request-Id", l.id)
	header.Set(outcome.Header, string(outcome.Completed))
	l.status = int(h.Status)
	l.w.WriteHeader(l.status)
	l.wrote = true
	l.observer.answered()
	return true
}

// chunk writes the next part of the answer.
func (l *relay) chunk(c *wire.Chunk) relayState {
	switch {
	case c.Attempt != l.number:
		l.metrics.dropped(chunkForeign)
		return relayOpen
	case c.Offset < l.offset:
		l.metrics.dropped(chunkRepeated)
		return relayOpen
	case c.Offset > l.offset || !l.wrote:
		l.metrics.dropped(chunkMissing)
		return relayBroken
	}
	l.offset += int64(len(c.Data))
	_, _ = l.sum.Write(c.Data)
	if _, err := l.w.Write(c.Data); err != nil {
		return relayCallerGone
	}
	if l.flush.Flush() != nil {
		return relayCallerGone
	}
	return relayOpen
}

// finish handles the end message: a completed answer that is longer than what
// was relayed counts as broken.
func (l *relay) finish(e *wire.End) relayState {
	if e.Attempt != l.number {
		l.metrics.dropped(chunkForeign)
		return relayOpen
	}
	if e.Outcome == string(outcome.Completed) && e.Length > l.offset {
		l.metrics.dropped(chunkMissing)
		return relayBroken
	}
	l.end = e
	return relayEnded
}

// ackDue returns the offset to acknowledge, if an acknowledgement is due.
func (l *relay) ackDue() (int64, bool) {
	if l.offset-l.acked < ackEvery {
		return 0, false
	}
	l.acked = l.offset
	return l.offset, true
}

// complete reports whether the relayed bytes match the length and checksum in
// the end message.
func (l *relay) complete() bool {
	if l.end.Length != l.offset || l.end.Checksum != l.sum.Sum64() {
		l.metrics.dropped(answerMismatch)
		return false
	}
	return true
}
