package digest

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/fairshare"
)

func example() Message {
	return Message{
		Router: "edge-1", Seq: 9, Heard: 4, Revision: 77,
		Digest: admission.Digest{
			All:            true,
			Servers:        map[admission.ServerID]admission.InFlight{7: {Unread: 12000, Runs: 3}, 9: {Runs: 1}},
			Teams:          map[fairshare.TeamID]fairshare.Use{4: {Requested: 9000, Started: 100, RequestedRate: 4000, StartedRate: 40, ThrottledRate: 7}},
			CachedPrefixes: []admission.CachedPrefix{{Server: 7, Prefix: 1 << 40}, {Server: 9, Prefix: 3}},
		},
	}
}

func TestMessageRoundTrip(t *testing.T) {
	changes := example()
	changes.Digest.All, changes.Digest.Teams = false, nil
	changes.Changes, changes.After = []byte("what changed"), 76
	leaving := changes
	leaving.Digest.ShuttingDown = []admission.ServerID{7, 1 << 31}
	for _, m := range []Message{example(), changes, leaving} {
		got, err := Read(Append(nil, m))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got, qt.DeepEquals, m)
	}
	written := Append(nil, example())
	SetHeard(written, 5, 78)
	got, err := Read(written)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got.Heard, qt.Equals, uint32(5))
	qt.Check(t, got.Revision, qt.Equals, uint64(78))
	qt.Check(t, got.Seq, qt.Equals, uint32(9))
}

func TestReadRejectsTruncatedDatagrams(t *testing.T) {
	whole := Append(nil, example())
	for n := range whole {
		_, err := Read(whole[:n])
		qt.Check(t, err, qt.Equals, ErrForm, qt.Commentf("%d bytes", n))
	}
	passing := example()
	passing.Changes = []byte{}
	passing.Digest.ShuttingDown = []admission.ServerID{7}
	bare := Append(nil, passing)
	for n := range bare {
		_, err := Read(bare[:n])
		qt.Check(t, err, qt.Equals, ErrForm, qt.Commentf("%d bytes", n))
	}
	_, err := Read(append(whole, 0))
	qt.Check(t, err, qt.Equals, ErrForm)
}

func FuzzRead(f *testing.F) {
	f.Add(Append(nil, example()))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := Read(b); err != nil && err != ErrForm {
			t.Fatal(err)
		}
	})
}

// The list of servers that are shutting down must take no bytes while it is empty.
func TestSizeOfServersShuttingDown(t *testing.T) {
	m := example()
	none := len(Append(nil, m))
	m.Digest.ShuttingDown = []admission.ServerID{7, 9, 11}
	qt.Check(t, len(Append(nil, m))-none, qt.Equals, countSize+3*serverIDSize)
}
