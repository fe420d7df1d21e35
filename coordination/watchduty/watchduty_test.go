package watchduty

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// recentView is a view that was current a second ago, with an update just
// received.
var recentView = Knowledge{Known: true, Age: time.Second}

// In a fleet of any size the configured number of routers poll the store while
// all routers receive updates.
func TestConfiguredNumberOfRoutersPolls(t *testing.T) {
	cfg := DefaultConfig()
	for _, n := range []int{1, 2, 3, 30, 300} {
		var routers []string
		for i := range n {
			routers = append(routers, fmt.Sprint("edge-", i))
		}
		polling := 0
		for _, self := range routers {
			if cfg.ShouldPoll(self, routers, recentView) {
				polling++
			}
		}
		qt.Check(t, polling, qt.Equals, min(n, cfg.Watchers), qt.Commentf("%d routers", n))
		for _, chosen := range cfg.Chosen(routers) {
			qt.Check(t, cfg.ShouldPoll(chosen, routers, recentView), qt.IsTrue)
		}
		qt.Check(t, cfg.Chosen(routers), qt.HasLen, min(n, cfg.Watchers))
	}
}

// A router polls the store itself if its view is stale or missing.
func TestRouterWithStaleViewPolls(t *testing.T) {
	cfg, routers := DefaultConfig(), []string{"a", "b", "c", "d"}
	for _, self := range routers {
		qt.Check(t, cfg.ShouldPoll(self, routers, Knowledge{Known: true, Age: cfg.MaxAge + 1}), qt.IsTrue)
		qt.Check(t, cfg.ShouldPoll(self, routers, Knowledge{}), qt.IsTrue)
	}
	// A router that is missing from its own list is counted, too.
	qt.Check(t, cfg.ShouldPoll("e", nil, recentView), qt.IsTrue)
}

// Guards against a router that learns too late that a server shuts down. A
// router was partitioned for so long that its entry expired. The others didn't
// have it in their list and sent it no updates, while it reached the store
// again but polled it only now and then. Such a router learnt of a shutdown
// after 2.1 s; the bound is 2 s.
func TestRouterWithoutUpdatesPolls(t *testing.T) {
	cfg, routers := DefaultConfig(), []string{"a", "b", "c", "d"}
	for _, self := range routers {
		qt.Check(t, cfg.ShouldPoll(self, routers, Knowledge{Known: true, Age: 300 * time.Millisecond, SinceUpdate: cfg.UpdateTimeout + 1}), qt.IsTrue)
	}
	// The condition is checked every 100 ms, and a healthy store responds within
	// 50 ms.
	qt.Check(t, cfg.UpdateTimeout+150*time.Millisecond <= 1800*time.Millisecond, qt.IsTrue)
}
