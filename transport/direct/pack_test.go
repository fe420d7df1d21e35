package direct

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/roster"
	"goldcrestport/protocol/packed"
	"goldcrestport/state/routing"
)

// returningServers returns n servers that come back at once, such as a third of a large fleet's.
func returningServers(n int) []roster.Server {
	var out []roster.Server
	for i := range n {
		out = append(out, roster.Server{ID: fmt.Sprintf("i-%08x", i*2654435761), Address: fmt.Sprintf("10.128.%d.%d:8080", i/250, i%250), Service: "engines", Slots: 64, DataCentre: "west"})
	}
	return out
}

// A data centre of a thousand servers is lost and comes back, and each of hundreds of routers
// fetches the changes from one watcher.
func TestChangesOfALostDataCentreArePacked(t *testing.T) {
	c := qt.New(t)
	d := mirror.Delta{Revision: 9, Servers: returningServers(1000)}
	answer := &changesAnswer{Changes: &d, Settling: true}
	plain, err := json.Marshal(answer)
	c.Assert(err, qt.IsNil)

	var answers packedAnswers
	packed, err := answers.pack(changesRequest{Have: 3}, answer)
	c.Assert(err, qt.IsNil)
	c.Check(len(packed.Packed) < len(plain)/5, qt.IsTrue, qt.Commentf("%d of %d bytes", len(packed.Packed), len(plain)))
	c.Assert(packed.unpack(), qt.IsNil)
	c.Check(packed.Changes.Servers, qt.DeepEquals, d.Servers)
	c.Check(packed.Settling, qt.IsTrue)

	// A router with another revision gets the answer to its own request.
	newer := &changesAnswer{Whole: &mirror.Snapshot{Config: &routing.Config{Version: 2}, Revision: 9}}
	packed, err = answers.pack(changesRequest{Have: 1}, newer)
	c.Assert(err, qt.IsNil)
	c.Assert(packed.unpack(), qt.IsNil)
	c.Check(packed.Changes, qt.IsNil)
	c.Check(packed.Whole.Config.Version, qt.Equals, uint64(2))
}

func TestInvalidRecordsAreRefused(t *testing.T) {
	c := qt.New(t)
	var d mirror.Delta
	for _, data := range []string{"", "x", "\x1f\x8bjunk"} {
		c.Check(unpack([]byte(data), &d), qt.IsNotNil, qt.Commentf("%q", data))
	}
	c.Check(unpack(pack(make([]byte, maxUnpacked+1)), &d), qt.ErrorIs, packed.ErrTooLong)
}
