package claims

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/frankban/quicktest"

	"goldcrestport/protocol/outcome"
	"goldcrestport/state/claims"
)

// Parameters of one recorded history.
const (
	historyRouters = 4
	historyKeys    = 6               // in use at the same time
	historyWindow  = 4 * time.Second // after which new keys are used
	historyCallers = 12
	historyTime    = 40 * time.Second
)

// fleet is a set of Guards that share a store, with callers that reuse keys.
type fleet struct {
	seed  uint64
	store *fakeStore
	peers *fakePeers
	ctx   context.Context
	start time.Time
	wg    sync.WaitGroup

	mu      sync.Mutex
	guards  []*process
	history []porcupine.Operation
	runs    map[string][]string // attempts that ran, by key
	refused map[string]bool     // attempts that were reported as not run
	counts  map[string]int
	faults  int
	sealed  int64
}

// process is one incarnation of a router.
type process struct {
	*Guard
	kill context.CancelFunc
}

func newFleet(ctx context.Context, seed uint64) *fleet {
	f := &fleet{
		seed:    seed,
		store:   newFakeStore(seed),
		peers:   newFakePeers(seed),
		ctx:     ctx,
		start:   time.Now(),
		guards:  make([]*process, historyRouters),
		runs:    map[string][]string{},
		refused: map[string]bool{},
		counts:  map[string]int{},
	}
	for i := range f.guards {
		f.restart(i)
	}
	return f
}

// restart kills router i and starts a new incarnation without its state.
func (f *fleet) restart(i int) {
	f.mu.Lock()
	if f.guards[i] != nil {
		f.sealed += f.guards[i].metrics.sealed.Value()
		f.guards[i].kill()
	}
	cfg := DefaultConfig()
	cfg.Core.Seed = f.seed*historyRouters + uint64(i) + 1
	cfg.Core.SealBytes = 700 // a few keys
	ctx, kill := context.WithCancel(f.ctx)
	defer f.mu.Unlock()
	var all []Peer
	for n := range historyRouters {
		all = append(all, Peer{ID: fmt.Sprint("router-", n), Address: fmt.Sprint("10.0.0.", n)})
	}
	g := New(cfg, all[i], f.store, f.peers)
	f.guards[i] = &process{g, kill}
	g.Start(ctx)
	g.SetRouters(all)
	f.peers.put(g)
}

func (f *fleet) guard(i int) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.guards[i]
}

// opKind is the kind of an operation on a key, which is modelled as a register.
type opKind int

const (
	opRun opKind = iota
	opFinish
	opRelease
	opReplay
)

type input struct {
	kind   opKind
	key    string
	result string
}

func (f *fleet) record(caller int, in input, call, end time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ret := int64(math.MaxInt64)
	if !end.IsZero() {
		ret = int64(end.Sub(f.start))
	}
	f.history = append(f.history, porcupine.Operation{
		ClientId: caller, Input: in, Call: int64(call.Sub(f.start)), Return: ret,
	})
}

func (f *fleet) count(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[what]++
}

func keyName(window, n int) string { return fmt.Sprintf("key-%d-%d", window, n) }

// caller sends requests with a small set of keys through random routers.
func (f *fleet) caller(id int) {
	defer f.wg.Done()
	rng := rand.New(rand.NewPCG(f.seed, uint64(1000+id)))
	for n := 0; time.Since(f.start) < historyTime; n++ {
		key := keyName(int(time.Since(f.start)/historyWindow), rng.IntN(historyKeys))
		f.request(id, fmt.Sprintf("%d-%d", id, n), key, f.guard(rng.IntN(historyRouters)), rng)
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
}

func (f *fleet) request(id int, attempt, key string, g *process, rng *rand.Rand) {
	r := Request{ID: attempt, Team: "t", Service: "s", Key: key, Method: "POST", Path: "/", Body: []byte("b")}
	start := time.Now()
	d := g.Acquire(g.ctx, r)
	switch {
	case g.ctx.Err() != nil:
		f.count("killed")
	case d.Replay != nil:
		f.count("replayed")
		f.record(id, input{opReplay, key, string(d.Replay.Body)}, start, time.Now())
	case d.Run:
		f.record(id, input{opRun, key, ""}, start, time.Now())
		f.execute(id, r, g, rng)
	default:
		f.count(string(d.Refusal.Kind) + " " + string(d.Refusal.Reason))
		f.mu.Lock()
		f.refused[attempt] = f.refused[attempt] || d.Refusal.Kind == outcome.NotRun
		f.mu.Unlock()
	}
}

// execute simulates a router that executes a granted request: it may be slow, be
// killed before or during the run, or release the request without running it.
func (f *fleet) execute(id int, r Request, g *process, rng *rand.Rand) {
	time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
	if g.ctx.Err() != nil {
		f.count("killed before its run")
		return
	}
	if rng.IntN(2) == 0 {
		start := time.Now()
		g.Release(r)
		f.count("released")
		f.record(id, input{opRelease, r.Key, ""}, start, time.Now())
		return
	}
	f.mu.Lock()
	f.runs[r.Key] = append(f.runs[r.Key], r.ID)
	f.mu.Unlock()
	time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
	if g.ctx.Err() != nil {
		f.count("killed in its run")
		return
	}
	f.count("run")
	f.record(id, input{opFinish, r.Key, r.ID}, time.Now(), time.Time{})
	g.Finish(r, claims.Result{Outcome: "completed", Status: 200, Kept: true, Body: []byte(r.ID)})
}

// injectFaults injects one fault after another; sometimes the next one starts before
// the last one is repaired.
func (f *fleet) injectFaults() {
	defer f.wg.Done()
	rng := rand.New(rand.NewPCG(f.seed, 3))
	for time.Since(f.start) < historyTime {
		f.faults++
		switch rng.IntN(5) {
		case 0:
			f.store.set(true, 0)
		case 1, 2:
			f.store.set(false, 0.5)
		case 3:
			f.peers.set(0.5)
		case 4:
			f.restart(rng.IntN(historyRouters))
		}
		time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
		if rng.IntN(3) > 0 {
			f.repair()
		}
	}
	f.repair()
}

func (f *fleet) repair() {
	f.store.set(false, 0.05)
	f.peers.set(0)
}

// model describes the states of one key: free, claimed, or ended with a result.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(input).key
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "free" },
	Step: func(state, in, _ any) (bool, any) {
		op := in.(input)
		switch op.kind {
		case opRun:
			return state == "free", "claimed"
		case opRelease:
			return state == "claimed", "free"
		case opFinish:
			return state == "claimed", "ended " + op.result
		default:
			return state == "ended "+op.result, state
		}
	},
}

// check verifies that no key ran twice, that no attempt that ran was reported as
// not run, and that the history is linearizable.
func (f *fleet) check(c *quicktest.C) {
	for key, ran := range f.runs {
		c.Check(len(ran) <= 1, quicktest.IsTrue, quicktest.Commentf("seed %d: %s ran %d times: %v", f.seed, key, len(ran), ran))
		for _, attempt := range ran {
			c.Check(f.refused[attempt], quicktest.IsFalse, quicktest.Commentf("seed %d: %s ran but was reported as not run", f.seed, attempt))
		}
	}
	result := porcupine.CheckOperationsTimeout(model, f.history, 10*time.Second)
	c.Check(result, quicktest.Equals, porcupine.Ok, quicktest.Commentf("seed %d: history of %d operations", f.seed, len(f.history)))
}

// checkAfterRepair checks that, with all faults repaired, no claim is refused as not run
// and no key that ran is granted again.
func (f *fleet) checkAfterRepair(c *quicktest.C) {
	for n := range historyKeys * int(historyTime/historyWindow) {
		key := keyName(n/historyKeys, n%historyKeys)
		g := f.guard(n % historyRouters)
		d := g.Acquire(f.ctx, Request{ID: "last-" + key, Team: "t", Service: "s", Key: key, Method: "POST", Path: "/", Body: []byte("b")})
		c.Check(d.Refusal.Kind == outcome.NotRun, quicktest.IsFalse, quicktest.Commentf("seed %d: %s: %+v", f.seed, key, d))
		if d.Run {
			c.Check(f.runs[key], quicktest.HasLen, 0, quicktest.Commentf("seed %d: %s may run again", f.seed, key))
			g.Release(Request{ID: "last-" + key, Team: "t", Service: "s", Key: key})
		}
	}
}

// TestRunsAtMostOnce guards against a key that runs twice and against a request
// that ran but was reported as not run. It records histories while calls to the
// platform and between routers fail and routers restart. CLAIMS_RUNS sets the
// number of histories, CLAIMS_SEED the first seed.
func TestRunsAtMostOnce(t *testing.T) {
	runs, first := envInt("CLAIMS_RUNS", 20), envInt("CLAIMS_SEED", 1)
	total, faults, requests, sealed := map[string]int{}, 0, 0, int64(0)
	for seed := first; seed < first+runs; seed++ {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			f := newFleet(ctx, uint64(seed))
			f.wg.Add(historyCallers + 1)
			for id := range historyCallers {
				go f.caller(id)
			}
			go f.injectFaults()
			f.wg.Wait()
			f.store.set(false, 0)
			time.Sleep(10 * time.Second)
			f.checkAfterRepair(c)
			f.check(c)
			for what, n := range f.counts {
				total[what] += n
				requests += n
			}
			faults += f.faults + f.store.lost
			sealed += f.sealed
			for i := range historyRouters {
				sealed += f.guard(i).metrics.sealed.Value()
			}
			cancel()
			time.Sleep(time.Minute) // lets all goroutines end
		})
	}
	t.Logf("claims: %d runs, %d requests, %d failures made, %d segments; %v", runs, requests, faults, sealed, total)
}

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}
