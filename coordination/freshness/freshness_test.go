package freshness

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const bound = 4 * time.Second

func TestNotFreshBeforeFirstConfirmation(t *testing.T) {
	qt.Check(t, New(bound).Fresh(0), qt.IsFalse)
	qt.Check(t, New(bound).Fresh(time.Hour), qt.IsFalse)
}

func TestStalenessCountsFromSendingOfRead(t *testing.T) {
	tr := New(bound)
	// The read was sent at 10 s; its response may arrive much later.
	tr.Confirm(10 * time.Second)
	qt.Check(t, tr.Fresh(14*time.Second), qt.IsTrue)
	qt.Check(t, tr.Fresh(14*time.Second+1), qt.IsFalse)
}

func TestLateResponsesDoNotReduceFreshness(t *testing.T) {
	tr := New(bound)
	tr.Confirm(20 * time.Second)
	tr.Confirm(12 * time.Second)
	age, known := tr.Age(21 * time.Second)
	qt.Check(t, known, qt.IsTrue)
	qt.Check(t, age, qt.Equals, time.Second)
}

// The clock keeps running during a suspension, so that the configuration is
// stale for the first request after it.
func TestStaleAfterSuspension(t *testing.T) {
	tr := New(bound)
	tr.Confirm(5 * time.Second)
	qt.Check(t, tr.Fresh(5*time.Second+6*time.Second), qt.IsFalse)
	tr.Confirm(11 * time.Second)
	qt.Check(t, tr.Fresh(12*time.Second), qt.IsTrue)
}

// A read by another router counts from when this router sent the message that
// the other received before it read the store, however late its report arrives.
func TestWitnessUsesOwnClock(t *testing.T) {
	tr, w := New(bound), &Witness{}
	w.Sent(1, 10*time.Second)
	w.Sent(2, 11*time.Second)
	// The report arrives at 14.5 s and names message 1.
	at, known := w.SentAt(1)
	qt.Assert(t, known, qt.IsTrue)
	tr.Confirm(at)
	qt.Check(t, tr.Fresh(14*time.Second), qt.IsTrue)
	qt.Check(t, tr.Fresh(14500*time.Millisecond), qt.IsFalse)
}

func TestWitnessRejectsUnknownAndForgottenMessages(t *testing.T) {
	w := &Witness{}
	for _, seq := range []uint32{0, 5} {
		_, known := w.SentAt(seq)
		qt.Check(t, known, qt.IsFalse)
	}
	w.Sent(5, time.Second)
	w.Sent(5+rememberedMessages, 20*time.Second)
	_, known := w.SentAt(5)
	qt.Check(t, known, qt.IsFalse)
}
