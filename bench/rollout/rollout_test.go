package rollout

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/bench/fleet"
	"goldcrestport/protocol/settings"
	"goldcrestport/state/config"
)

const (
	engines         = 6
	concurrentLoads = 2
	loadTime        = 250 * time.Millisecond
)

// effect is one line of an engine's record of orders.
type effect struct {
	Fence   uint64 `json:"fence"`
	Action  string `json:"action"`
	Version string `json:"version"`
	AtMS    int64  `json:"at_ms"`
}

type engineState struct {
	Models []struct {
		Version string `json:"version"`
	} `json:"models"`
	Role string   `json:"role"`
	Log  []effect `json:"log"`
}

func document(revision uint64, version, role string, checks bool) config.Document {
	return config.Document{
		Revision: revision,
		Teams:    map[string]config.Team{},
		Services: map[string]config.Service{"glossa-pool": {
			Kind: config.KindModel, Role: role, ChecksFence: checks,
			Models: []config.Model{{Name: "glossa", Version: version}},
		}},
	}
}

// Engines that check the fencing token and engines that don't both get from
// nothing to one version and on to the next.
func TestRollout(t *testing.T) {
	bin := fleet.BuildForTest(t)
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fence %v", checks), func(t *testing.T) {
			t.Parallel()
			rollOut(t, bin, checks)
		})
	}
}

func rollOut(t *testing.T, bin string, checks bool) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f, err := fleet.New(bin, t.TempDir())
	c.Assert(err, qt.IsNil)
	defer f.Close()
	_, err = f.StartPlatform(ctx)
	c.Assert(err, qt.IsNil)
	_, err = f.StartRouter("router-1", "nimman", nil)
	c.Assert(err, qt.IsNil)
	var all []*fleet.Process
	for i := range engines {
		e, err := f.StartEngine(fmt.Sprint("engine-", i), "--load-time", loadTime.String(), "--check-fence="+strconv.FormatBool(checks))
		c.Assert(err, qt.IsNil)
		c.Assert(f.WaitHTTP(ctx, e.Addr, "/v1/orders"), qt.IsNil)
		_, err = f.StartSidecar(fmt.Sprint("sidecar-", i), "nimman", "glossa-pool", e, func(s *settings.Sidecar) {
			s.Orders.ConcurrentLoads = concurrentLoads
		})
		c.Assert(err, qt.IsNil)
		all = append(all, e)
	}
	c.Assert(f.PutConfig(document(1, "v1", "", checks)), qt.IsNil)
	waitFor(c, f, all, "v1", "")
	c.Assert(f.PutConfig(document(2, "v2", "decode", checks)), qt.IsNil)
	waitFor(c, f, all, "v2", "decode")
	var loads []effect
	for _, e := range all {
		log := state(c, f, e).Log
		var actions []string
		for _, o := range log {
			actions = append(actions, o.Action+o.Version)
			if o.Action == "load" {
				loads = append(loads, o)
			}
		}
		c.Assert(actions, qt.DeepEquals, []string{"loadv1", "loadv2", "role", "unloadv1"})
		c.Assert(slices.IsSortedFunc(log, func(a, b effect) int { return int(a.Fence) - int(b.Fence) }), qt.IsTrue)
	}
	c.Assert(mostAtOnce(loads) <= concurrentLoads, qt.IsTrue, qt.Commentf("%d loads at once", mostAtOnce(loads)))
}

func state(c *qt.C, f *fleet.Fleet, e *fleet.Process) engineState {
	var s engineState
	c.Assert(f.Get(e.Addr, "/v1/orders", &s), qt.IsNil)
	return s
}

func waitFor(c *qt.C, f *fleet.Fleet, all []*fleet.Process, version, role string) {
	c.Helper()
	for range 300 {
		done := 0
		for _, e := range all {
			s := state(c, f, e)
			if len(s.Models) == 1 && s.Models[0].Version == version && s.Role == role {
				done++
			}
		}
		if done == len(all) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.Fatalf("not all engines have %s %s", version, role)
}

// mostAtOnce returns how many loads overlapped; each took loadTime until its
// record.
func mostAtOnce(loads []effect) int {
	most := 0
	for _, a := range loads {
		n := 0
		for _, b := range loads {
			if b.AtMS <= a.AtMS && b.AtMS > a.AtMS-loadTime.Milliseconds() {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
