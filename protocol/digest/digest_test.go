package digest

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/fairshare"
)

func example() admission.Digest {
	return admission.Digest{
		Servers: map[uint64]admission.Use{7: {Unread: 12000, Runs: 3}, 9: {Runs: 1}},
		Teams:   map[fairshare.TeamID]fairshare.Use{4: {Asked: 9000, Begun: 100}},
	}
}

func TestADigestIsReadAsItWasWritten(t *testing.T) {
	router, got, err := Read(Append(nil, "edge-1", example()))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, router, qt.Equals, "edge-1")
	qt.Check(t, got, qt.DeepEquals, example())
}

func TestCutDatagramsAreRefused(t *testing.T) {
	whole := Append(nil, "edge-1", example())
	for n := range whole {
		_, _, err := Read(whole[:n])
		qt.Check(t, err, qt.Equals, ErrForm, qt.Commentf("%d bytes", n))
	}
}

func FuzzRead(f *testing.F) {
	f.Add(Append(nil, "edge-1", example()))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, _, err := Read(b); err != nil && err != ErrForm {
			t.Fatal(err)
		}
	})
}
