package prove

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/bench/history"
	"goldcrestport/protocol/outcome"
)

// keyed returns n pledges, each with a key of its own.
func keyed(n int) []operation {
	var out []operation
	for i := range n {
		id := fmt.Sprintf("pledge-%d", i)
		out = append(out, pledge(id, "small", "key-"+id))
	}
	return out
}

// runsOf counts the runs under the keys of the operations.
func runsOf(w *World, ops []operation) map[string]int {
	out := map[string]int{}
	for _, op := range ops {
		out[op.key] = 0
	}
	for _, r := range w.History.Runs {
		out[r.Key]++
	}
	return out
}

func TestOneKeyThroughTwoRoutersRunsOnce(t *testing.T) {
	c := qt.New(t)
	w := startWorld(c, testSize)
	var running sync.WaitGroup
	var all []operation
	for n := range 20 {
		ops := thrice(fmt.Sprintf("pledge-%d", n), "small")
		all = append(all, ops...)
		caller := newCaller(w, "caller", "small", uint64(n))
		running.Go(func() { caller.perform(ops) })
	}
	running.Wait()
	check(c, w)
	for key, n := range runsOf(w, all) {
		c.Check(n, qt.Equals, 1, qt.Commentf("%s", key))
	}
	for _, o := range w.History.Operations {
		c.Check(o.Result, qt.Equals, outcome.Completed, qt.Commentf("%s", o.ID))
	}
}

func TestOneKeyRunsOnceOverLostAnswersAndRestarts(t *testing.T) {
	c := qt.New(t)
	w := startWorld(c, testSize)
	i := newInjector(w)
	lossy := w.platformFault(rand.New(rand.NewPCG(1, 1)), "platform answers lost", platformFaults{LoseAnswers: 0.3, Seed: 1})
	lossy.length = time.Second
	i.force(lossy)
	ops := keyed(20)
	wait := background(w, ops...)
	time.Sleep(midStream / 2)
	for _, r := range w.routers {
		i.force(fault{kind: "kill router", target: r.Name, begin: r.Kill, heal: func() { w.start(r.Process) }})
	}
	for _, s := range w.servers {
		i.force(fault{kind: "kill sidecar", target: s.name, begin: s.sidecar.Kill, heal: func() { w.start(s.sidecar) }})
	}
	i.wait()
	wait()
	time.Sleep(listLag + settleStart)
	for n := range ops {
		ops[n].id += "-again"
	}
	background(w, ops...)()
	check(c, w)
	for key, n := range runsOf(w, ops) {
		c.Check(n <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", key, n))
	}
}

func TestKeysAreRefusedAtOnceWhileThePlatformIsDown(t *testing.T) {
	const atOnce = 3 * time.Second
	c := qt.New(t)
	w := startWorld(c, testSize)
	i := newInjector(w)
	down := w.platformDown(rand.New(rand.NewPCG(1, 1)))
	down.length = 4 * time.Second
	i.force(down)
	ops := keyed(10)
	background(w, ops...)()
	i.wait()
	check(c, w)
	for _, op := range ops {
		seen := calls(w, op.id)
		c.Check(seen[0].Outcome, qt.Equals, outcome.NotRun)
		c.Check(seen[0].Reason, qt.Equals, string(outcome.ReasonPlatform))
		c.Check(seen[0].Ended.Sub(seen[0].Sent) < atOnce, qt.IsTrue)
		last := seen[len(seen)-1]
		c.Check(last.Ending, qt.Equals, history.Answered)
		c.Check(last.Outcome, qt.Equals, outcome.Completed)
	}
}
