package inforce

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/bench/fleet"
	"goldcrestport/protocol/document"
	"goldcrestport/protocol/settings"
	"goldcrestport/state/config"
	"goldcrestport/transport/platform"
	"goldcrestport/transport/spread"
)

// limit is how soon an accepted configuration has to be in force (brief).
const limit = 3 * time.Second

// Options of a measurement.
type Options struct {
	// Bin is the folder with goldcrestd and standin, Out the one for logs.
	Bin, Out string
	Routers  int
	Sidecars int
	// Changes per phase, one a second.
	Changes int
	// Rest is the length of the phase at rest and of the outage.
	Rest time.Duration
	Seed uint64
}

// bench is a measurement that runs.
type bench struct {
	opts     Options
	fleet    *fleet.Fleet
	store    *platform.Client
	platform *fleet.Process
	rng      *rand.Rand
	lives    map[string][]*life
	names    []string
	doc      *config.Document
	version  uint64
	report   Report
}

// Run measures and returns the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	f, err := fleet.New(o.Bin, o.Out)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b := &bench{
		opts: o, fleet: f, lives: map[string][]*life{},
		rng: rand.New(rand.NewPCG(o.Seed, 1)), report: Report{Routers: o.Routers, Sidecars: o.Sidecars},
	}
	if err := b.start(ctx); err != nil {
		return nil, err
	}
	for _, phase := range []func(context.Context) error{
		b.atRest, b.changes, b.changesWithRestarts, b.outage, b.fullRestart,
	} {
		if err := phase(ctx); err != nil {
			return nil, err
		}
	}
	return &b.report, b.finish()
}

// start starts the fleet and its first configuration.
func (b *bench) start(ctx context.Context) error {
	p, err := b.fleet.StartPlatform(ctx)
	if err != nil {
		return err
	}
	b.platform = p
	b.store = platform.NewClient("http://"+p.Addr, "inforce", time.Second)
	backend, err := b.fleet.StartService("service")
	if err != nil {
		return err
	}
	var routers []string
	for i := range b.opts.Routers {
		p, err := b.fleet.StartRouter(fmt.Sprintf("router-%d", i), dataCentre(i), nil)
		if err != nil {
			return err
		}
		routers = append(routers, p.Peers)
		b.born(p)
	}
	seeds := func(s *settings.Sidecar) { s.Seeds = routers[:min(3, len(routers))] }
	for i := range b.opts.Sidecars {
		p, err := b.fleet.StartSidecar(fmt.Sprintf("sidecar-%d", i), dataCentre(i), "ledger-app", backend, seeds)
		if err != nil {
			return err
		}
		b.born(p)
	}
	if err := b.change(ctx, nil); err != nil {
		return err
	}
	return b.ready(ctx)
}

// dataCentre spreads the processes over the three of the brief.
func dataCentre(i int) string {
	return []string{"hall-pamp", "hall-grandbaie", "hall-goodlands"}[i%3]
}

func (b *bench) born(p *fleet.Process) {
	if b.lives[p.Name] == nil {
		b.names = append(b.names, p.Name)
	}
	b.lives[p.Name] = append(b.lives[p.Name], &life{process: p, start: time.Now()})
}

func (b *bench) current(name string) *life {
	all := b.lives[name]
	return all[len(all)-1]
}

func (b *bench) restart(name string) error {
	l := b.current(name)
	l.end = time.Now()
	l.process.Kill()
	b.born(l.process)
	return l.process.Start()
}

func (b *bench) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for _, name := range b.names {
		if err := b.fleet.WaitReady(ctx, b.current(name).process); err != nil {
			return err
		}
	}
	return nil
}

// change writes the next revision past the operators' interface.
func (b *bench) change(ctx context.Context, into *[]change) error {
	next := &config.Document{
		Revision: 1,
		Teams:    map[string]config.Team{},
		Services: map[string]config.Service{"ledger-app": {Kind: config.KindPlain}},
	}
	if b.doc != nil {
		next = b.doc.Content()
		next.Revision = b.doc.Revision + 1
	}
	name := fmt.Sprintf("team-%d", next.Revision%16)
	next.Teams[name] = config.Team{
		Share:    float64(next.Revision),
		Tokens:   []string{config.TokenDigest(name)},
		Services: []string{"ledger-app"},
	}
	data, err := document.Encode(next)
	if err != nil {
		return err
	}
	version, err := b.store.Put(ctx, spread.ConfigKey, data, b.version, "")
	if err != nil {
		return errors.Wrap(err, "change")
	}
	b.doc, b.version = next, version
	if into != nil {
		*into = append(*into, change{revision: next.Revision, at: time.Now()})
	}
	return nil
}

// finish reads the logs and fills in what the phases left open.
func (b *bench) finish() error {
	for _, lives := range b.lives {
		for _, l := range lives {
			b.report.Falls += l.falls()
		}
	}
	return nil
}
