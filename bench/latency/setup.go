package latency

import (
	"context"
	"strconv"
	"time"

	"goldcrestport/bench/fleet"
	"goldcrestport/protocol/settings"
	"goldcrestport/state/config"
)

// What the fleet serves.
const (
	service    = "ledger-app"
	team       = "legacy"
	token      = "legacy-token"
	dataCentre = "hall-pamp"
	// slots of the backend server and its sidecar; more than there are callers.
	slots = 128
)

// startBound bounds the start of the fleet.
const startBound = 20 * time.Second

// path is a fleet of one router, one sidecar and one plain service without
// service time.
type path struct {
	fleet    *fleet.Fleet
	platform *fleet.Process
	backend  *fleet.Process
	sidecar  *fleet.Process
	router   *fleet.Process
}

// startPath starts the processes. With traces on, every request's spans go to
// the processes' logs.
func startPath(ctx context.Context, bin, dir string, traces bool) (*path, error) {
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	f, err := fleet.New(bin, dir)
	if err != nil {
		return nil, err
	}
	p := &path{fleet: f}
	if err := p.start(ctx, traceSettings(traces)); err != nil {
		f.Close()
		return nil, err
	}
	return p, nil
}

func traceSettings(on bool) settings.Trace {
	if on {
		return settings.Trace{Exporter: settings.TraceStdout, Fraction: 1}
	}
	return settings.Trace{Exporter: settings.TraceNone}
}

func (p *path) start(ctx context.Context, traces settings.Trace) error {
	var err error
	if p.platform, err = p.fleet.StartPlatform(ctx, "--list-lag", "50ms"); err != nil {
		return err
	}
	p.backend, err = p.fleet.StartService("service", "--time", "0s", "--jitter", "0s", "--slots", strconv.Itoa(slots))
	if err != nil {
		return err
	}
	if err := p.fleet.WaitHTTP(ctx, p.backend.Addr, "/load"); err != nil {
		return err
	}
	if err := p.fleet.PutConfig(document()); err != nil {
		return err
	}
	p.sidecar, err = p.fleet.StartSidecar("sidecar", dataCentre, service, p.backend, func(s *settings.Sidecar) {
		s.Backend.Slots, s.Trace = slots, traces
	})
	if err != nil {
		return err
	}
	p.router, err = p.fleet.StartRouter("router", dataCentre, func(s *settings.Router) { s.Trace = traces })
	if err != nil {
		return err
	}
	if err := p.fleet.WaitReady(ctx, p.sidecar, p.router); err != nil {
		return err
	}
	return newCaller(p, 1).ready(ctx)
}

func document() config.Document {
	return config.Document{
		Revision: 1,
		Teams: map[string]config.Team{
			team: {Share: 1, Tokens: []string{config.TokenDigest(token)}, Services: []string{service}},
		},
		Services: map[string]config.Service{service: {Kind: config.KindPlain}},
	}
}
