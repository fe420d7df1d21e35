package direct

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/roster"
	"goldcrestport/protocol/digest"
)

// outage is a router that gets no answer from the store but messages from another router,
// controlled step by step.
type outage struct {
	*fixture
	follower *follower
	seq      uint32
}

func startOutage(t *testing.T) *outage {
	b := newBackend(t, "i-1", ok)
	f := start(t, testConfig(1), b)
	return &outage{fixture: f, follower: &follower{r: f.router}}
}

// failStoreCall lets one call to the store fail.
func (o *outage) failStoreCall() {
	o.follower.storeLost(errors.New("no answer"))
}

// confirmFromPeer sends another router's message that the store answered it after this
// router's last message.
func (o *outage) confirmFromPeer() {
	o.router.mu.Lock()
	o.seq++
	o.router.witness.Sent(o.seq, bootTime())
	revision := o.router.mirror.Revision()
	o.router.mu.Unlock()
	o.router.receiveMessage(digest.Message{Router: "other", Seq: o.seq, Heard: o.seq, Revision: revision})
}

// remove deletes the server's entry.
func (o *outage) remove() {
	o.router.update(mirror.Delta{Removed: []string{"i-1"}, Revision: o.router.knownRevision() + 1})
}

func (o *outage) usesServer() bool { _, known := o.router.server("i-1"); return known }

// A router alone is partitioned from the store and is saturated when it is reconnected, so
// that its own answer from the store comes seconds later. Other routers reported meanwhile
// that the store answers them: a server whose entry is gone by then has shut down and must
// receive nothing more.
func TestAServerRemovedAfterPeersReachedTheStoreIsGone(t *testing.T) {
	o := startOutage(t)
	o.failStoreCall()
	o.confirmFromPeer()
	time.Sleep(roster.DefaultConfig().ReturnGrace + 100*time.Millisecond)
	o.confirmFromPeer()
	o.remove()
	o.Check(o.usesServer(), qt.IsFalse)
}

// The store is unavailable to all routers: entries that are gone may have lapsed, also if
// other routers had sent confirmations before, and shortly after the store's return.
func TestEntriesMissingInAStoreOutageAreKept(t *testing.T) {
	o := startOutage(t)
	o.failStoreCall()
	o.confirmFromPeer()
	time.Sleep(peerSilenceLimit + 100*time.Millisecond)
	o.failStoreCall()
	o.remove()
	o.Check(o.usesServer(), qt.IsTrue)
	o.confirmFromPeer()
	o.Check(o.usesServer(), qt.IsTrue)
	o.waitFor("the server stays", func() bool { return !o.usesServer() })
}
