package observe

import (
	"encoding/json"
	"time"

	"goldcrestport/bench/fleet"
)

// Names of the metrics that are read. Some processes may not publish all.
const (
	RouterControlIn   = "router_control_bytes_in"
	RouterControlOut  = "router_control_bytes_out"
	SidecarControlIn  = "sidecar_control_bytes_in"
	SidecarControlOut = "sidecar_control_bytes_out"
	SidecarIdle       = "sidecar_idle_while_waiting_ms"
)

// Metrics are the numbers that one process publishes by expvar.
type Metrics map[string]float64

// ReadMetrics reads the numbers that the process publishes.
func ReadMetrics(get Getter, p *fleet.Process) (Metrics, error) {
	var all map[string]json.RawMessage
	if err := get.Get(p.Ops, "/debug/vars", &all); err != nil {
		return nil, err
	}
	m := Metrics{}
	for name, raw := range all {
		var v float64
		if json.Unmarshal(raw, &v) == nil {
			m[name] = v
		}
	}
	return m, nil
}

// Use is what one process had used by a time.
type Use struct {
	Process *fleet.Process
	At      time.Time
	CPU     time.Duration
	RSS     int64
	Metrics Metrics
}

// ReadUse reads the use of each process. One that does not answer is left out.
func ReadUse(get Getter, ps []*fleet.Process) map[string]Use {
	out := map[string]Use{}
	for _, p := range ps {
		usage, err := p.Usage()
		if err != nil {
			continue
		}
		u := Use{Process: p, At: time.Now(), CPU: usage.CPU, RSS: usage.RSS}
		if u.Metrics, err = ReadMetrics(get, p); err != nil {
			continue
		}
		out[p.Name] = u
	}
	return out
}

// Rate is the growth of metrics between two readings of a process, a second.
// It reports false if the process does not publish all of them.
func Rate(before, after Use, names ...string) (float64, bool) {
	sum := 0.0
	for _, n := range names {
		a, ok := after.Metrics[n]
		if !ok {
			return 0, false
		}
		b := before.Metrics[n]
		if a < b {
			b = 0 // restarted in between
		}
		sum += a - b
	}
	return sum / after.At.Sub(before.At).Seconds(), true
}

// CPUFraction is the part of one core that the process used in between.
func CPUFraction(before, after Use) float64 {
	cpu := after.CPU - before.CPU
	if cpu < 0 {
		cpu = after.CPU
	}
	return cpu.Seconds() / after.At.Sub(before.At).Seconds()
}
