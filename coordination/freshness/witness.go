package freshness

import "time"

// Witness lets a router use the store reads of other routers to confirm its own
// configuration. A router that reads the store reports the latest message of
// this router that it received before the read. This router knows by its own
// clock when it sent that message, and the read was sent later than that. So no
// clocks of different routers are compared, and a message that waits unread in a
// socket buffer confirms no more than when it was sent.
type Witness struct {
	sent [rememberedMessages]sentMessage
}

// sentMessage is a message of this router and the time when it was sent.
type sentMessage struct {
	seq uint32
	at  time.Duration
}

// rememberedMessages is the number of messages whose send time is kept. At 50
// messages a second they cover 20 seconds, more than any freshness bound.
const rememberedMessages = 1024

// Sent records that the message with the sequence number is sent now.
func (w *Witness) Sent(seq uint32, now time.Duration) {
	w.sent[seq%rememberedMessages] = sentMessage{seq: seq, at: now}
}

// SentAt returns when the message with the sequence number was sent, and whether
// that is still known.
func (w *Witness) SentAt(seq uint32) (time.Duration, bool) {
	s := w.sent[seq%rememberedMessages]
	return s.at, seq != 0 && s.seq == seq
}
