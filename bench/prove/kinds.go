package prove

import (
	"math/rand/v2"
	"time"

	"goldcrestport/bench/history"
	"goldcrestport/transport/platform"
)

// kinds lists the failures from which a run draws.
func (w *World) kinds() []func(*rand.Rand) fault {
	return []func(*rand.Rand) fault{
		w.killRouter, w.killSidecar, w.killBackend,
		w.freezeRouter, w.freezeSidecar, w.freezeBackend,
		w.cutLink, w.resetLink, w.resetLink, w.holdLink,
		w.platformDown, w.platformSlow, w.platformLossy, w.platformCut,
		w.backendFails, w.backendStalls, w.backendCuts,
		w.leaveByList, w.leaveByDrain,
	}
}

func (w *World) anyRouter(random *rand.Rand) *router { return w.routers[random.IntN(len(w.routers))] }

func (w *World) anyServer(random *rand.Rand) *server { return w.servers[random.IntN(len(w.servers))] }

func (w *World) killRouter(random *rand.Rand) fault {
	r := w.anyRouter(random)
	return w.killed(random, "router", groupRouter, r.Process, r.Name)
}

func (w *World) killSidecar(random *rand.Rand) fault {
	s := w.anyServer(random)
	return w.killed(random, "sidecar", s.service, s.sidecar, s.name)
}

func (w *World) killBackend(random *rand.Rand) fault {
	s := w.anyServer(random)
	return w.killed(random, "backend server", s.service, s.backend, s.name)
}

func (w *World) freezeRouter(random *rand.Rand) fault {
	r := w.anyRouter(random)
	return w.frozen(random, "router", groupRouter, r.Process, r.Name)
}

func (w *World) freezeSidecar(random *rand.Rand) fault {
	s := w.anyServer(random)
	return w.frozen(random, "sidecar", s.service, s.sidecar, s.name)
}

func (w *World) freezeBackend(random *rand.Rand) fault {
	s := w.anyServer(random)
	return w.frozen(random, "backend server", s.service, s.backend, s.name)
}

func (w *World) cutLink(random *rand.Rand) fault {
	s := w.anyServer(random)
	return fault{
		kind: "cut link", target: s.name, group: s.service, length: between(random, shortest, moreCut),
		begin: s.link.Cut, heal: s.link.Heal,
	}
}

func (w *World) resetLink(random *rand.Rand) fault {
	s := w.anyServer(random)
	return fault{kind: "reset link", target: s.name, group: s.service, begin: s.link.Reset, heal: func() {}}
}

func (w *World) holdLink(random *rand.Rand) fault {
	s := w.anyServer(random)
	return fault{
		kind: "hold link", target: s.name, group: s.service, length: between(random, shortest, moreCut+moreOutage),
		begin: s.link.Hold, heal: s.link.Heal,
	}
}

// platformFaults are the faults of the platform's stand-in.
type platformFaults struct {
	Down        bool    `json:"down,omitempty"`
	LatencyMS   int64   `json:"latency_ms,omitempty"`
	LoseAnswers float64 `json:"lose_answers,omitempty"`
	Seed        uint64  `json:"seed,omitempty"`
}

const faultsPath = "/admin/faults"

func (w *World) platformFault(random *rand.Rand, kind string, set platformFaults) fault {
	return fault{
		kind: kind, target: groupPlatform, group: groupPlatform, length: between(random, shortest, moreOutage),
		begin: func() { _ = w.fleet.Put(w.platform.Addr, faultsPath, set) },
		heal:  func() { _ = w.fleet.Put(w.platform.Addr, faultsPath, platformFaults{}) },
	}
}

func (w *World) platformDown(random *rand.Rand) fault {
	return w.platformFault(random, "platform down", platformFaults{Down: true})
}

// Ranges of the platform's faults.
const (
	minLatencyMS  = 100
	moreLatencyMS = 800
	minLost       = 0.1
	moreLost      = 0.5
)

func (w *World) platformSlow(random *rand.Rand) fault {
	return w.platformFault(random, "platform slow", platformFaults{LatencyMS: minLatencyMS + random.Int64N(moreLatencyMS)})
}

func (w *World) platformLossy(random *rand.Rand) fault {
	lost := minLost + moreLost*random.Float64()
	return w.platformFault(random, "platform answers lost", platformFaults{LoseAnswers: lost, Seed: random.Uint64()})
}

// platformCut cuts one process off the platform.
func (w *World) platformCut(random *rand.Rand) fault {
	f := fault{kind: "cut from platform", length: between(random, shortest, moreOutage)}
	if random.IntN(2) == 0 {
		r := w.anyRouter(random)
		f.target, f.group, f.begin, f.heal = r.Name, groupRouter, r.platform.Cut, r.platform.Heal
		return f
	}
	s := w.anyServer(random)
	f.target, f.group, f.begin, f.heal = s.name, s.service, s.platform.Cut, s.platform.Heal
	return f
}

// backendFaults are the faults of a backend server's stand-in.
type backendFaults struct {
	Fail          float64 `json:"fail,omitempty"`
	StallMS       int64   `json:"stall_ms,omitempty"`
	CutAfterBytes int64   `json:"cut_after_bytes,omitempty"`
	Seed          uint64  `json:"seed,omitempty"`
}

func (w *World) backendFault(random *rand.Rand, kind string, set backendFaults) fault {
	s := w.anyServer(random)
	return fault{
		kind: kind, target: s.name, group: s.service, length: between(random, shortest, moreCut),
		begin: func() { _ = w.fleet.Put(s.backend.Addr, faultsPath, set) },
		heal:  func() { _ = w.fleet.Put(s.backend.Addr, faultsPath, backendFaults{}) },
	}
}

// Sizes of the backend servers' faults.
const (
	failing  = 0.5
	stallMS  = 700
	minBytes = 40
	moreByte = 2000
)

func (w *World) backendFails(random *rand.Rand) fault {
	return w.backendFault(random, "backend server fails", backendFaults{Fail: failing, Seed: random.Uint64()})
}

func (w *World) backendStalls(random *rand.Rand) fault {
	return w.backendFault(random, "backend server stalls", backendFaults{StallMS: stallMS})
}

func (w *World) backendCuts(random *rand.Rand) fault {
	return w.backendFault(random, "backend server cuts answers", backendFaults{CutAfterBytes: minBytes + random.Int64N(moreByte)})
}

// leaveLength is how long a backend server stays away; it is longer than the
// time in which it may still get work.
const leaveLength = 8 * time.Second

// leaveByList marks a backend server as leaving on the platform's list.
func (w *World) leaveByList(random *rand.Rand) fault {
	s := w.anyServer(random)
	leave := history.Leave{Server: s.name, How: "list"}
	return fault{
		kind: "leave by list", target: s.name, group: s.service, planned: true, length: leaveLength,
		begin: func() {
			leave.From = time.Now()
			w.list(s, platform.StateLeaving)
		},
		heal: func() {
			leave.Until = time.Now()
			w.list(s, platform.StateLive)
			w.History.Add(leave)
		},
	}
}

func (w *World) list(s *server, state platform.InstanceState) {
	i := s.instance
	i.State = state
	// While the platform is down, its list cannot be written; try again.
	for range 100 {
		if w.fleet.PutInstance(i) == nil {
			return
		}
		time.Sleep(minPause)
	}
}

// leaveByDrain drains a backend server through the configuration.
func (w *World) leaveByDrain(random *rand.Rand) fault {
	s := w.anyServer(random)
	leave := history.Leave{Server: s.name, How: "drain"}
	o := newHuman(w, drainer, random.Uint64())
	return fault{
		kind: "leave by drain", target: s.name, group: s.service, planned: true, length: leaveLength,
		begin: func() {
			if o.drain(s.name, true) {
				leave.From = time.Now()
			}
		},
		heal: func() {
			leave.Until = time.Now()
			o.drain(s.name, false)
			if !leave.From.IsZero() {
				w.History.Add(leave)
			}
		},
	}
}
