package router

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/wire"
)

// ackEvery is the number of answer bytes after which the sidecar is told that
// it may forget them. It must be well below the sidecar's answer window.
const ackEvery = 256 << 10

// mostStatus is the greatest status that HTTP can tell.
const mostStatus = 999

// relayState is how far a relayed answer is.
type relayState int

const (
	// relayOpen means that more is to come.
	relayOpen relayState = iota
	// relayDeclined means that the sidecar did not run the attempt.
	relayDeclined
	// relayEnded means that the end came and fits what was relayed.
	relayEnded
	// relayBroken means that a part is missing or belongs elsewhere; the
	// answer can go on only by a resume.
	relayBroken
	// relayCallerGone means that the caller does not take the answer.
	relayCallerGone
)

// relay passes the answer of one request on to its caller, over one or more
// streams of the same attempt, and checks that it is whole.
//
// Invariant: the bytes written are a prefix of the answer of exactly one
// attempt of one incarnation. A chunk that doesn't continue them is dropped
// and counted.
type relay struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	id      string
	metrics *metrics
	trail   *trail

	// number and incarnation of the attempt whose answer is relayed.
	number      uint32
	incarnation string

	// wrote tells that a part of the answer went to the caller.
	wrote  bool
	offset int64
	acked  int64
	sum    *xxhash.Digest
	end    *wire.End
	// declined tells that the sidecar did not take the last attempt.
	declined bool
	// status of the backend server's answer.
	status int
}

func newRelay(w http.ResponseWriter, id string, m *metrics) *relay {
	return &relay{w: w, flush: http.NewResponseController(w), id: id, metrics: m, sum: xxhash.New()}
}

// expect sets the attempt whose answer is taken. It must not be called after
// a part of another attempt's answer was written.
func (l *relay) expect(number uint32, incarnation string) {
	l.number, l.incarnation, l.declined = number, incarnation, false
}

// take handles one message of the stream.
func (l *relay) take(down *wire.RunDown) relayState {
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
		return l.close(m.End)
	}
	if down.First != nil {
		if s := l.chunk(down.First); s != relayOpen {
			return s
		}
	}
	if down.Last != nil {
		return l.close(down.Last)
	}
	return relayOpen
}

// head writes the head once. A resumed stream repeats it.
func (l *relay) head(h *wire.Head) bool {
	if l.incarnation != "" && h.Incarnation != l.incarnation {
		l.metrics.dropped(chunkCrossed)
		return false
	}
	if h.Status < http.StatusOK || h.Status > mostStatus {
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
	l.trail.answered()
	return true
}

// chunk writes the next part of the answer.
func (l *relay) chunk(c *wire.Chunk) relayState {
	switch {
	case c.Attempt != l.number:
		l.metrics.dropped(chunkCrossed)
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

// close checks the end against what was relayed.
func (l *relay) close(e *wire.End) relayState {
	if e.Attempt != l.number {
		l.metrics.dropped(chunkCrossed)
		return relayOpen
	}
	if e.Outcome == string(outcome.Completed) && e.Length > l.offset {
		l.metrics.dropped(chunkMissing)
		return relayBroken
	}
	l.end = e
	return relayEnded
}

// ackDue returns the offset to acknowledge, if it is time.
func (l *relay) ackDue() (int64, bool) {
	if l.offset-l.acked < ackEvery {
		return 0, false
	}
	l.acked = l.offset
	return l.offset, true
}

// whole reports whether the relayed bytes are exactly the answer.
func (l *relay) whole() bool {
	if l.end.Length != l.offset || l.end.Checksum != l.sum.Sum64() {
		l.metrics.dropped(answerMismatch)
		return false
	}
	return true
}
