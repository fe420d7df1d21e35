package prove

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/bench/history"
	"goldcrestport/protocol/outcome"
)

// binaries is the folder with the programs: built once, or those of an earlier
// commit, to see a test fail.
var binaries = flag.String("bin", "", "folder with goldcrestd and standin; empty builds them")

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	flag.Parse()
	if *binaries != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "prove")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	*binaries = dir
	cmd := exec.Command("go", "build", "-o", dir, "goldcrestport/cmd/goldcrestd", "goldcrestport/standin/cmd/standin")
	if out, err := cmd.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

// testSize is a fleet small enough for a test.
var testSize = Size{Routers: 2, Engines: 2, Plain: 2}

// together bounds the fleets that run at the same time.
var together = make(chan struct{}, 3)

// startWorld starts a fleet for a test that runs beside others.
func startWorld(c *qt.C, size Size) *World {
	c.Parallel()
	together <- struct{}{}
	c.Cleanup(func() { <-together })
	w, err := Start(context.Background(), *binaries, c.TempDir(), size)
	if w != nil {
		c.Cleanup(w.Close)
	}
	c.Assert(err, qt.IsNil)
	return w
}

// check collects the history and wants no violation in it.
func check(c *qt.C, w *World) {
	time.Sleep(lastWrites)
	c.Assert(w.collect(), qt.IsNil)
	for _, r := range history.Check(w.History, history.DefaultBounds()) {
		c.Check(r.Violations, qt.HasLen, 0, qt.Commentf("%s", r.Promise))
	}
}

// calls returns the recorded calls of an operation.
func calls(w *World, operation string) []history.Call {
	var out []history.Call
	for _, call := range w.History.Calls {
		if call.Operation == operation {
			out = append(out, call)
		}
	}
	return out
}

// background runs n operations at once and returns a function that waits for
// them.
func background(w *World, ops ...operation) func() {
	var running sync.WaitGroup
	for i, op := range ops {
		c := newCaller(w, op.id, op.team, uint64(i))
		running.Go(func() {
			c.one(op, w.routers[i%len(w.routers)], rand.New(rand.NewPCG(uint64(i), 0)))
		})
	}
	return running.Wait
}

// streams returns long streamed enquiries.
func streams(n int) []operation {
	const tokens = 200
	var out []operation
	for i := range n {
		out = append(out, chat(fmt.Sprintf("stream-%d", i), "large", true, tokens))
	}
	return out
}

// midStream is a part of a stream's time, long enough for its first bytes.
const midStream = 700 * time.Millisecond

// waitStarted waits until the backend servers have started n runs.
func waitStarted(c *qt.C, w *World, n int64) {
	for end := time.Now().Add(startBound); time.Now().Before(end); time.Sleep(minPause) {
		var started int64
		for _, s := range w.servers {
			var stats struct {
				Started int64 `json:"started"`
			}
			c.Assert(w.fleet.Get(s.backend.Addr, "/admin/stats", &stats), qt.IsNil)
			started += stats.Started
		}
		if started >= n {
			return
		}
	}
	c.Fatalf("%d runs did not start within %s", n, startBound)
}

func TestKilledSidecarNeverEndsAStreamCleanly(t *testing.T) {
	c := qt.New(t)
	w := startWorld(c, Size{Routers: 2, Engines: 1, Plain: 1})
	i := newInjector(w)
	wait := background(w, streams(4)...)
	waitStarted(c, w, 4)
	time.Sleep(midStream)
	s := w.servers[0]
	f := fault{kind: "kill sidecar", target: s.name, begin: s.sidecar.Kill, heal: func() { w.start(s.sidecar) }}
	i.force(f)
	i.wait()
	wait()
	check(c, w)
	for _, op := range streams(4) {
		seen := calls(w, op.id)
		c.Check(seen[0].Ending, qt.Equals, history.Cut)
		c.Check(seen[0].Bytes > 0, qt.IsTrue)
		c.Check(seen[len(seen)-1].Outcome, qt.Equals, outcome.Completed)
	}
}

func TestCutLinksLeaveStreamsWhole(t *testing.T) {
	c := qt.New(t)
	w := startWorld(c, testSize)
	i := newInjector(w)
	wait := background(w, streams(8)...)
	waitStarted(c, w, 8)
	time.Sleep(midStream)
	for _, s := range w.servers {
		i.force(fault{kind: "reset link", target: s.name, begin: s.link.Reset, heal: func() {}})
		i.force(fault{kind: "cut link", target: s.name, length: midStream / 2, begin: s.link.Cut, heal: s.link.Heal})
	}
	i.wait()
	wait()
	check(c, w)
	for _, op := range streams(8) {
		seen := calls(w, op.id)
		c.Check(seen, qt.HasLen, 1)
		c.Check(seen[0].Outcome, qt.Equals, outcome.Completed)
		c.Check(seen[0].Ending, qt.Equals, history.Answered)
	}
	c.Check(w.History.Runs, qt.HasLen, 8)
}

func TestHeldLinkLeavesStreamsWhole(t *testing.T) {
	c := qt.New(t)
	w := startWorld(c, testSize)
	i := newInjector(w)
	wait := background(w, streams(4)...)
	waitStarted(c, w, 4)
	time.Sleep(midStream)
	for _, s := range w.servers {
		i.force(fault{kind: "hold link", target: s.name, length: 2 * midStream, begin: s.link.Hold, heal: s.link.Heal})
	}
	i.wait()
	wait()
	check(c, w)
	for _, op := range streams(4) {
		c.Check(calls(w, op.id), qt.HasLen, 1)
	}
}

func TestServesWhileThePlatformIsDown(t *testing.T) {
	c := qt.New(t)
	w := startWorld(c, testSize)
	i := newInjector(w)
	f := w.platformDown(rand.New(rand.NewPCG(1, 1)))
	ended, up := make(chan struct{}), f.heal
	f.heal = func() {
		<-ended
		up()
	}
	i.force(f)
	ops := streams(4)
	for n := range 20 {
		ops = append(ops, receipt(fmt.Sprintf("receipt-%d", n), "small"), pledge(fmt.Sprintf("pledge-%d", n), "small", ""))
	}
	background(w, ops...)()
	close(ended)
	i.wait()
	check(c, w)
	for _, op := range ops {
		seen := calls(w, op.id)
		c.Check(seen, qt.HasLen, 1)
		c.Check(seen[0].Outcome, qt.Equals, outcome.Completed)
	}
}

func TestRollingRestartCutsOffNothing(t *testing.T) {
	c := qt.New(t)
	w := startWorld(c, testSize)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var working sync.WaitGroup
	w.startCallers(ctx, &working, 1, drawOne)
	time.Sleep(midStream)
	w.restartAll()
	cancel()
	working.Wait()
	check(c, w)
	c.Check(len(w.History.Faults), qt.Equals, len(w.servers)+len(w.routers))
	for _, f := range w.History.Faults {
		c.Check(f.Kind, qt.Equals, "graceful restart")
	}
	c.Check(len(w.History.Calls) > 100, qt.IsTrue)
}
