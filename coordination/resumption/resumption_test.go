package resumption

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/continuation"
)

var epoch = time.Unix(1_800_000_000, 0)

// Guards against resumed streams that fare worse than new ones of their route and that are not seen, as
// both are counted over different times: each counts for the second in which it came.
func TestTheQuotientComparesResumedStreamsWithNewOnes(t *testing.T) {
	r := NewRates()
	for n := range 20 {
		came := epoch.Add(time.Duration(n) * 100 * time.Millisecond)
		r.Came(came, "chat", false)
		r.Came(came, "chat", true)
		if n%4 != 0 {
			r.Relayed(came, "chat", false)
		}
		if n%4 == 0 {
			r.Relayed(came, "chat", true)
		}
	}
	now := epoch.Add(2 * time.Second)
	got := r.Window(now)["chat"]
	qt.Check(t, got, qt.Equals, Counts{Came: 20, Began: 15, Resumed: 20, WentOn: 5})
	quotient, isKnown := got.Quotient()
	qt.Check(t, isKnown, qt.IsTrue)
	qt.Check(t, quotient > .333 && quotient < .334, qt.IsTrue, qt.Commentf("%v", quotient))
	qt.Check(t, r.Near(now, "chat"), qt.Equals, Counts{Came: 10, Began: 8, Resumed: 10, WentOn: 2})
	qt.Check(t, r.Near(now, "other"), qt.Equals, Counts{})
}

// Guards against a quotient of nothing, which would look like streams that are all lost.
func TestAQuotientOfNothingIsNotKnown(t *testing.T) {
	for _, c := range []Counts{{}, {Came: 5, Began: 5}, {Came: 5, Resumed: 5, WentOn: 5}} {
		_, isKnown := c.Quotient()
		qt.Check(t, isKnown, qt.IsFalse, qt.Commentf("%v", c))
	}
	quotient, isKnown := Counts{Came: 5, Began: 5, Resumed: 3}.Quotient()
	qt.Check(t, isKnown, qt.IsTrue)
	qt.Check(t, quotient, qt.Equals, 0.0)
}

// Guards against counts of earlier seconds that are taken for present ones, and against an event that
// comes later than its second is kept: it counts in total only.
func TestOldSecondsAreLeftOut(t *testing.T) {
	r := NewRates()
	r.Came(epoch, "chat", false)
	later := epoch.Add(window * time.Second)
	qt.Check(t, r.Window(later), qt.HasLen, 0)
	r.Came(later, "chat", false)
	r.Relayed(epoch, "chat", false)
	qt.Check(t, r.Window(later)["chat"], qt.Equals, Counts{Came: 1})
	qt.Check(t, r.Totals()["chat"], qt.Equals, Counts{Came: 2, Began: 1})
}

// Guards against memory that grows with each configuration that names other routes.
func TestRoutesAreBounded(t *testing.T) {
	r := NewRates()
	for n := range maxRoutes + 10 {
		r.Came(epoch, fmt.Sprint("route-", n), false)
	}
	r.Relayed(epoch, "not-counted", false)
	qt.Check(t, r.Totals(), qt.HasLen, maxRoutes)
	r.Came(epoch.Add(window*time.Second), "another", false)
	qt.Check(t, r.Totals(), qt.HasLen, 1)
}

// Guards against two ways to be refused that look alike: each has a door of its own.
func TestEachRefusalHasItsDoor(t *testing.T) {
	for _, reason := range []continuation.Reason{
		continuation.ReasonUnknown, continuation.ReasonUnanswered, continuation.ReasonVersionGone, continuation.ReasonServiceGone, continuation.ReasonOldView,
	} {
		qt.Check(t, []Door{Unknown, Unanswered, VersionGone, ServiceGone, OldView}, qt.Contains, OfReason(reason, false))
	}
	qt.Check(t, OfReason(continuation.ReasonNone, false), qt.Equals, None)
	qt.Check(t, OfReason(continuation.ReasonUncertain, false), qt.Equals, Doubted)
	qt.Check(t, OfReason(continuation.ReasonUncertain, true), qt.Equals, Conflicting)
	refuse := admission.Refuse
	for want, d := range map[Door]admission.Decision{
		Sent:      {},
		Cold:      {Verdict: refuse, Reason: admission.ReasonCold, Cold: true},
		Backoff:   {Verdict: refuse, Reason: admission.ReasonBackoff},
		WaitLimit: {Verdict: refuse, Reason: admission.ReasonWait, Wait: 2, Limit: 1, Throttled: true},
		Throttled: {Verdict: refuse, Reason: admission.ReasonWait, Wait: 1, Limit: 1, Throttled: true},
		Untrusted: {Verdict: admission.NoServer, Fitness: admission.Fitness{Known: 3, Untrusted: 1, Ejected: 1, Avoided: 1}},
		Avoided:   {Verdict: admission.NoServer, Fitness: admission.Fitness{Known: 2, Ejected: 1, Avoided: 1}},
		Ejected:   {Verdict: admission.NoServer, Fitness: admission.Fitness{Known: 1, Ejected: 1}},
		NoServer:  {Verdict: admission.NoServer},
	} {
		qt.Check(t, OfPlacement(d), qt.Equals, want)
	}
}

// BenchmarkNewStream measures what counting adds to a new stream: its request and its first event.
func BenchmarkNewStream(b *testing.B) {
	r := NewRates()
	for i := range b.N {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		r.Came(now, "chat", false)
		r.Relayed(now, "chat", false)
	}
}
