package direct

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/partquarantine"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/coordination/roster"
)

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

// Guards against a request that many callers send and that is refused for crashes of servers that it never
// reached: one connection is refused while others to the same server are still being opened.
func TestConnectionsThatAreRefusedCountAgainstNoRequest(t *testing.T) {
	const rounds, callers = 8, 32
	f := startPeer(t, "router-0", testConfig(1))
	for round := range rounds {
		id := fmt.Sprint("i-", round)
		gone := roster.Server{ID: id, Incarnation: 1, Address: closedAddress(t), Service: "app", Slots: 2 * callers}
		f.router.update(mirror.Delta{Servers: []roster.Server{gone}, Revision: uint64(10 + round)})
		var all sync.WaitGroup
		for i := range callers {
			all.Go(func() {
				f.send("/stream/a", fmt.Sprintf("c-%d-%d", round, i), harmlessBody, testParts, "a1,b2")
			})
		}
		all.Wait()
		time.Sleep(2 * quarantine.DefaultConfig().BurstWindow)
	}
	suspects := f.router.inQuarantine((*quarantine.State).Suspects)
	refused := f.router.inQuarantine((*quarantine.State).RefusedCount)
	parts := f.router.inPartQuarantine((*partquarantine.State).Suspects)
	said := qt.Commentf("%d suspect and %d refused requests, %d suspect parts", suspects, refused, parts)
	qt.Check(t, suspects+refused, qt.Equals, 0, said)
	qt.Check(t, parts, qt.Equals, 0, said)
}
