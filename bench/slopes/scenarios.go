package slopes

import (
	"context"
	"slices"
	"time"

	"goldcrestport/bench/fleet"
	"goldcrestport/bench/observe"
	"goldcrestport/state/config"
)

// Roles whose costs are measured.
const (
	roleRouter   = "router"
	roleSidecar  = "sidecar"
	rolePlatform = "platform"
)

// Costs and quantities, named as in the tables.
const (
	costControl = "control B/s"
	costCPU     = "CPU % of a core"
	costRSS     = "memory MiB"
	costReads   = "reads/s"

	perLinks     = "links"
	perBacklog   = "backlogged teams"
	perRequests  = "requests/s"
	perTokens    = "tokens/s"
	perHeld      = "requests held"
	perTeams     = "teams configured"
	perProcesses = "processes"
)

// settleTime is how long a fleet runs before it is read.
const settleTime = 3 * time.Second

// scenario measures one quantity at several sizes.
type scenario struct {
	name  string
	sizes []int
	run   func(ctx context.Context, m *measurement, size int) error
}

// scenarios are all measurements, the cheap ones first.
func scenarios() []scenario {
	return []scenario{
		{"router-links", []int{20, 60, 140}, routerLinks},
		{"sidecar-links", []int{10, 30, 60}, sidecarLinks},
		{"backlog", []int{16, 64, 192}, backlog},
		{"requests", []int{200, 800, 2000}, requests},
		{"tokens", []int{2000, 8000, 20000}, tokens},
		{"held", []int{100, 400, 1000}, held},
		{"teams", []int{100, 700, 2100}, teams},
	}
}

// measurement collects the series.
type measurement struct {
	opts Options
	set  set
	// failed counts calls that were not answered whole, by scenario.
	failed map[string]int64
}

// Run measures all scenarios.
func Run(ctx context.Context, o Options) (*Report, error) {
	m := &measurement{opts: o, failed: map[string]int64{}}
	for _, s := range scenarios() {
		if len(o.Only) > 0 && !slices.Contains(o.Only, s.name) {
			continue
		}
		for _, size := range s.sizes {
			began := time.Now()
			if err := s.run(ctx, m, size); err != nil {
				return nil, err
			}
			o.Progress("%s at %d took %.0f s", s.name, size, time.Since(began).Seconds())
		}
	}
	return newReport(m), nil
}

// with runs the body on a fleet of the shape.
func (m *measurement) with(ctx context.Context, name string, s shape, body func(r *rig) error) error {
	r, err := newRig(ctx, m.opts, name, s)
	if err != nil {
		return err
	}
	defer r.f.Close()
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	return body(r)
}

// note reads the windows and adds the usual costs of both roles.
func (m *measurement) note(ctx context.Context, r *rig, per string, x float64) error {
	rs, err := r.read(ctx, m.opts.Window)
	if err != nil {
		return err
	}
	m.noteRole(rs, roleRouter, r.routers, per, x, routerControl)
	m.noteRole(rs, roleSidecar, r.sidecars, per, x, sidecarControl)
	return nil
}

type costFunc = func(before, after observe.Use) (float64, bool)

func (m *measurement) noteRole(rs []reading, role string, ps []*fleet.Process, per string, x float64, control costFunc) {
	for _, c := range []struct {
		name string
		of   costFunc
	}{{costControl, control}, {costCPU, cpuPercent}, {costRSS, rssMiB}} {
		if y := each(rs, ps, c.of); len(y) > 0 {
			m.set.add(role, c.name, per, windows(x, y))
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// platformReads is the platform's count of reads.
func (r *rig) platformReads() (float64, error) {
	var c struct {
		Reads float64 `json:"reads"`
	}
	err := r.f.Get(r.platform.Addr, "/admin/counters", &c)
	return c.Reads, err
}

// routerLinks varies the sidecars before one router, at rest.
func routerLinks(ctx context.Context, m *measurement, size int) error {
	s := shape{routers: 1, sidecars: size, teams: 16, kind: config.KindPlain, slots: 4, quietList: true}
	return m.with(ctx, "router-links", s, func(r *rig) error {
		before, err := r.platformReads()
		if err != nil {
			return err
		}
		began := time.Now()
		rs, err := r.read(ctx, m.opts.Window)
		if err != nil {
			return err
		}
		m.noteRole(rs, roleRouter, r.routers, perLinks, float64(size), routerControl)
		after, err := r.platformReads()
		if err != nil {
			return err
		}
		rate := (after - before) / time.Since(began).Seconds()
		m.set.add(rolePlatform, costReads, perProcesses, windows(float64(size+1), []float64{rate}))
		return nil
	})
}

// sidecarLinks varies the routers before two sidecars, at rest. Only the
// sidecars' costs are kept.
func sidecarLinks(ctx context.Context, m *measurement, size int) error {
	s := shape{routers: size, sidecars: 2, teams: 16, kind: config.KindPlain, slots: 4}
	return m.with(ctx, "sidecar-links", s, func(r *rig) error {
		rs, err := r.read(ctx, m.opts.Window)
		if err != nil {
			return err
		}
		m.noteRole(rs, roleSidecar, r.sidecars, perLinks, float64(size), sidecarControl)
		return nil
	})
}

// The scenario of the backlog: its sidecars and slots, and the requests a
// second that they pull.
const (
	backlogSidecars = 8
	backlogSlots    = 2
	backlogTime     = 200 * time.Millisecond
	backlogRate     = backlogSidecars * backlogSlots / 0.2
)

// backlog varies the teams that always have work waiting at one router.
func backlog(ctx context.Context, m *measurement, size int) error {
	const perTeam = 3
	s := shape{routers: 1, sidecars: backlogSidecars, teams: size, kind: config.KindPlain, slots: backlogSlots, args: []string{"--time", backlogTime.String(), "--slots", "64"}}
	return m.with(ctx, "backlog", s, func(r *rig) error {
		return m.loaded(ctx, "backlog", r, perBacklog, float64(size), func(ctx context.Context, c *caller) func() {
			return closed(ctx, size*perTeam, func(i int) { c.plain(ctx, r.routers[0], teamName(i%size)) })
		})
	})
}

// requests varies the rate of short calls through one router and sidecar.
func requests(ctx context.Context, m *measurement, size int) error {
	s := shape{routers: 1, sidecars: 1, teams: 16, kind: config.KindPlain, slots: 64, args: []string{"--time", "0s", "--jitter", "0s", "--slots", "256"}}
	return m.with(ctx, "requests", s, func(r *rig) error {
		return m.loaded(ctx, "requests", r, perRequests, float64(size), func(ctx context.Context, c *caller) func() {
			return paced(ctx, float64(size), func(i int) { c.plain(ctx, r.routers[0], teamName(i%16)) })
		})
	})
}

// stepTime is the time between two tokens of one stream in the scenarios.
const stepTime = 20 * time.Millisecond

// tokens varies the rate of streamed tokens through one router and sidecar.
func tokens(ctx context.Context, m *measurement, size int) error {
	streams := int(float64(size) * stepTime.Seconds())
	return m.streaming(ctx, "tokens", streams, perTokens, float64(size))
}

// held varies the streams that are open at once, with few tokens each.
func held(ctx context.Context, m *measurement, size int) error {
	return m.streaming(ctx, "held", size, perHeld, float64(size), "--step", "500ms")
}

func (m *measurement) streaming(ctx context.Context, name string, streams int, per string, x float64, args ...string) error {
	const tokensEach = 400
	engine := append([]string{"--step", stepTime.String(), "--batch-slowdown", "0", "--slots", "2048"}, args...)
	s := shape{routers: 1, sidecars: 1, teams: 16, kind: config.KindModel, slots: streams, args: engine}
	return m.with(ctx, name, s, func(r *rig) error {
		return m.loaded(ctx, name, r, per, x, func(ctx context.Context, c *caller) func() {
			return closed(ctx, streams, func(i int) { c.stream(ctx, r.routers[0], teamName(i%16), tokensEach) })
		})
	})
}

// loaded notes the costs while the load runs. Calls that the end of the load
// cuts off are not counted as failed.
func (m *measurement) loaded(ctx context.Context, name string, r *rig, per string, x float64, load func(ctx context.Context, c *caller) func()) error {
	c := newCaller()
	running, cancel := context.WithCancel(ctx)
	wait := load(running, c)
	err := sleep(ctx, settleTime)
	if err == nil {
		err = m.note(ctx, r, per, x)
	}
	m.failed[name] += c.failed.Load()
	cancel()
	wait()
	return err
}

// teams varies the size of the configuration, at rest.
func teams(ctx context.Context, m *measurement, size int) error {
	s := shape{routers: 2, sidecars: 2, teams: size, kind: config.KindPlain, slots: 4}
	return m.with(ctx, "teams", s, func(r *rig) error { return m.note(ctx, r, perTeams, float64(size)) })
}
