// Command claims measures what keys cost: the platform's reads and writes and
// the latency added to non-idempotent calls, over routers and rates. It starts
// a fleet on loopback for each number of routers and ends it.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/bench/fleet"
	"goldcrestport/protocol/settings"
	"goldcrestport/state/config"
)

// Size of the fleet and the names in it.
const (
	sidecars = 2
	slots    = 64
	service  = "ledger-app"
	token    = "token-claims"
	warmUp   = 3 * time.Second
)

func main() {
	bin := flag.String("bin", "bin", "folder with goldcrestd and standin")
	dir := flag.String("dir", "out/claims", "folder for settings and logs")
	window := flag.Duration("window", 8*time.Second, "time of each measurement")
	flag.Parse()
	fmt.Println("| routers | calls/s | writes/s | reads/s | KiB written/s | median ms without / with key | 99th ms without / with key | completed | others |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, routers := range []int{1, 8} {
		if err := measure(*bin, *dir, routers, *window); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// bed is a fleet under measurement.
type bed struct {
	fleet    *fleet.Fleet
	platform *fleet.Process
	routers  []*fleet.Process
	client   *http.Client
}

func measure(bin, dir string, routers int, window time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	f, err := fleet.New(bin, dir)
	if err != nil {
		return err
	}
	defer f.Close()
	b := &bed{fleet: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 10 * time.Second}}
	if err := b.start(ctx, routers); err != nil {
		return err
	}
	for _, rate := range []int{10, 100, 260} {
		plain := b.load(rate, window, false)
		before, written, err := b.counts()
		if err != nil {
			return err
		}
		keyed := b.load(rate, window, true)
		// Results are written up to a second later.
		time.Sleep(2 * time.Second)
		after, writtenAfter, err := b.counts()
		if err != nil {
			return err
		}
		per := func(n int64) float64 { return float64(n) / window.Seconds() }
		fmt.Printf("| %d | %d | %.0f | %.0f | %.0f | %.1f / %.1f | %.1f / %.1f | %d | %d |\n", routers, rate,
			per(after.Writes-before.Writes), per(after.Reads-before.Reads), per(writtenAfter-written)/1024,
			plain.at(0.5), keyed.at(0.5), plain.at(0.99), keyed.at(0.99), len(keyed.ms), keyed.others)
	}
	return nil
}

// counters are the calls that the platform let through.
type counters struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// counts returns the platform's counters and the bytes written for claims.
func (b *bed) counts() (counters, int64, error) {
	var c counters
	if err := b.fleet.Get(b.platform.Addr, "/admin/counters", &c); err != nil {
		return c, 0, err
	}
	var bytes int64
	for _, r := range b.routers {
		var vars struct {
			Claims struct {
				Bytes int64 `json:"platform_bytes"`
			} `json:"router_claims"`
		}
		if err := b.fleet.Get(r.Ops, "/debug/vars", &vars); err != nil {
			return c, 0, err
		}
		bytes += vars.Claims.Bytes
	}
	return c, bytes, nil
}

func (b *bed) start(ctx context.Context, routers int) error {
	var err error
	if b.platform, err = b.fleet.StartPlatform(ctx, "--list-lag", "200ms"); err != nil {
		return err
	}
	doc := config.Document{
		Revision: 1,
		Teams:    map[string]config.Team{"claims": {Share: 1, Tokens: []string{config.TokenDigest(token)}, Services: []string{service}}},
		Services: map[string]config.Service{service: {Kind: config.KindPlain, NonIdempotent: []string{"/pledges"}}},
	}
	if err := b.fleet.PutConfig(doc); err != nil {
		return err
	}
	for i := range sidecars {
		s, err := b.fleet.StartService(fmt.Sprint("service-", i), "--slots", fmt.Sprint(slots), "--time", "5ms", "--jitter", "0ms")
		if err != nil {
			return err
		}
		edit := func(set *settings.Sidecar) { set.Backend.Slots = slots }
		if _, err := b.fleet.StartSidecar(fmt.Sprint("sidecar-", i), "dc", service, s, edit); err != nil {
			return err
		}
	}
	for i := range routers {
		r, err := b.fleet.StartRouter(fmt.Sprint("router-", i), "dc", nil)
		if err != nil {
			return err
		}
		b.routers = append(b.routers, r)
	}
	if err := b.fleet.WaitReady(ctx, b.routers...); err != nil {
		return err
	}
	time.Sleep(warmUp)
	return nil
}

// sample holds the latencies of completed calls in ms, and how many others
// there were.
type sample struct {
	mu     sync.Mutex
	ms     []float64
	others int
}

func (s *sample) at(part float64) float64 {
	if len(s.ms) == 0 {
		return 0
	}
	slices.Sort(s.ms)
	return s.ms[int(part*float64(len(s.ms)-1))]
}

// load sends calls at an even rate, spread over the routers, each at its time
// whether or not the ones before have ended.
func (b *bed) load(rate int, window time.Duration, keyed bool) *sample {
	s := &sample{}
	var wg sync.WaitGroup
	began := time.Now()
	for n := range int(float64(rate) * window.Seconds()) {
		at := began.Add(time.Duration(n) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(at))
		key := ""
		if keyed {
			key = fmt.Sprintf("%d-%d", began.UnixNano(), n)
		}
		wg.Go(func() { s.add(b.call(b.routers[n%len(b.routers)], key)) })
	}
	wg.Wait()
	return s
}

func (s *sample) add(took time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.others++
		return
	}
	s.ms = append(s.ms, float64(took.Microseconds())/1000)
}

func (b *bed) call(r *fleet.Process, key string) (time.Duration, error) {
	began := time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+r.Addr+"/services/"+service+"/pledges", strings.NewReader("{}"))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Newf("status %d", resp.StatusCode)
	}
	return time.Since(began), nil
}
