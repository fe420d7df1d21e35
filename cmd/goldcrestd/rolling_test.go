package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/settings"
	"goldcrestport/state/config"
)

const (
	fleetToken = "rolling-token"
	// slowPrefix is the prefix of the ids of pledges that run for slowDuration,
	// longer than a stopping process without requests in flight stays up.
	slowPrefix   = "slow-pledge-"
	slowDuration = 3 * time.Second
)

// member is a process of the fleet that can be restarted.
type member struct {
	process *os.Process
	file    string
	role    string
	ready   string
	callers string
	// up reports whether the load balancer considers the router ready.
	up atomic.Bool
}

// fleet consists of two routers and two sidecars in front of one backend
// server that counts the runs of each call.
type fleet struct {
	p       *processes
	members []*member
	mu      sync.Mutex
	runs    map[string]int
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{p: newProcesses(t), runs: map[string]int{}}
	backend := httptest.NewServer(http.HandlerFunc(f.serve))
	t.Cleanup(backend.Close)
	doc := fmt.Sprintf(`{"revision":1,"teams":{"legacy":{"share":1,"tokens":[%q],"services":["ledger-app"]}},`+
		`"services":{"ledger-app":{"kind":"plain","non_idempotent":["/pledges"]}}}`, config.TokenDigest(fleetToken))
	platform := f.p.platform(20, doc)
	for i := range 2 {
		f.addSidecar(platform, fmt.Sprint("sidecar-", i), 30+10*i, backend.URL)
	}
	for i := range 2 {
		f.addRouter(platform, fmt.Sprint("router-", i), 60+10*i)
	}
	return f
}

// serve handles requests as the backend server: it sends the request body twice, with a
// delay in between.
func (f *fleet) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	f.runs[string(body)]++
	f.mu.Unlock()
	_, _ = w.Write(body)
	_ = http.NewResponseController(w).Flush()
	duration := 30 * time.Millisecond
	if strings.HasPrefix(string(body), slowPrefix) {
		duration = slowDuration
	}
	time.Sleep(duration)
	_, _ = w.Write(body)
}

func (f *fleet) addSidecar(platform, id string, host int, backend string) {
	set := settings.DefaultSidecar()
	set.ID, set.Service, set.DataCentre = id, "ledger-app", "hall-pamp"
	set.Listen = settings.SidecarListen{Peers: f.p.address(host), Operators: f.p.address(host + 1)}
	set.Platform.URL, set.Backend.URL = platform, backend
	f.p.put(platform+"/v1/instances/"+id, fmt.Sprintf(
		`{"role":"sidecar","address":%q,"data_centre":"hall-pamp","service":"ledger-app"}`, set.Listen.Peers))
	f.add(&member{file: f.p.settings(id, set), role: "sidecar", ready: "http://" + set.Listen.Operators + "/readyz"})
}

func (f *fleet) addRouter(platform, id string, host int) {
	set := settings.DefaultRouter()
	set.ID, set.DataCentre = id, "hall-pamp"
	set.Listen = settings.RouterListen{
		Callers: f.p.address(host), Operators: f.p.address(host + 1), Peers: f.p.address(host + 2),
	}
	set.Platform.URL = platform
	set.Stop.Linger = settings.Duration(500 * time.Millisecond)
	f.p.put(platform+"/v1/instances/"+id, fmt.Sprintf(
		`{"role":"router","address":%q,"data_centre":"hall-pamp"}`, set.Listen.Peers))
	f.add(&member{
		file: f.p.settings(id, set), role: "router",
		ready: "http://" + set.Listen.Operators + "/readyz", callers: "http://" + set.Listen.Callers,
	})
}

func (f *fleet) add(m *member) {
	f.startMember(m)
	f.members = append(f.members, m)
}

func (f *fleet) startMember(m *member) {
	m.process = f.p.start("goldcrestd", m.role, "--settings", m.file)
	f.p.waitOK(m.ready)
}

// restart stops a member gracefully and starts it again.
func (f *fleet) restart(m *member) {
	qt.Assert(f.p.t, m.process.Signal(syscall.SIGTERM), qt.IsNil)
	state, err := m.process.Wait()
	qt.Assert(f.p.t, err, qt.IsNil)
	qt.Assert(f.p.t, state.Success(), qt.IsTrue)
	f.startMember(m)
}

// pollReadiness polls the readiness of the routers as a load balancer does.
func (f *fleet) pollReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		for _, m := range f.members {
			if m.callers == "" {
				continue
			}
			resp, err := http.Get(m.ready)
			m.up.Store(err == nil && resp.StatusCode == http.StatusOK)
			if err == nil {
				resp.Body.Close()
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// call sends one pledge through a router that is up and returns an error unless the
// response is complete.
func (f *fleet) call(id string, n int) error {
	var up []*member
	for _, m := range f.members {
		if m.up.Load() {
			up = append(up, m)
		}
	}
	if len(up) == 0 {
		return fmt.Errorf("no router is up")
	}
	req, err := http.NewRequest(http.MethodPost, up[n%len(up)].callers+"/services/ledger-app/pledges", strings.NewReader(id))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+fleetToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || string(body) != id+id {
		return fmt.Errorf("%s: %s", resp.Status, body)
	}
	return nil
}

// Restarts every process of the fleet under load: each pledge gets a complete response
// to its first call, and runs exactly once.
func TestRollingRestartLosesNothing(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.pollReadiness(ctx)
	time.Sleep(2 * time.Second)

	const callers = 8
	var wg sync.WaitGroup
	var calls, failed atomic.Int64
	stop := make(chan struct{})
	for k := range callers {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				calls.Add(1)
				id := fmt.Sprintf("pledge-%d-%d", k, n)
				if k%2 == 0 {
					id = fmt.Sprintf("%s%d-%d", slowPrefix, k, n)
				}
				if err := f.call(id, n+k/2); err != nil {
					failed.Add(1)
					t.Logf("caller %d, call %d: %v", k, n, err)
				}
			}
		})
	}
	for _, m := range f.members {
		f.restart(m)
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	c.Logf("%d calls over %d restarts", calls.Load(), len(f.members))
	c.Assert(failed.Load(), qt.Equals, int64(0))
	f.mu.Lock()
	defer f.mu.Unlock()
	c.Assert(int64(len(f.runs)), qt.Equals, calls.Load())
	for id, runs := range f.runs {
		c.Assert(runs, qt.Equals, 1, qt.Commentf(id))
	}
}
