package freshness

import "time"

// Witness turns what other routers found in the store into knowledge of this
// one. A router that asks the store tells which of this router's messages it
// had heard before it asked; this router knows by its own clock when it sent
// that message, so the store was asked later than that. No clock is compared
// with another, and a message that lies in a buffer for long proves no more
// than it did when it was sent.
type Witness struct {
	sent [remembered]sending
}

// sending is one message of this router.
type sending struct {
	seq uint32
	at  time.Duration
}

// remembered bounds the messages whose time is known. At fifty a second they
// reach back for twenty seconds, longer than any bound of freshness.
const remembered = 1024

// Sent notes that the message goes out now.
func (w *Witness) Sent(seq uint32, now time.Duration) {
	w.sent[seq%remembered] = sending{seq: seq, at: now}
}

// Heard returns when the message was sent, if it is still known.
func (w *Witness) Heard(seq uint32) (time.Duration, bool) {
	s := w.sent[seq%remembered]
	return s.at, seq != 0 && s.seq == seq
}
