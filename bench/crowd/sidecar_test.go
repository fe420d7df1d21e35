package crowd

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/bench/fleet"
	"goldcrestport/protocol/settings"
	"goldcrestport/state/config"
)

// Lowered limits of a router with sidecars.
const (
	// sidecarBodies limits all bodies in the router.
	sidecarBodies = 16 << 20
	// sidecarQueues limits the bodies that wait in its queues, half of them those of one team.
	sidecarQueues = 8 << 20
	token         = "crowd-token"
	slots         = 4
)

// startWithSidecar starts a router that reaches its plain service through a sidecar.
func startWithSidecar(t *testing.T) (w *world, sidecar *fleet.Process) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	f, err := fleet.New(bin, c.TempDir())
	c.Assert(err, qt.IsNil)
	c.Cleanup(f.Close)
	_, err = f.StartPlatform(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(f.PutConfig(config.Document{
		Revision: 1,
		Teams:    map[string]config.Team{"pledge-desk": {Share: 1, Tokens: []string{config.TokenDigest(token)}, Services: []string{service}}},
		Services: map[string]config.Service{service: {Kind: config.KindPlain}},
	}), qt.IsNil)
	s, err := f.StartService("ledger-1")
	c.Assert(err, qt.IsNil)
	sidecar, err = f.StartSidecar("sidecar-1", "hall-1", service, s, func(set *settings.Sidecar) { set.Backend.Slots = slots })
	c.Assert(err, qt.IsNil)
	w = &world{C: c, fleet: f, headOf: func(int64) string {
		return fmt.Sprintf("POST /services/%s/pledges HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", service, host, token)
	}}
	w.router, err = f.StartRouter("router-1", "hall-1", func(set *settings.Router) {
		set.Limits.Connections = maxConnections
		set.Limits.Body, set.Limits.Bodies = settings.Size(maxBody), settings.Size(sidecarBodies)
		set.Queues.PerTeamBytes, set.Queues.TotalBytes = settings.Size(sidecarQueues/2), settings.Size(sidecarQueues)
	})
	c.Assert(err, qt.IsNil)
	c.Assert(f.WaitReady(ctx, sidecar, w.router), qt.IsNil)
	for w.ordinary("127.0.9.9") != nil {
		c.Assert(ctx.Err(), qt.IsNil, qt.Commentf("the router and the sidecar are not linked"))
		time.Sleep(ordinaryPause / 10)
	}
	return w, sidecar
}

// holdsThroughSidecar checks a crowd before a router with a sidecar, and both processes.
func holdsThroughSidecar(t *testing.T, send member) {
	t.Helper()
	w, sidecar := startWithSidecar(t)
	stop := watch(sidecar)
	w.mustHold(func() {
		c := w.gather(send, manyAddresses)
		w.mustServe("127.0.8.1")
		c.leave()
	})
	most := stop()
	w.Check(sidecar.Running(), qt.IsTrue)
	w.Check(most.memory <= routerMemory, qt.IsTrue, qt.Commentf("sidecar: %d MiB of %d", most.memory>>20, routerMemory>>20))
}

func TestShortBodiesBeforeARouterWithASidecar(t *testing.T) {
	holdsThroughSidecar(t, chunkedShort(64<<10))
}

func TestVerySmallChunksBeforeARouterWithASidecar(t *testing.T) {
	holdsThroughSidecar(t, chunkedShort(8))
}

func TestLengthsNotKeptBeforeARouterWithASidecar(t *testing.T) {
	holdsThroughSidecar(t, lengthNotKept(maxBody-1))
}

func TestWholeBodiesThroughASidecar(t *testing.T) { holdsThroughSidecar(t, wholeRequest) }
