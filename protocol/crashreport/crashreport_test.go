package crashreport

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/quarantine"
	"goldcrestport/protocol/digest"
)

func example() quarantine.Report {
	return quarantine.Report{
		Crashes: []quarantine.CrashReport{
			{Server: "i-1@1700000000000", Age: 1500 * time.Millisecond, Suspects: []quarantine.Fingerprint{1, 1 << 63}},
			{Server: "i-2"},
		},
		Refusals: []quarantine.RefusalReport{{Content: 7, Age: time.Hour, Trials: 1, Reasons: []quarantine.StrikeReport{
			{Server: "i-1", Age: time.Second}, {Server: "i-2", Age: 2 * time.Second},
		}}},
		Cleared: []quarantine.ClearedReport{{Content: 9, Age: -9 * time.Second}},
	}
}

func TestReportRoundTrip(t *testing.T) {
	for _, want := range []quarantine.Report{example(), {}} {
		router, got, err := Read(Append(nil, "edge-1", want))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, router, qt.Equals, "edge-1")
		qt.Check(t, got, qt.DeepEquals, want)
	}
}

func TestReadRejectsTruncatedReports(t *testing.T) {
	whole := Append(nil, "edge-1", example())
	for n := range whole {
		_, _, err := Read(whole[:n])
		qt.Check(t, err, qt.Equals, ErrForm, qt.Commentf("%d bytes", n))
	}
	_, _, err := Read(append(whole, 0))
	qt.Check(t, err, qt.Equals, ErrForm)
}

// Routers of a version without crash reports have to drop them, so neither decoder may
// accept the datagrams of the other.
func TestReportsAndDigestsAreDistinguishable(t *testing.T) {
	_, err := digest.Read(Append(nil, "edge-1", example()))
	qt.Check(t, err, qt.Equals, digest.ErrForm)
	qt.Check(t, Is(digest.Append(nil, digest.Message{Router: "edge-1"})), qt.IsFalse)
}

func FuzzRead(f *testing.F) {
	f.Add(Append(nil, "edge-1", example()))
	f.Fuzz(func(t *testing.T, b []byte) {
		router, r, err := Read(b)
		if err != nil {
			if err != ErrForm {
				t.Fatal(err)
			}
			return
		}
		s := quarantine.New(quarantine.DefaultConfig(), "self")
		s.Merge(time.Unix(1000, 0), router, r)
		s.Tick(time.Unix(1001, 0))
		s.PeriodicReports(time.Unix(1001, 0))
	})
}
