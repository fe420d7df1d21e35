package report

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/bench/fleet"
	"goldcrestport/bench/load"
	"goldcrestport/bench/observe"
)

var t0 = time.Unix(1000, 0)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

func sample(s float64, a, b float64, waitingB int, ended int) TeamSample {
	return TeamSample{
		Sample: observe.Sample{
			At:      at(s),
			Cost:    map[string]float64{"a": a, "b": b, "c": 10 * s},
			Running: map[string]int{"a": 1, "b": 1, "c": 1},
			Ended:   ended, EndedCost: float64(ended) * 10,
		},
		Outstanding: map[string]int{"a": 5, "b": 1 + waitingB, "c": 1},
	}
}

func trial() *Trial {
	use := func(s, cpu, bytes float64) map[string]observe.Use {
		u := observe.Use{At: at(s), CPU: time.Duration(cpu * float64(time.Second)), Process: &fleet.Process{}}
		u.Metrics = observe.Metrics{}
		for _, n := range []string{observe.RouterControlIn, observe.RouterControlOut, observe.SidecarControlIn, observe.SidecarControlOut} {
			u.Metrics[n] = bytes
		}
		return map[string]observe.Use{"router-1": u, "sidecar-1": u}
	}
	return &Trial{
		Policy: "pull",
		Teams: []load.Team{
			{Name: "a", Kind: load.Backlogged, Share: 4},
			{Name: "b", Kind: load.Flooding, Share: 1},
			{Name: "c", Kind: load.Light, Share: 1},
		},
		From: at(0), To: at(10), Windows: []time.Duration{5 * time.Second, 10 * time.Second},
		Pool:    Pool{Sidecars: 2, Slots: 4, LookAhead: 1, MaxCost: 100, CostRate: 100, ChargeEvery: 20 * time.Millisecond},
		Samples: []TeamSample{sample(-1, 0, 0, 3, 0), sample(0, 40, 10, 3, 10), sample(5, 240, 50, 3, 20), sample(10, 440, 70, 3, 30)},
		SlotSamples: []observe.SlotSample{
			{At: at(0), Waiting: true}, {At: at(10), Busy: 60 * time.Second, Waiting: true},
		},
		Results: []load.Result{
			{Team: "a", Ending: load.Completed, ID: "1", Sent: at(0), First: at(1), End: at(2)},
			{Team: "c", Ending: load.Completed, ID: "2", Sent: at(3), First: at(4), End: at(4)},
			{Team: "b", Ending: load.Refused, Sent: at(5), End: at(5)},
			{Team: "b", Ending: load.Broken, Sent: at(6), End: at(6)},
		},
		Started: func(id string) (time.Time, bool) { return at(3.5), id == "2" },
		Before:  use(0, 0, 0), After: use(10, 2, 100),
		QuietBefore: use(11, 2, 100), QuietAfter: use(13, 2.2, 100),
	}
}

func TestFigures(t *testing.T) {
	c := qt.New(t)
	r := trial().Figures()
	c.Assert(r.MeanRequestCost, qt.Equals, 10.0)
	c.Assert(r.Backlogged, qt.DeepEquals, []string{"a", "b"})
	c.Assert(r.FairnessGap, qt.Equals, 4.0) // 400/4 against 60/1, over 10
	c.Assert(r.GapBound, qt.Equals, 263.2)  // 2 x 2 x (5 x 100 x 1.3 + 4 x 100 x 0.02) / 1, over 10
	c.Assert(r.Windows, qt.DeepEquals, []WindowGap{{5, 2, 3, 3}, {10, 1, 4, 4}})
	c.Assert(r.Utilisation, qt.Equals, 0.75)
	c.Assert(r.IdleWhileWaiting, qt.Equals, 0.25)
	c.Assert([]int{r.Requests, r.Refused, r.Errors}, qt.DeepEquals, []int{2, 1, 1})
	c.Assert(r.LightWait > 499 && r.LightWait < 501, qt.IsTrue)
	c.Assert(r.LongestSilence, qt.DeepEquals, map[string]float64{"a": 8000, "b": 10000})
	c.Assert(*r.ControlBytes, qt.Equals, 20.0)
	c.Assert(*r.ControlCPU > 0.099 && *r.ControlCPU < 0.101, qt.IsTrue)
	c.Assert(r.SidecarIdle, qt.IsNil)
	c.Assert(r.RouterCPU, qt.Equals, 0.2)
}

func TestTeamWithoutWaitingIsNotBacklogged(t *testing.T) {
	c := qt.New(t)
	tr := trial()
	tr.Samples[2].Outstanding["b"] = 1
	c.Assert(tr.Figures().Backlogged, qt.DeepEquals, []string{"a"})
}

func TestMedians(t *testing.T) {
	c := qt.New(t)
	cpu := 0.5
	all := []PolicyResult{
		{Policy: "p", FairnessGap: 3, Utilisation: 0.9, Requests: 3}, {Policy: "p", FairnessGap: 1, Utilisation: 0.8, ControlCPU: &cpu},
		{Policy: "p", FairnessGap: 2, Utilisation: 0.7, Requests: 2},
	}
	out, spread := Medians(map[string][]PolicyResult{"p": all}, []string{"none", "p"})
	c.Assert(out, qt.HasLen, 1)
	c.Assert(out[0].FairnessGap, qt.Equals, 2.0)
	c.Assert(out[0].Utilisation, qt.Equals, 0.8)
	c.Assert(out[0].Requests, qt.Equals, 2)
	c.Assert(*out[0].ControlCPU, qt.Equals, 0.5)
	c.Assert(out[0].ControlBytes, qt.IsNil)
	c.Assert(spread[0].FairnessGap, qt.Equals, [2]float64{1, 3})
}

func TestPlot(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "out", "plot.png")
	c.Assert(Plot(path, []*Trial{trial(), trial()}), qt.IsNil)
	data, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Contains, "PNG")
}

func TestChecks(t *testing.T) {
	c := qt.New(t)
	bytes := 20000.0
	results := []PolicyResult{
		{Policy: "push-fifo", FairnessGap: 90, Utilisation: 0.99},
		{
			Policy: "pull", FairnessGap: 5, GapBound: 10, Utilisation: 0.985, IdleWhileWaiting: 0.006,
			LightWait: 1, MeanService: 2, LargestBytes: &bytes,
			Windows: []WindowGap{{30, 1, 4, 4}, {120, 1, 5, 5}},
		},
	}
	met := map[string]bool{}
	for _, k := range Checks(results, "pull") {
		met[k.Name] = k.Met
	}
	c.Assert(met, qt.DeepEquals, map[string]bool{
		"gap to its bound": true, "idle while work waits": false, "light teams' wait to mean service": true,
		"median gap of longest windows to shortest": true, "gap of FIFO to this": false, "utilisation to best baseline's": true,
		"control bytes a second, largest process": false,
	})
	c.Assert(Checks(results, "other"), qt.HasLen, 0)
}

func TestReportKeys(t *testing.T) {
	c := qt.New(t)
	data, err := json.Marshal(Report{PolicyResults: []PolicyResult{trial().Figures()}, Chosen: "pull"})
	c.Assert(err, qt.IsNil)
	for _, key := range []string{
		"policy_results", "chosen", "policy", "fairness_gap", "gap_bound", "utilisation", "idle_while_waiting_fraction",
		"light_team_wait_p95_ms", "ttft_p95_ms", "control_bytes_per_s_per_process", "control_cpu_fraction", "requests", "errors",
	} {
		c.Check(string(data), qt.Contains, `"`+key+`":`)
	}
}
