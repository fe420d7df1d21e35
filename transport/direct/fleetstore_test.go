package direct

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/repeats"
	"goldcrestport/protocol/settings"
)

// countedRouters returns how many routers share retries, as this router has it.
func (f *fixture) countedRouters() int {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	return f.router.fleetSize.Routers(time.Now())
}

// Guards against a router that starts while the entries of all others have lapsed, and takes their part of
// the retries: it reads the number that they wrote, or is told by the router from which it starts.
func TestARouterThatStartsCountsRoutersWhoseEntriesLapsed(t *testing.T) {
	b := newBackend(t, "i-1", ok)
	var kept func() repeats.FleetRecord
	seed := startWith(t, testConfig(3), func(set *settings.Direct, source *testSource) {
		set.ID, set.Listen.Peers = "seed", freeAddress(qt.New(t))
		source.now.Routers = map[string]mirror.Registration{"other": {Address: "127.0.0.1:1"}, "third": {Address: "127.0.0.1:1"}}
		kept = source.keptFleet
	}, b)
	seed.waitStatus("/safe/", "", http.StatusOK)
	for end := time.Now().Add(10 * time.Second); kept().Routers == 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	record := kept()
	seed.Assert(record.Routers, qt.Equals, 3)

	read := startWith(t, testConfig(3), func(set *settings.Direct, source *testSource) {
		set.ID, set.Listen.Peers = "read", freeAddress(qt.New(t))
		source.now.Fleet = &record
	}, b)
	read.waitStatus("/safe/", "", http.StatusOK)
	read.Check(read.countedRouters(), qt.Equals, 3)

	seed.router.mu.Lock()
	clear(seed.router.peers)
	seed.router.countRouters()
	seed.router.mu.Unlock()
	told := startWith(t, nil, func(set *settings.Direct, source *testSource) {
		source.down = true
		set.ID, set.Listen.Peers, set.Seeds = "told", freeAddress(qt.New(t)), []string{seed.set.Listen.Peers}
	})
	told.waitStatus("/safe/", "", http.StatusOK)
	told.Check(told.countedRouters(), qt.Equals, 3)
}
