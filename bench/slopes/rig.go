package slopes

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"goldcrestport/bench/fleet"
	"goldcrestport/bench/observe"
	"goldcrestport/protocol/settings"
	"goldcrestport/state/config"
)

// Services of the measurement.
const (
	plainService = "ledger-app"
	modelService = "counsel-llm"
	dataCentre   = "hall-pamp"
)

// Options of a measurement.
type Options struct {
	// Bin is the folder with goldcrestd and standin, Out the one for logs.
	Bin, Out string
	// Only names the scenarios to run, all if empty.
	Only []string
	// Window is the length of one reading; there are three at each size.
	Window time.Duration
	// Progress is told what is being measured.
	Progress func(format string, args ...any)
}

// readings is the number of windows at each size.
const readings = 3

// rig is a fleet at one size.
type rig struct {
	f        *fleet.Fleet
	platform *fleet.Process
	routers  []*fleet.Process
	sidecars []*fleet.Process
	doc      config.Document
}

// shape tells what a rig consists of.
type shape struct {
	routers, sidecars int
	teams             int
	// kind of the backend servers; one serves every plain sidecar.
	kind config.ServiceKind
	// args of the backend server's stand-in.
	args  []string
	slots int
	// quietList makes the sidecars look at the instance list rarely: one
	// router before many sidecars would answer for all of them, which in a
	// fleet are shared by all routers.
	quietList bool
}

// newRig starts a fleet and waits until it serves.
func newRig(ctx context.Context, o Options, name string, s shape) (*rig, error) {
	dir := filepath.Join(o.Out, fmt.Sprintf("%s-%d-%d-%d", name, s.routers, s.sidecars, s.teams))
	if err := os.RemoveAll(dir); err != nil {
		return nil, err
	}
	f, err := fleet.New(o.Bin, dir)
	if err != nil {
		return nil, err
	}
	r := &rig{f: f}
	if err := r.start(ctx, s); err != nil {
		f.Close()
		return nil, err
	}
	return r, nil
}

func (r *rig) start(ctx context.Context, s shape) error {
	var err error
	if r.platform, err = r.f.StartPlatform(ctx, "--list-lag", "200ms"); err != nil {
		return err
	}
	r.doc = document(1, s.teams)
	if err := r.f.PutConfig(r.doc); err != nil {
		return err
	}
	if err := r.startSidecars(s); err != nil {
		return err
	}
	for i := range s.routers {
		p, err := r.f.StartRouter(fmt.Sprintf("router-%d", i), dataCentre, nil)
		if err != nil {
			return err
		}
		r.routers = append(r.routers, p)
	}
	ready, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	return r.f.WaitReady(ready, append(append([]*fleet.Process(nil), r.routers...), r.sidecars...)...)
}

func (r *rig) startSidecars(s shape) error {
	backend, err := r.startBackend("backend", s)
	if err != nil {
		return err
	}
	service := plainService
	if s.kind == config.KindModel {
		service = modelService
	}
	for i := range s.sidecars {
		edit := func(set *settings.Sidecar) {
			set.Backend.Slots = s.slots
			if s.quietList {
				set.Platform.InstancesEvery = settings.Duration(time.Minute)
			}
		}
		p, err := r.f.StartSidecar(fmt.Sprintf("sidecar-%d", i), dataCentre, service, backend, edit)
		if err != nil {
			return err
		}
		r.sidecars = append(r.sidecars, p)
	}
	return nil
}

func (r *rig) startBackend(name string, s shape) (*fleet.Process, error) {
	if s.kind == config.KindModel {
		return r.f.StartEngine(name, s.args...)
	}
	return r.f.StartService(name, s.args...)
}

// document has the teams and both services.
func document(revision uint64, teams int) config.Document {
	d := config.Document{
		Revision: revision,
		Teams:    map[string]config.Team{},
		Services: map[string]config.Service{
			plainService: {Kind: config.KindPlain},
			modelService: {Kind: config.KindModel},
		},
	}
	for i := range teams {
		d.Teams[teamName(i)] = config.Team{
			Share:    1 + float64(i%5),
			Tokens:   []string{config.TokenDigest(teamName(i))},
			Services: []string{plainService, modelService},
		}
	}
	return d
}

// teamName is the name of a team and its token.
func teamName(i int) string { return fmt.Sprintf("team-%04d", i) }

// reading is what was used in one window, by process.
type reading struct{ before, after map[string]observe.Use }

// read takes the windows.
func (r *rig) read(ctx context.Context, window time.Duration) ([]reading, error) {
	all := append(append([]*fleet.Process(nil), r.routers...), r.sidecars...)
	var out []reading
	before := observe.ReadUse(r.f, all)
	for range readings {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(window):
		}
		after := observe.ReadUse(r.f, all)
		out = append(out, reading{before, after})
		before = after
	}
	return out, nil
}

// each returns for every window the mean of the cost over the processes.
func each(rs []reading, ps []*fleet.Process, cost func(before, after observe.Use) (float64, bool)) []float64 {
	var out []float64
	for _, r := range rs {
		var v []float64
		for _, p := range ps {
			b, ok1 := r.before[p.Name]
			a, ok2 := r.after[p.Name]
			if !ok1 || !ok2 {
				continue
			}
			if y, ok := cost(b, a); ok {
				v = append(v, y)
			}
		}
		if len(v) > 0 {
			out = append(out, mean(v))
		}
	}
	return out
}

// Costs of a process between two readings.
func cpuPercent(b, a observe.Use) (float64, bool) { return 100 * observe.CPUFraction(b, a), true }
func rssMiB(_, a observe.Use) (float64, bool)     { return float64(a.RSS) / (1 << 20), true }

func routerControl(b, a observe.Use) (float64, bool) {
	return observe.Rate(b, a, observe.RouterControlIn, observe.RouterControlOut)
}

func sidecarControl(b, a observe.Use) (float64, bool) {
	return observe.Rate(b, a, observe.SidecarControlIn, observe.SidecarControlOut)
}
