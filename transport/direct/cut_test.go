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

// outage is a router that the store does not answer, told by another one, step by
// step.
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

// lose lets one call of the store fail.
func (o *outage) lose() {
	o.follower.storeLost(errors.New("no answer"))
}

// vouch lets another router tell that the store answered it after this one's last
// message.
func (o *outage) vouch() {
	o.router.mu.Lock()
	o.seq++
	o.router.witness.Sent(o.seq, bootTime())
	revision := o.router.mirror.Revision()
	o.router.mu.Unlock()
	o.router.hear(digest.Message{Router: "other", Seq: o.seq, Heard: o.seq, Revision: revision})
}

// remove takes the server's entry away.
func (o *outage) remove() {
	o.router.update(mirror.Delta{Removed: []string{"i-1"}, Revision: o.router.known() + 1})
}

func (o *outage) uses() bool { _, known := o.router.server("i-1"); return known }

// A router is cut off alone and has much to do when it is back, so that it hears from
// the store itself seconds later. Others told it meanwhile that the store answers
// them: a server whose entry is gone by then has left, and gets nothing more.
func TestWhatLeftAfterOthersReachedTheStoreIsGone(t *testing.T) {
	o := startOutage(t)
	o.lose()
	o.vouch()
	time.Sleep(roster.DefaultConfig().ReturnGrace + 100*time.Millisecond)
	o.vouch()
	o.remove()
	o.Check(o.uses(), qt.IsFalse)
}

// The store is away for all: entries that are gone may have lapsed, also when others
// had told before, and shortly after its return.
func TestWhatIsMissingInAnOutageOfTheStoreIsKept(t *testing.T) {
	o := startOutage(t)
	o.lose()
	o.vouch()
	time.Sleep(othersSilent + 100*time.Millisecond)
	o.lose()
	o.remove()
	o.Check(o.uses(), qt.IsTrue)
	o.vouch()
	o.Check(o.uses(), qt.IsTrue)
	o.waitFor("the server stays", func() bool { return !o.uses() })
}
