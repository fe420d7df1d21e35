package originmsg

import (
	"cmp"
	"math/bits"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/versions"
	"goldcrestport/protocol/crashreport"
	"goldcrestport/protocol/datagram"
	"goldcrestport/protocol/digest"
)

var messages = []Message{
	{Kind: Tells, Router: "r1", Records: []origin.Record{
		{ID: 1, Origin: origin.Origin{Service: "app", Version: "v1"}}, {ID: 2, Origin: origin.Origin{Service: "app", Version: "v1"}},
		{ID: 3, Origin: origin.Origin{Service: "app", Version: "v1.2"}}, {ID: 4, Origin: origin.Origin{Service: "other", Version: ""}},
		{ID: 5, Origin: origin.Origin{Service: "app", Version: "v1"}, Doubted: true},
		{ID: 6, Origin: origin.Origin{Service: "app", Version: "v1"}, Doubted: true, Lost: true},
	}},
	{Kind: Asks, Router: "r2", Number: 7, ID: 1 << 63, Service: "app"},
	{Kind: Answers, Router: "r3", Number: 7, IsKnown: true, Known: origin.Known{Origin: origin.Origin{Service: "app", Version: "v1"}, By: "r1", For: 1500 * time.Millisecond}, Mixed: true},
	{Kind: Answers, Router: "r3", Number: 8, IsKnown: true, Known: origin.Known{Uncertain: true}},
	{Kind: Answers, Router: "r3", Number: 9, IsKnown: true, Known: origin.Known{Uncertain: true, Conflicting: true}},
	{Kind: Answers, Router: "r3", Number: 8, IsKnown: true, Known: origin.Known{Uncertain: true, MayEnd: true}},
	{Kind: Answers, Router: "r3", Number: 9},
	{Kind: Answers, Router: "r3", Number: 10, Mixed: true, Says: versions.Statement{Proven: "v1"}},
	{Kind: Answers, Router: "r3", Number: 11, Mixed: true, Says: versions.Statement{Proven: "v1", IsSound: true, Revision: 1 << 40, Members: 7, Life: 1 << 60, Sees: 5}},
	{Kind: Answers, Router: "r3", Number: 11, Mixed: true, Says: versions.Statement{IsSound: true, Revision: 8, Members: 7}},
	{Kind: HandsOver, Router: "r1", Number: 12, Records: []origin.Record{{ID: 6, Origin: origin.Origin{Service: "app", Version: "v2"}}}},
	{Kind: Takes, Router: "r2", Number: 12},
}

// Each message arrives as it was sent, whatever the order of its groups, and is no other kind of
// datagram; cut at any byte it is none.
func TestMessagesArriveAsSent(t *testing.T) {
	for _, m := range messages {
		b := Append(nil, m)
		got, err := Read(b)
		qt.Assert(t, err, qt.IsNil)
		slices.SortFunc(got.Records, func(a, b origin.Record) int { return cmp.Compare(a.ID, b.ID) })
		qt.Check(t, got, qt.DeepEquals, m)
		_, err = digest.Read(b)
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, crashreport.Is(b) || digest.IsPassOn(b), qt.IsFalse)
		for n := range b {
			_, err := Read(b[:n])
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("%d of %d bytes", n, len(b)))
		}
	}
}

// Guards against routers of the build before that take no message with what they do not know: such
// messages differ from those that they know by one bit of their flags, which they do not read.
func TestDoubtsAreReadByRoutersOfTheBuildBefore(t *testing.T) {
	ends := Message{Kind: Answers, Router: "r3", Number: 8, IsKnown: true, Known: origin.Known{Uncertain: true, MayEnd: true}}
	lost := Message{Kind: Tells, Router: "r1", Records: []origin.Record{{ID: 6, Doubted: true, Lost: true}}}
	known, knownLost := ends, lost
	known.Known.MayEnd = false
	knownLost.Records = []origin.Record{{ID: 6, Doubted: true}}
	for _, pair := range [][2]Message{{ends, known}, {lost, knownLost}} {
		with, without := Append(nil, pair[0]), Append(nil, pair[1])
		qt.Assert(t, with, qt.HasLen, len(without))
		differing := 0
		for i := range with {
			differing += bits.OnesCount8(with[i] ^ without[i])
		}
		qt.Check(t, differing, qt.Equals, 1)
	}
}

// Whatever arrives, reading it does not fail otherwise than by an error.
func TestAnythingMayArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := append([]byte{version}, rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")...)
		_, _ = Read(b)
	})
}

// The names of versions are text of the servers.
func TestLongNamesAreCut(t *testing.T) {
	long := make([]byte, 300)
	for i := range long {
		long[i] = 'v'
	}
	m := Message{Kind: Tells, Router: "r1", Records: []origin.Record{{ID: 1, Origin: origin.Origin{Service: "app", Version: roster.Version(long)}}}}
	got, err := Read(Append(nil, m))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got.Records[0].Version, qt.HasLen, datagram.MaxName)
}
