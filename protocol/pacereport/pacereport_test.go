package pacereport

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/pace"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/protocol/crashreport"
	"goldcrestport/protocol/digest"
	"goldcrestport/protocol/originmsg"
)

var report = pace.Report{Age: 1500 * time.Millisecond, Servers: []pace.Evidence{
	{Server: 7, Tokens: 48_000, TokenTime: 0.012},
	{Server: math.MaxUint32, Tokens: 4000, TokenTime: 0.02},
}}

func TestReportIsReadAsWritten(t *testing.T) {
	got, err := Read(Append(nil, report))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got.Age, qt.Equals, report.Age)
	qt.Assert(t, got.Servers, qt.HasLen, 2)
	for i, one := range got.Servers {
		want := report.Servers[i]
		qt.Check(t, one.Server, qt.Equals, want.Server)
		qt.Check(t, one.Tokens, qt.Equals, want.Tokens)
		qt.Check(t, math.Abs(one.TokenTime-want.TokenTime) < tokenTimeUnit, qt.IsTrue)
	}
}

// A router of a version without these reports takes them for no message that it knows.
func TestReportIsNoOtherMessage(t *testing.T) {
	b := Append(nil, report)
	qt.Check(t, crashreport.Is(b) || originmsg.Is(b) || digest.IsPassOn(b), qt.IsFalse)
	_, err := digest.Read(b)
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, Is(crashreport.Append(nil, "r", quarantine.Report{})), qt.IsFalse)
}

func TestMalformedReportsAreRejected(t *testing.T) {
	b := Append(nil, report)
	for n := range len(b) {
		_, err := Read(b[:n])
		qt.Check(t, err, qt.Equals, ErrForm, qt.Commentf("%d bytes", n))
	}
	_, err := Read(append(b, 0))
	qt.Check(t, err, qt.Equals, ErrForm)
}

func TestOutOfRangeValuesAreLimited(t *testing.T) {
	got, err := Read(Append(nil, pace.Report{Age: time.Hour, Servers: []pace.Evidence{{Server: 1, Tokens: 1e12, TokenTime: 1e12}}}))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got.Age, qt.Equals, math.MaxUint16*ageUnit)
	qt.Check(t, got.Servers[0].Tokens, qt.Equals, float64(math.MaxUint16*tokensUnit))
}
