package experiment

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"

	"goldcrestport/bench/fleet"
	"goldcrestport/bench/load"
	"goldcrestport/protocol/settings"
	"goldcrestport/state/config"
)

// dataCentres hold the processes in turn.
var dataCentres = []string{"hall-pamp", "hall-grandbaie", "hall-goodlands"}

// setup is a started fleet.
type setup struct {
	fleet    *fleet.Fleet
	ahead    int
	engines  []*fleet.Process
	sidecars []*fleet.Process
	routers  []*fleet.Process
}

// start brings up a fleet for the policy and waits until it takes work.
func start(ctx context.Context, o Options, p Policy, teams []load.Team) (*setup, error) {
	f, err := fleet.New(o.Bin, filepath.Join(o.Out, "logs", p.Name))
	if err != nil {
		return nil, err
	}
	s := &setup{fleet: f, ahead: o.LookAhead}
	if err := s.bringUp(ctx, p, teams); err != nil {
		f.Close()
		return nil, err
	}
	return s, nil
}

func (s *setup) bringUp(ctx context.Context, p Policy, teams []load.Team) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if _, err := s.fleet.StartPlatform(ctx); err != nil {
		return err
	}
	if err := s.fleet.PutConfig(document(teams)); err != nil {
		return err
	}
	if err := s.startModel(p); err != nil {
		return err
	}
	if err := s.startPlain(p); err != nil {
		return err
	}
	for i := range load.Routers {
		r, err := s.fleet.StartRouter(fmt.Sprintf("router-%d", i+1), centre(i), p.Router)
		if err != nil {
			return err
		}
		s.routers = append(s.routers, r)
	}
	if err := s.fleet.WaitReady(ctx, s.sidecars...); err != nil {
		return err
	}
	return s.fleet.WaitReady(ctx, s.routers...)
}

func (s *setup) startModel(p Policy) error {
	for i := range modelSidecars {
		e, err := s.fleet.StartEngine(fmt.Sprintf("engine-%d", i+1),
			"--slots", strconv.Itoa(modelSlots), "--step", engineStep.String())
		if err != nil {
			return err
		}
		s.engines = append(s.engines, e)
		if err := s.startSidecar(fmt.Sprintf("sidecar-%d", i+1), i, load.ModelService, e, p); err != nil {
			return err
		}
	}
	return nil
}

func (s *setup) startPlain(p Policy) error {
	for i := range plainSidecars {
		b, err := s.fleet.StartService(fmt.Sprintf("ledger-%d", i+1))
		if err != nil {
			return err
		}
		if err := s.startSidecar(fmt.Sprintf("plain-sidecar-%d", i+1), i, load.PlainService, b, p); err != nil {
			return err
		}
	}
	return nil
}

func (s *setup) startSidecar(name string, i int, service string, backend *fleet.Process, p Policy) error {
	c, err := s.fleet.StartSidecar(name, centre(i), service, backend, func(set *settings.Sidecar) {
		set.Backend.Slots = modelSlots
		set.Backend.PromptWeight = promptWeight
		set.Backend.LookAhead = &s.ahead
		if p.Sidecar != nil {
			p.Sidecar(set)
		}
	})
	if err != nil {
		return err
	}
	s.sidecars = append(s.sidecars, c)
	return nil
}

func centre(i int) string { return dataCentres[i%len(dataCentres)] }

// document is the live configuration of the workload's teams.
func document(teams []load.Team) config.Document {
	doc := config.Document{
		Revision: 1,
		Teams:    map[string]config.Team{},
		Services: map[string]config.Service{
			load.ModelService: {Kind: config.KindModel},
			load.PlainService: {Kind: config.KindPlain},
		},
	}
	for _, t := range teams {
		doc.Teams[t.Name] = config.Team{
			Share:     t.Share,
			Tokens:    []string{config.TokenDigest(load.Token(t.Name))},
			Services:  []string{t.Service()},
			MaxQueued: t.MaxQueued,
		}
	}
	return doc
}

// product returns the routers and sidecars.
func (s *setup) product() []*fleet.Process {
	return append(append([]*fleet.Process(nil), s.routers...), s.sidecars...)
}

// callers returns the callers' addresses of the routers.
func (s *setup) callers() []string { return addressesOf(s.routers) }

func addressesOf(ps []*fleet.Process) []string {
	out := make([]string, len(ps))
	for i, p := range ps {
		out[i] = p.Addr
	}
	return out
}
