package direct

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/versions"
)

// Guards against a router that goes on taking a further version for one at which no stream has begun, and proves by it
// what is not so, as it learned of the store's changes from another router: that passed no records of versions on.
func TestRoutersLearnFromEachOtherAtWhichVersionsStreamsBegin(t *testing.T) {
	over := versions.Served{Service: "app", Versions: []roster.Version{"v1", "v2"}}
	f := start(t, testConfig(1))
	f.source.changes <- mirror.Delta{Served: []versions.Served{over}, Revision: 2}
	f.waitFor("the change did not arrive", func() bool { return f.router.knownRevision() == 2 })
	whole, err := f.router.changesFor(changesRequest{Revision: 2})
	f.Assert(err, qt.IsNil)
	f.Check(whole.Whole.Served, qt.DeepEquals, []versions.Served{over})
	changed, err := f.router.changesFor(changesRequest{Revision: 2, Have: 1})
	f.Assert(err, qt.IsNil)
	f.Check(changed.Changes.Served, qt.DeepEquals, []versions.Served{over})
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	f.Check(f.router.versions.Records(time.Now().Add(versions.Horizon)), qt.HasLen, 0, qt.Commentf("the store has it no longer"))
}
