package confirms

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/bench/fleet"
	"goldcrestport/bench/history"
	"goldcrestport/protocol/intent"
	"goldcrestport/protocol/operator"
	"goldcrestport/protocol/settings"
	"goldcrestport/state/config"
	"goldcrestport/transport/operatorclient"
)

// Tokens of a run.
const (
	bootstrapToken = "bootstrap"
	operatorToken  = "operator"
)

// callTimeout is longer than a router takes to settle a confirmation.
const callTimeout = 10 * time.Second

// run is one run under way.
type run struct {
	opts     Options
	fleet    *fleet.Fleet
	platform *fleet.Process
	routers  []*fleet.Process
	history  history.History
	accepted atomic.Int64
	repeated atomic.Int64

	mu   sync.Mutex
	told map[uint64]string
	// report is written by the duty that owns each field.
	report Report
}

// Run starts the processes, races the operators and checks.
func Run(ctx context.Context, o Options) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Bound)
	defer cancel()
	f, err := fleet.New(o.Bin, o.Out)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := &run{opts: o, fleet: f, told: map[uint64]string{}}
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	began := time.Now()
	r.race(ctx)
	r.report.Seconds = time.Since(began).Seconds()
	return &r.report, r.check(ctx)
}

func (r *run) start(ctx context.Context) error {
	p, err := r.fleet.StartPlatform(ctx)
	if err != nil {
		return err
	}
	r.platform = p
	for n := range r.opts.Routers {
		name := fmt.Sprint("router-", n)
		router, err := r.fleet.StartRouter(name, "hall-pamp", func(s *settings.Router) {
			s.Operators.BootstrapDigest = config.TokenDigest(bootstrapToken)
		})
		if err != nil {
			return err
		}
		r.routers = append(r.routers, router)
	}
	for _, router := range r.routers {
		if err := r.fleet.WaitHTTP(ctx, router.Ops, "/healthz"); err != nil {
			return err
		}
	}
	return r.first(ctx)
}

// first confirms the first configuration.
func (r *run) first(ctx context.Context) error {
	c := r.client(rand.New(rand.NewPCG(r.opts.Seed, 0)), bootstrapToken)
	p, err := c.Plan(ctx, wish(1), nil)
	if err != nil {
		return err
	}
	done, err := c.Confirm(ctx, confirmOf(p))
	if err != nil {
		return err
	}
	if done.Revision != 1 {
		return errors.Newf("the first configuration is revision %d", done.Revision)
	}
	r.told[1] = done.Digest
	return nil
}

// client returns a client that tries the routers in a drawn order.
func (r *run) client(rng *rand.Rand, token string) *operatorclient.Client {
	var addresses []string
	for _, i := range rng.Perm(len(r.routers)) {
		addresses = append(addresses, r.routers[i].Ops)
	}
	return operatorclient.New(addresses, token, callTimeout)
}

// wish returns an intent with the share.
func wish(share float64) json.RawMessage {
	in := intent.Intent{
		Teams: map[string]config.Team{
			"script-editors": {Share: share, Tokens: []string{config.TokenDigest("t")}, Services: []string{"glossa-pool"}},
		},
		Services:  map[string]config.Service{"glossa-pool": {Kind: config.KindModel}},
		Operators: map[string]string{"operations": config.TokenDigest(operatorToken)},
	}
	data, _ := json.Marshal(in)
	return data
}

func confirmOf(p *operator.PlanResponse) operator.ConfirmRequest {
	data, _ := json.Marshal(p.Intent)
	return operator.ConfirmRequest{Intent: data, BaseRevision: p.Plan.BaseRevision, Digest: p.Plan.Digest}
}

// race runs the operators and the failures.
func (r *run) race(ctx context.Context) {
	failing, stop := context.WithCancel(ctx)
	var failures, operators sync.WaitGroup
	failures.Go(func() { r.losePlatform(failing) })
	failures.Go(func() { r.killRouters(failing) })
	for n := range r.opts.Operators {
		operators.Go(func() { r.operate(ctx, n) })
	}
	operators.Wait()
	stop()
	failures.Wait()
	r.report.Repeated = int(r.repeated.Load())
}
