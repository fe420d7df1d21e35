package latency

import (
	"context"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/bench/fleet"
)

// Options of a run.
type Options struct {
	// Bin holds the programs, Out receives settings and logs.
	Bin, Out string
	// Requests of each kind under light load.
	Requests int
	// Pause between two requests under light load.
	Pause time.Duration
	// Callers and Load shape the throughput part: so many callers send one
	// request after the other for so long.
	Callers int
	Load    time.Duration
}

// Validate returns an error that names each option out of range.
func (o Options) Validate() error {
	var err error
	if o.Requests < 100 || o.Requests > 1_000_000 {
		err = errors.CombineErrors(err, errors.New("requests must lie in 100..1000000"))
	}
	if o.Callers < 1 || o.Callers > slots {
		err = errors.CombineErrors(err, errors.Newf("callers must lie in 1..%d", slots))
	}
	if o.Load < time.Second || o.Load > time.Minute {
		err = errors.CombineErrors(err, errors.New("load must lie in 1s..1m"))
	}
	return err
}

// Light is the latency under light load, in microseconds.
type Light struct {
	Requests     int     `json:"requests"`
	DirectMedian float64 `json:"direct_median_us"`
	DirectP99    float64 `json:"direct_p99_us"`
	ViaMedian    float64 `json:"via_median_us"`
	ViaP99       float64 `json:"via_p99_us"`
	// AddedMedian and AddedP99 are differences of the quantiles.
	AddedMedian float64 `json:"added_median_us"`
	AddedP99    float64 `json:"added_p99_us"`
}

// Throughput is what one router and one sidecar carried.
type Throughput struct {
	Callers     int     `json:"callers"`
	Seconds     float64 `json:"seconds"`
	PerSecond   float64 `json:"requests_per_s"`
	Errors      int     `json:"errors"`
	Median      float64 `json:"median_us"`
	P99         float64 `json:"p99_us"`
	RouterCPU   float64 `json:"router_cpu_us_per_request"`
	SidecarCPU  float64 `json:"sidecar_cpu_us_per_request"`
	RouterCores float64 `json:"router_cores"`
	RouterRSS   int64   `json:"router_rss_bytes"`
}

// Report is the outcome of a run.
type Report struct {
	Light      Light      `json:"light"`
	Hops       []Hop      `json:"hops"`
	Throughput Throughput `json:"throughput"`
}

// warmup is the part of the requests that is sent first and not counted.
const warmup = 10

// Run measures light load and throughput on one fleet, and the hops on a
// second one whose requests are all traced.
func Run(ctx context.Context, o Options) (Report, error) {
	var report Report
	p, err := startPath(ctx, o.Bin, filepath.Join(o.Out, "plain"), false)
	if err != nil {
		return report, err
	}
	report.Light, err = light(ctx, p, o)
	if err == nil {
		report.Throughput, err = throughput(ctx, p, o)
	}
	p.fleet.Close()
	if err != nil {
		return report, err
	}
	report.Hops, err = traced(ctx, o)
	return report, err
}

// light sends requests one at a time, directly and through the path in turn.
func light(ctx context.Context, p *path, o Options) (Light, error) {
	c := newCaller(p, 1)
	var direct, via []time.Duration
	for i := range o.Requests + o.Requests/warmup {
		for _, kind := range []struct {
			url  string
			into *[]time.Duration
		}{{c.direct, &direct}, {c.via, &via}} {
			took, err := c.call(ctx, kind.url)
			if err != nil {
				return Light{}, err
			}
			if i >= o.Requests/warmup {
				*kind.into = append(*kind.into, took)
			}
			time.Sleep(o.Pause)
		}
	}
	l := Light{
		Requests:     len(via),
		DirectMedian: quantile(direct, 0.5),
		DirectP99:    quantile(direct, 0.99),
		ViaMedian:    quantile(via, 0.5),
		ViaP99:       quantile(via, 0.99),
	}
	l.AddedMedian, l.AddedP99 = l.ViaMedian-l.DirectMedian, l.ViaP99-l.DirectP99
	return l, nil
}

// traced measures the hops of requests under light load.
func traced(ctx context.Context, o Options) ([]Hop, error) {
	dir := filepath.Join(o.Out, "traced")
	p, err := startPath(ctx, o.Bin, dir, true)
	if err != nil {
		return nil, err
	}
	defer p.fleet.Close()
	if _, err := light(ctx, p, o); err != nil {
		return nil, err
	}
	// A graceful end exports the last spans.
	for _, process := range []*fleet.Process{p.router, p.sidecar} {
		if !process.Stop(startBound) {
			return nil, errors.Newf("%s did not stop", process.Name)
		}
	}
	requests, err := readSpans(dir, "router", "sidecar")
	return hops(requests), err
}

// throughput lets callers send one request after the other.
func throughput(ctx context.Context, p *path, o Options) (Throughput, error) {
	c := newCaller(p, o.Callers)
	before, err := usages(p)
	if err != nil {
		return Throughput{}, err
	}
	began := time.Now()
	times, failed := callAll(ctx, c, o)
	span := time.Since(began)
	after, err := usages(p)
	if err != nil {
		return Throughput{}, err
	}
	n := float64(max(len(times), 1))
	router, sidecar := after[0].CPU-before[0].CPU, after[1].CPU-before[1].CPU
	return Throughput{
		Callers:     o.Callers,
		Seconds:     span.Seconds(),
		PerSecond:   float64(len(times)) / span.Seconds(),
		Errors:      failed,
		Median:      quantile(times, 0.5),
		P99:         quantile(times, 0.99),
		RouterCPU:   float64(router.Microseconds()) / n,
		SidecarCPU:  float64(sidecar.Microseconds()) / n,
		RouterCores: router.Seconds() / span.Seconds(),
		RouterRSS:   after[0].RSS,
	}, nil
}

// usages returns the use of the router and of the sidecar.
func usages(p *path) ([2]fleet.Usage, error) {
	var out [2]fleet.Usage
	for i, process := range []*fleet.Process{p.router, p.sidecar} {
		use, err := process.Usage()
		if err != nil {
			return out, err
		}
		out[i] = use
	}
	return out, nil
}

// callAll returns the times of all requests that completed, and how many
// others there were.
func callAll(ctx context.Context, c *caller, o Options) ([]time.Duration, int) {
	ctx, cancel := context.WithTimeout(ctx, o.Load)
	defer cancel()
	var (
		mu     sync.Mutex
		all    []time.Duration
		failed int
		group  sync.WaitGroup
	)
	for range o.Callers {
		group.Go(func() {
			var own []time.Duration
			bad := 0
			for ctx.Err() == nil {
				took, err := c.call(ctx, c.via)
				switch {
				case err == nil:
					own = append(own, took)
				case ctx.Err() == nil:
					bad++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			all, failed = append(all, own...), failed+bad
		})
	}
	group.Wait()
	return all, failed
}

// quantile returns the q-quantile of the times in microseconds, 0 for none.
func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Clone(times)
	slices.Sort(sorted)
	at := min(int(q*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[at]) / float64(time.Microsecond)
}
