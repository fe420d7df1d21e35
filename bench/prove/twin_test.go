package prove

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/bench/fleet"
	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/settings"
)

// isReady asks a process once whether it takes work.
func isReady(p *fleet.Process) bool {
	client := &http.Client{Timeout: checkBound}
	resp, err := client.Get("http://" + p.Ops + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ready waits until a process takes work.
func ready(c *qt.C, w *World, p *fleet.Process) {
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	c.Check(w.fleet.WaitReady(ctx, p), qt.IsNil)
}

// startTwin starts a second sidecar for the slot of s, which is listed under
// an id of its own.
func startTwin(c *qt.C, w *World, s *server) *fleet.Process {
	p, err := w.fleet.StartSidecar("twin", dataCentre, s.service, s.backend, func(set *settings.Sidecar) {
		set.ID = s.name
		set.Backend.Slots = slots(s.service)
		set.Backend.LeaseTTL = settings.Duration(leaseTTL)
	})
	c.Assert(err, qt.IsNil)
	return p
}

func pledges(prefix string, n int) []operation {
	var out []operation
	for i := range n {
		out = append(out, pledge(fmt.Sprintf("%s-%d", prefix, i), "small", ""))
	}
	return out
}

// A sidecar is frozen for longer than its lease, another takes its slot, and
// the frozen one wakes up while both are listed.
func TestWokenSidecarDoesNotServeBesideItsReplacement(t *testing.T) {
	const watched = 3 * time.Second
	c := qt.New(t)
	w := startWorld(c, Size{Routers: 2, Engines: 1, Plain: 1})
	s := w.servers[1]
	i := newInjector(w)
	twin := startTwin(c, w, s)
	time.Sleep(time.Second)
	ready(c, w, s.sidecar)
	c.Assert(isReady(twin), qt.IsFalse)

	woken := make(chan struct{})
	i.force(fault{kind: "long freeze sidecar", target: s.name, begin: s.sidecar.Freeze, heal: func() {
		ready(c, w, twin)
		s.sidecar.Wake()
		close(woken)
	}})
	<-woken
	wait := background(w, pledges("woken", 40)...)
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c.Assert(isReady(s.sidecar), qt.IsFalse)
	}
	wait()
	i.wait()
	ready(c, w, twin)
	check(c, w)
	for _, o := range w.History.Operations {
		c.Check(o.Result, qt.Equals, outcome.Completed)
	}
}
