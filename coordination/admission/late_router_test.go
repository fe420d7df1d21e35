package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a flooded router that reads its input late, takes this for silence
// of the others, assumes that they have as much in flight as it has, and refuses
// everything although servers are idle.
func TestLateRouterUsesLastReports(t *testing.T) {
	const routers, servers = 30, 50
	s := engines(servers)
	s.SetRouters(routers)
	now := epoch
	sendDigests := func() {
		for i := range routers - 1 {
			s.ReceiveDigest(now, fmt.Sprint("r-", i), Digest{All: true})
		}
	}
	sendDigests()
	s.SetLate(true)
	sent, now := placeEach(s, now, 20)
	qt.Check(t, sent, qt.Equals, 200, qt.Commentf("of 200 requests that 50 idle servers can start at once"))
	qt.Check(t, s.PeerStaleness(now), qt.Equals, 2*time.Second)
	// Reports that are older than impairedPeerTTL no longer count.
	s.Tick(now.Add(impairedPeerTTL))
	qt.Check(t, s.PeerStaleness(now.Add(impairedPeerTTL)), qt.Equals, time.Duration(0))
	// Once the router reads in time again and receives from others, a silent router
	// is dropped after the usual time.
	now = now.Add(impairedPeerTTL + 2*time.Second)
	s.SetLate(false)
	sendDigests()
	silent := "r-0"
	now = now.Add(peerTTL + time.Millisecond)
	for i := 1; i < routers-1; i++ {
		s.ReceiveDigest(now, fmt.Sprint("r-", i), Digest{All: true})
	}
	s.Tick(now)
	qt.Check(t, s.peers[silent], qt.IsNil)
	qt.Check(t, s.PeerStaleness(now), qt.Equals, time.Duration(0))
}
