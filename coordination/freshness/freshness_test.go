package freshness

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const bound = 4 * time.Second

func TestNothingIsServedBeforeTheFirstConfiguration(t *testing.T) {
	qt.Check(t, New(bound).Fresh(0), qt.IsFalse)
	qt.Check(t, New(bound).Fresh(time.Hour), qt.IsFalse)
}

func TestKnowledgeCountsFromTheSendingOfTheRead(t *testing.T) {
	tr := New(bound)
	// The read was sent at 10 s; its answer may come much later.
	tr.Confirm(10 * time.Second)
	qt.Check(t, tr.Fresh(14*time.Second), qt.IsTrue)
	qt.Check(t, tr.Fresh(14*time.Second+1), qt.IsFalse)
}

func TestLateAnswersDoNotTakeKnowledgeBack(t *testing.T) {
	tr := New(bound)
	tr.Confirm(20 * time.Second)
	tr.Confirm(12 * time.Second)
	age, known := tr.Age(21 * time.Second)
	qt.Check(t, known, qt.IsTrue)
	qt.Check(t, age, qt.Equals, time.Second)
}

// A clock that goes on during suspension makes the first request after a
// freeze find the knowledge too old.
func TestWakingUpAfterAFreezeIsStale(t *testing.T) {
	tr := New(bound)
	tr.Confirm(5 * time.Second)
	qt.Check(t, tr.Fresh(5*time.Second+6*time.Second), qt.IsFalse)
	tr.Confirm(11 * time.Second)
	qt.Check(t, tr.Fresh(12*time.Second), qt.IsTrue)
}

// Another router's finding counts from when this one sent the message that the
// other had heard before it asked the store, however late the word arrives.
func TestAWitnessCountsFromThisRoutersOwnClock(t *testing.T) {
	tr, w := New(bound), &Witness{}
	w.Sent(1, 10*time.Second)
	w.Sent(2, 11*time.Second)
	// The word arrives at 14.5 s, and speaks of message 1.
	at, known := w.Heard(1)
	qt.Assert(t, known, qt.IsTrue)
	tr.Confirm(at)
	qt.Check(t, tr.Fresh(14*time.Second), qt.IsTrue)
	qt.Check(t, tr.Fresh(14500*time.Millisecond), qt.IsFalse)
}

func TestAWitnessKnowsNothingOfMessagesNeverSentOrForgotten(t *testing.T) {
	w := &Witness{}
	for _, seq := range []uint32{0, 5} {
		_, known := w.Heard(seq)
		qt.Check(t, known, qt.IsFalse)
	}
	w.Sent(5, time.Second)
	w.Sent(5+remembered, 20*time.Second)
	_, known := w.Heard(5)
	qt.Check(t, known, qt.IsFalse)
}
