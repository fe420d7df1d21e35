// Package prove runs a small fleet of real processes on loopback, lets callers
// and operators work while failures are made, and records what each of them
// saw, so that package history can check the promises.
package prove

import (
	"context"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/bench/fleet"
	"goldcrestport/bench/history"
	"goldcrestport/protocol/settings"
	"goldcrestport/standin/relay"
	"goldcrestport/state/config"
	"goldcrestport/transport/platform"
)

// Names of the services of the fleet.
const (
	modelService = "counsel-llm"
	plainService = "ledger-app"
	dataCentre   = "hall-pamp"
)

// Sizes and times of the fleet.
const (
	listLag     = 500 * time.Millisecond
	startBound  = 20 * time.Second
	stopBound   = 25 * time.Second
	settleStart = 300 * time.Millisecond
	// leaseTTL is shorter than a long freeze.
	leaseTTL = 4 * time.Second
)

// Size is how many processes of each kind a fleet has.
type Size struct {
	Routers int
	Engines int
	Plain   int
}

// DefaultSize is the size for the proving tool.
func DefaultSize() Size { return Size{Routers: 3, Engines: 3, Plain: 2} }

// server is one backend server with its sidecar.
type server struct {
	name    string
	service string
	backend *fleet.Process
	sidecar *fleet.Process
	// link is the relay before the sidecar; platform the one behind it.
	link     *relay.Relay
	platform *relay.Relay
	instance platform.Instance
}

// router is one router process.
type router struct {
	*fleet.Process
	platform *relay.Relay
}

// World is a running fleet with the history of what happened to it.
type World struct {
	// History is what was seen so far.
	History *history.History

	fleet    *fleet.Fleet
	platform *fleet.Process
	servers  []*server
	routers  []*router
	relays   []*relay.Relay
	balancer *balancer
}

// Start starts a fleet with the binaries of bin; logs go to dir. Close ends
// it, also when Start failed.
func Start(ctx context.Context, bin, dir string, size Size) (*World, error) {
	f, err := fleet.New(bin, dir)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	w := &World{History: &history.History{}, fleet: f}
	if w.platform, err = f.StartPlatform(ctx, "--list-lag", listLag.String()); err != nil {
		return w, err
	}
	if err := f.PutConfig(firstConfig()); err != nil {
		return w, err
	}
	if err := w.startServers(size); err != nil {
		return w, err
	}
	// Routers must see the relays' addresses only.
	time.Sleep(listLag + settleStart)
	if err := w.startRouters(size); err != nil {
		return w, err
	}
	return w, w.waitReady(ctx)
}

// Close ends every process and relay.
func (w *World) Close() {
	if w.balancer != nil {
		w.balancer.close()
	}
	w.fleet.Close()
	for _, r := range w.relays {
		r.Close()
	}
}

func (w *World) waitReady(ctx context.Context) error {
	var all []*fleet.Process
	for _, s := range w.servers {
		all = append(all, s.sidecar)
	}
	for _, r := range w.routers {
		all = append(all, r.Process)
	}
	if err := w.fleet.WaitReady(ctx, all...); err != nil {
		return err
	}
	w.balancer = newBalancer(w.routers)
	// Routers open their links after they are ready.
	time.Sleep(listLag + settleStart)
	return nil
}

func (w *World) startServers(size Size) error {
	for i := range size.Engines {
		if err := w.startServer(modelService, i); err != nil {
			return err
		}
	}
	for i := range size.Plain {
		if err := w.startServer(plainService, i); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) startServer(service string, i int) error {
	s := &server{name: service + "-" + strconv.Itoa(i), service: service}
	var err error
	if s.backend, err = w.startBackend(s); err != nil {
		return err
	}
	if s.platform, err = w.relayTo(w.platform.Addr); err != nil {
		return err
	}
	s.sidecar, err = w.fleet.StartSidecar(s.name, dataCentre, service, s.backend, func(set *settings.Sidecar) {
		set.Platform.URL = "http://" + s.platform.Addr()
		set.Backend.Slots = slots(service)
		set.Backend.LeaseTTL = settings.Duration(leaseTTL)
	})
	if err != nil {
		return err
	}
	if s.link, err = w.relayTo(s.sidecar.Addr); err != nil {
		return err
	}
	s.instance = platform.Instance{
		ID: s.name, Role: platform.RoleSidecar, Address: s.link.Addr(),
		DataCentre: dataCentre, Service: service, State: platform.StateLive,
	}
	w.servers = append(w.servers, s)
	return w.fleet.PutInstance(s.instance)
}

// Slots of a backend server of each kind.
const (
	engineSlots = 6
	plainSlots  = 4
)

func slots(service string) int {
	if service == modelService {
		return engineSlots
	}
	return plainSlots
}

func (w *World) startBackend(s *server) (*fleet.Process, error) {
	args := []string{"--slots", strconv.Itoa(slots(s.service)), "--journal", w.journal(s)}
	if s.service == modelService {
		return w.fleet.StartEngine("backend-"+s.name, args...)
	}
	return w.fleet.StartService("backend-"+s.name, args...)
}

func (w *World) journal(s *server) string { return filepath.Join(w.fleet.Dir, s.name+".journal") }

func (w *World) startRouters(size Size) error {
	for i := range size.Routers {
		through, err := w.relayTo(w.platform.Addr)
		if err != nil {
			return err
		}
		p, err := w.fleet.StartRouter("router-"+strconv.Itoa(i), dataCentre, func(set *settings.Router) {
			set.Platform.URL = "http://" + through.Addr()
		})
		if err != nil {
			return err
		}
		w.routers = append(w.routers, &router{Process: p, platform: through})
	}
	return nil
}

func (w *World) relayTo(target string) (*relay.Relay, error) {
	r, err := relay.Listen("127.0.0.1:0", target)
	if err != nil {
		return nil, errors.Wrapf(err, "relay to %s", target)
	}
	w.relays = append(w.relays, r)
	return r, nil
}

// team is one team of the fleet's callers.
type team struct {
	name    string
	share   float64
	callers int
}

// teams returns one large team and smaller ones.
func teams() []team {
	return []team{{"large", 1, 14}, {"medium", 1, 6}, {"small", 2, 3}, {"single", 1, 1}}
}

func token(team string) string { return team + "-token" }

func firstConfig() config.Document {
	doc := config.Document{
		Revision:  1,
		Operators: map[string]string{},
		Teams:     map[string]config.Team{},
		Services: map[string]config.Service{
			modelService: {Kind: config.KindModel},
			plainService: {Kind: config.KindPlain, NonIdempotent: []string{pledgePath}},
		},
	}
	for _, name := range operatorNames {
		doc.Operators[name] = config.TokenDigest(token(name))
	}
	for _, t := range teams() {
		doc.Teams[t.name] = config.Team{
			Share:    t.share,
			Tokens:   []string{config.TokenDigest(token(t.name))},
			Services: []string{modelService, plainService},
		}
	}
	return doc
}
