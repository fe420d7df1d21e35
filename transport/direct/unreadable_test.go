package direct

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"goldcrestport/coordination/mirror"
	"goldcrestport/protocol/settings"
)

// unreadableConfig is the entry of a configuration that cannot be read.
func unreadableConfig(revision uint64) []mirror.InvalidEntry {
	return []mirror.InvalidEntry{{Key: "config", IsConfig: true, Revision: revision, Reason: "unexpected end"}}
}

// Guards against a router that gives up its configuration, or the servers, as a later configuration cannot be read: the
// last one stays in force, the log and a metric say so, and servers that join and leave are followed.
func TestTheLastConfigurationStaysInForceWhereANewOneCannotBeRead(t *testing.T) {
	var lines lineBuffer
	first, second := newBackend(t, "i-1", ok), newBackend(t, "i-2", ok)
	f := startLogged(t, testConfig(1), log.NewLogfmtLogger(&lines), func(*settings.Direct, *testSource) {}, first)
	joins := servers(second)
	f.source.changes <- mirror.Delta{Invalid: unreadableConfig(2), Servers: joins, Removed: []string{"i-1"}, Revision: 2}
	f.waitFor("the server did not join", func() bool { _, known := f.router.server("i-2"); return known })
	f.Check(f.call("/safe/", "a").status, qt.Equals, 200)
	f.Check(second.runs(), qt.DeepEquals, []string{"a"})
	f.Check(f.router.metrics.configUnreadable.Value(), qt.Equals, int64(1))
	f.Check(lines.String(), qt.Contains, "event=entry_invalid key=config revision=2")
	f.source.changes <- mirror.Delta{Config: testConfig(3), Revision: 3}
	f.waitFor("the next configuration is not in force", func() bool { return f.router.table.Load().Version() == 3 })
	f.Check(f.router.metrics.configUnreadable.Value(), qt.Equals, int64(0))
}

// Guards against a router that is never ready as it begins while the configuration cannot be read: another one has the
// last that could.
func TestARouterThatBeginsTakesTheLastConfigurationFromAnother(t *testing.T) {
	peers := newResumeFleet(t, 2).peers
	with := func(id string, isReadable bool) func(*settings.Direct, *testSource) {
		return func(set *settings.Direct, s *testSource) {
			set.ID, set.Listen.Peers = id, peers[id].Address
			s.now.Routers, s.life = peers, peers[id].Life
			if !isReadable {
				s.now.Config, s.now.Invalid = nil, unreadableConfig(1)
			}
		}
	}
	older := startLogged(t, testConfig(7), log.NewNopLogger(), with("r0", true), newBackend(t, "i-1", ok))
	older.source.changes <- mirror.Delta{Invalid: unreadableConfig(2), Revision: 2}
	older.waitFor("the change did not arrive", func() bool { return older.router.knownRevision() == 2 })
	later := startLogged(t, nil, log.NewNopLogger(), with("r1", false))
	later.waitReady()
	qt.Check(t, later.router.table.Load().Version(), qt.Equals, uint64(7))
	_, isKnown := later.router.server("i-1")
	qt.Check(t, isKnown, qt.IsTrue)
}
