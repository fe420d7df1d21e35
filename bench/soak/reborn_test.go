package soak

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/standin/backend"
	"goldcrestport/standin/kvstore"
)

// The only engine starts again under its id, at another address, while watches hear
// nothing; the store is away meanwhile and has dropped its history when it is back. Its
// work goes to the later process within the time of recovery, and a late write of the
// earlier one, even that it drains, changes nothing.
func TestAServerStartsAgainBesideARestartedStore(t *testing.T) {
	c := qt.New(t)
	size := Size{Routers: 3, Engines: 1, Plain: 1, Other: 1}
	w := startFleet(c, c.TempDir(), size)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.balancer.watch(ctx, w.routers)
	before := w.engine()
	w.mustServe(c, before.ID, "before")

	w.store.SetFaults(kvstore.Faults{DeafWatches: true})
	before.close()
	c.Assert(w.runServer(before.ID, engineService, "127.0.0.1:0"), qt.IsNil)
	w.store.SetFaults(kvstore.Faults{Status: 503})
	time.Sleep(time.Second)
	w.store.Compact()
	w.store.SetFaults(kvstore.Faults{})
	time.Sleep(recovery)
	w.mustServe(c, before.ID, "after")

	for _, state := range []string{backend.Ready, backend.Draining} {
		w.enter(before, state)
		time.Sleep(drain)
		w.mustServe(c, before.ID, "late "+state)
	}
}

// engine returns the only engine.
func (w *World) engine() *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		if s.Service == engineService {
			return s
		}
	}
	return nil
}

// mustServe sends streams, which the server must run whole, but those that their caller
// gave up.
func (w *World) mustServe(c *qt.C, id, name string) {
	one := newCaller(w, name, uint64(len(name)))
	for i := range 6 {
		one.attempt(Stream, teamName(i%4), fmt.Sprint(name, i))
		w.Record.add(func() {
			call := w.Record.Calls[len(w.Record.Calls)-1]
			runs := w.Record.Runs[call.ID]
			served := call.Status == 200 && call.Whole && len(runs) == 1 && runs[0].Server == id
			c.Check(served || !call.Left.IsZero(), qt.IsTrue, qt.Commentf("%+v ran %+v", call, runs))
		})
	}
}
