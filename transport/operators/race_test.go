package operators

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/operator"
	"goldcrestport/state/config"
	"goldcrestport/transport/platform"
)

// failAfterHeadWrite makes the platform unreachable once the head was written.
type failAfterHeadWrite struct {
	*store
	failed bool
}

func (s *failAfterHeadWrite) Get(ctx context.Context, key string) (platform.Entry, error) {
	if s.failed {
		return platform.Entry{}, platform.ErrUnknown
	}
	return s.store.Get(ctx, key)
}

func (s *failAfterHeadWrite) Put(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
	v, err := s.store.Put(ctx, key, value, version, lease)
	if key == HeadKey {
		s.failed = true
		return 0, platform.ErrUnknown
	}
	return v, err
}

// input is one operation on the configuration as a whole: a confirmation, or a
// read if the digest is empty.
type input struct {
	base   uint64
	digest string
}

// result is the outcome that an operation returned to its caller.
type result int

const (
	accepted result = iota
	stale
	unchanged
	unknown
)

type output struct {
	result   result
	revision uint64
	digest   string
}

// revisionModel is the specification: accepted configurations form one linear
// sequence. The state is the digests of the revisions, in order.
var revisionModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, in, out any) []any {
		return stepRevisions(state.(string), in.(input), out.(output))
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(in, out any) string {
		return fmt.Sprintf("%+v -> %+v", in, out)
	},
}

func stepRevisions(state string, in input, out output) []any {
	revisions := strings.Split(state, ",")[1:]
	last := uint64(len(revisions))
	if in.digest == "" {
		if out.revision == last && (last == 0 || revisions[last-1] == out.digest) {
			return []any{state}
		}
		return nil
	}
	followed := last > in.base
	extended := state + "," + in.digest
	switch out.result {
	case accepted:
		if out.revision != in.base+1 {
			return nil
		}
		if last == in.base {
			return []any{extended}
		}
		if followed && revisions[in.base] == in.digest {
			return []any{state}
		}
	case stale:
		if followed && revisions[in.base] != in.digest {
			return []any{state}
		}
	case unchanged:
		return []any{state}
	case unknown:
		if last == in.base {
			return []any{state, extended}
		}
		return []any{state}
	}
	return nil
}

// recorder collects the history of concurrent operations.
type recorder struct {
	mu  sync.Mutex
	ops []porcupine.Operation
	t0  time.Time
}

func (r *recorder) now() int64 { return time.Since(r.t0).Nanoseconds() }

func (r *recorder) add(client int, in input, out output, call int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.now()
	if out.result == unknown {
		// It may take effect at any later time.
		end = math.MaxInt64
	}
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// race is one run of concurrent operators.
type race struct {
	recorder
	store *store
	nodes []*node
	rng   []*rand.Rand
}

// confirmOnce plans at one router and confirms at another. It cancels some calls
// early, like an operator whose connection breaks, and repeats some. It reports
// whether the plan was accepted.
func (r *race) confirmOnce(client int, share float64) bool {
	rng := r.rng[client]
	p, code := r.nodes[rng.IntN(len(r.nodes))].plan(opsToken, intentWith(share))
	if code != http.StatusOK {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	if rng.IntN(10) == 0 {
		cancel()
		ctx, cancel = context.WithTimeout(context.Background(), time.Duration(rng.IntN(10_000))*time.Microsecond)
	}
	defer cancel()
	ok := false
	for range 1 + rng.IntN(2) {
		in := input{base: p.Plan.BaseRevision, digest: p.Plan.Digest}
		call := r.now()
		var answer struct {
			operator.ConfirmResponse
			Outcome string `json:"outcome"`
		}
		code := r.nodes[rng.IntN(len(r.nodes))].call(ctx, opsToken, http.MethodPost, operator.PathConfirm, confirmRequestFor(p), &answer)
		r.add(client, in, outputOf(code, answer.Outcome, answer.Revision), call)
		ok = ok || code == http.StatusOK
	}
	return ok
}

func outputOf(code int, kind string, revision uint64) output {
	switch {
	case code == http.StatusOK:
		return output{result: accepted, revision: revision}
	case code == http.StatusConflict:
		return output{result: stale}
	case kind == "not-run":
		return output{result: unchanged}
	default:
		return output{result: unknown}
	}
}

func (r *race) readOnce(client int) {
	call := r.now()
	var c operator.ConfigResponse
	node := r.nodes[r.rng[client].IntN(len(r.nodes))]
	code := node.call(context.Background(), opsToken, http.MethodGet, operator.PathConfig, nil, &c)
	if code == http.StatusOK && c.FromPlatform {
		r.add(client, input{}, output{revision: c.Revision, digest: c.Digest}, call)
	}
}

// outages makes the platform unreachable periodically until stop is closed.
func (r *race) outages(f faults, stop <-chan struct{}) {
	for down := false; ; down = !down {
		r.store.set(f, down)
		wait := 30 * time.Millisecond
		if down {
			wait = 4 * time.Millisecond
		}
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
	}
}

const (
	raceOperators = 8
	raceRouters   = 4
	// raceAttempts bounds the plans that each operator makes.
	raceAttempts = 1000
)

func TestConcurrentConfirmationsAreLinearizable(t *testing.T) {
	// Number of accepted plans per operator; the total of the longest run is 200.
	for seed, plansPerOperator := range []int{25, 5, 5} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runRace(t, uint64(seed), plansPerOperator) })
	}
}

func runRace(t *testing.T, seed uint64, plansPerOperator int) {
	c := qt.New(t)
	r := &race{recorder: recorder{t0: time.Now()}, store: newStore(seed)}
	for range raceRouters {
		r.nodes = append(r.nodes, newNode(r.store))
	}
	first := confirmFirst(c, r.nodes[0])
	for _, n := range r.nodes {
		n.Adopt(r.nodes[0].InForce())
	}
	r.add(raceOperators, input{digest: first.Plan.Digest}, output{revision: 1}, 0)
	stop := make(chan struct{})
	var outageLoop, operators sync.WaitGroup
	outageLoop.Go(func() { r.outages(faults{lostBefore: 0.05, lostAfter: 0.15, late: 0.1, busy: 0.05}, stop) })
	for client := range raceOperators {
		r.rng = append(r.rng, rand.New(rand.NewPCG(seed, uint64(client))))
	}
	for client := range raceOperators {
		operators.Go(func() {
			for i, acceptedPlans := 0, 0; acceptedPlans < plansPerOperator && i < raceAttempts; i++ {
				if r.confirmOnce(client, float64(10+client*raceAttempts+i)) {
					acceptedPlans++
				}
				r.readOnce(client)
			}
		})
	}
	operators.Wait()
	close(stop)
	outageLoop.Wait()
	r.store.applying.Wait()
	r.store.set(faults{}, false)
	r.check(c)
}

// check verifies the operations against the model, and the stored history against
// the results returned to operators.
func (r *race) check(c *qt.C) {
	verdict := porcupine.CheckOperationsTimeout(revisionModel.ToModel(), r.ops, 30*time.Second)
	c.Check(verdict, qt.Equals, porcupine.Ok)
	counts := map[result]int{}
	reported := map[uint64]string{}
	requested := map[string]bool{}
	for _, op := range r.ops {
		in, out := op.Input.(input), op.Output.(output)
		if in.digest == "" {
			continue
		}
		counts[out.result]++
		requested[in.digest] = true
		if out.result == accepted {
			reported[out.revision] = in.digest
		}
	}
	ledger := NewLedger(r.store)
	head, err := ledger.Head(context.Background())
	c.Assert(err, qt.IsNil)
	c.Logf("confirmations accepted %d, stale %d, unchanged %d, unknown %d; lost answers %d; revisions %d",
		counts[accepted], counts[stale], counts[unchanged], counts[unknown], r.store.lost, head.Revision)
	entries, err := ledger.Since(context.Background(), head, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, int(head.Revision))
	slices.Reverse(entries)
	for i, e := range entries {
		c.Assert(e.Revision, qt.Equals, uint64(i+1))
		c.Assert(requested[e.Digest], qt.IsTrue, qt.Commentf("revision %d was never requested", e.Revision))
		if digest, ok := reported[e.Revision]; ok {
			c.Assert(e.Digest, qt.Equals, digest, qt.Commentf("revision %d isn't the one returned to its operator", e.Revision))
		}
		content, err := ledger.At(context.Background(), head, e.Revision)
		c.Assert(err, qt.IsNil)
		digest, err := config.PlanDigest(e.Revision-1, content)
		c.Assert(err, qt.IsNil)
		c.Assert(digest, qt.Equals, e.Digest, qt.Commentf("the content of revision %d isn't its plan's", e.Revision))
	}
}
