package digest

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPassOnRoundTrip(t *testing.T) {
	c := qt.New(t)
	message := Append(nil, Message{Router: "edge-1", Seq: 3, PassesOn: true, Changes: []byte("{}"), After: 4})
	b := AppendPassOn(nil, PassOn{Heard: map[Router]uint32{RouterOf("a"): 1, RouterOf("b"): 2}, Revision: 9, Message: message})
	c.Check(len(b), qt.Equals, len(message)+PassOnSize(2))
	c.Assert(IsPassOn(b), qt.IsTrue)
	c.Assert(IsPassOn(message), qt.IsFalse)
	p, err := ReadPassOn(b)
	c.Assert(err, qt.IsNil)
	for router, heard := range map[string]uint32{"a": 1, "b": 2, "nobody": 0} {
		p.Address(router)
		m, err := Read(p.Message)
		c.Assert(err, qt.IsNil)
		c.Check(m.Heard, qt.Equals, heard, qt.Commentf("%s", router))
		c.Check(m.Revision, qt.Equals, uint64(9))
		c.Check(m.Seq, qt.Equals, uint32(3))
		c.Check(m.PassesOn, qt.IsTrue)
	}
	// A router of a version that relays nothing must not decode it as a digest.
	_, err = Read(b)
	c.Check(err, qt.ErrorIs, ErrForm)
}

// A relay datagram may hold a digest only, not another relay datagram: otherwise messages
// could be relayed in a loop.
func FuzzReadPassOn(f *testing.F) {
	message := Append(nil, Message{Router: "edge-1", Seq: 3})
	once := AppendPassOn(nil, PassOn{Heard: map[Router]uint32{1: 1}, Message: message})
	f.Add(once)
	f.Add(AppendPassOn(nil, PassOn{Message: once}))
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := ReadPassOn(b)
		if err != nil {
			return
		}
		p.Address("edge-2")
		qt.Assert(t, IsPassOn(p.Message), qt.IsFalse)
		_, _ = Read(p.Message)
	})
}
