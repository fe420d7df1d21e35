package sidecar

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/health"
	"goldcrestport/coordination/limit"
	"goldcrestport/coordination/share"
	"goldcrestport/protocol/settings"
	"goldcrestport/state/config"
	"goldcrestport/transport/observe"
)

const (
	// sampleRing bounds the measurements on the way to the limiter; more are
	// dropped and counted.
	sampleRing = 4096
	// windowEvery is the length of one window of the limiter.
	windowEvery = time.Second
	// healthEvery is the period in which a due probe is looked for.
	healthEvery = 50 * time.Millisecond
	// percentile that the targets are for.
	percentile = 95
	// loadPath is where an engine reports its load.
	loadPath = "/load"
	// maxReport bounds an engine's report, in bytes.
	maxReport = 64 << 10
)

// Range and precision of the histograms, in microseconds and digits.
const (
	histogramMin    = 1
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 2
)

// limitVars are the limiter's metrics under /debug/vars.
type limitVars struct{ slots, ejected, first, gap, dropped *expvar.Int }

func newLimitVars(all *observe.Vars) limitVars {
	return limitVars{
		slots:   all.Int("sidecar_slots"),
		ejected: all.Int("sidecar_ejected"),
		first:   all.Int("sidecar_first_token_p95_us"),
		gap:     all.Int("sidecar_token_gap_p95_us"),
		dropped: all.Int("sidecar_samples_dropped"),
	}
}

// runEvent is the start or the end of a run at the backend server. Both go
// through one ring, since a start must be seen before its end.
type runEvent struct {
	run    uint64
	team   string
	ended  bool
	result limit.Result
}

// sample is a measured time that counts n times.
type sample struct {
	first bool
	time  time.Duration
	n     int64
}

// limits is the duty that adapts the number of slots.
type limits struct {
	limiter *limit.Limiter
	health  *limit.Health
	kind    func() config.ServiceKind
	load    func(context.Context) (*limit.Report, error)
	// set hands the number of slots on.
	set func(context.Context, share.SlotsSet)
	// out tells that the backend server gets nothing but probes.
	out atomic.Bool

	runs    chan runEvent
	samples chan sample
	reports chan *limit.Report

	first, gap    *hdrhistogram.Histogram
	running, peak int
	report        *limit.Report
	slots         int
	vars          limitVars
}

// limitConfig returns the limiter's parameters from the settings.
func limitConfig(set settings.Backend) limit.Config {
	cfg := limit.DefaultConfig()
	cfg.Max = set.Slots
	cfg.Min = min(set.MinSlots, set.Slots)
	cfg.FirstTokenTarget = set.FirstToken.D()
	cfg.TokenGapTarget = set.TokenGap.D()
	return cfg
}

func newLimits(s *Sidecar) *limits {
	return &limits{
		limiter: limit.New(limitConfig(s.set.Backend)),
		health:  limit.NewHealth(health.DefaultConfig()),
		kind:    s.serviceKind,
		load:    s.backend.load,
		set: func(ctx context.Context, ev share.SlotsSet) {
			s.chooser.post(ctx, message{event: ev})
		},
		runs:    make(chan runEvent, eventRing),
		samples: make(chan sample, sampleRing),
		reports: make(chan *limit.Report, 1),
		first:   hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		gap:     hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		slots:   s.set.Backend.Slots,
		vars:    newLimitVars(s.metrics.vars),
	}
}

// run is the duty's loop.
func (l *limits) run(ctx context.Context) {
	go l.poll(ctx)
	windows, probes := time.NewTicker(windowEvery), time.NewTicker(healthEvery)
	defer windows.Stop()
	defer probes.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.runs:
			l.count(ctx, e)
		case m := <-l.samples:
			l.record(m)
		case l.report = <-l.reports:
		case <-windows.C:
			l.window(ctx)
		case <-probes.C:
			l.apply(ctx)
		}
	}
}

// count follows what runs and how it ends.
func (l *limits) count(ctx context.Context, e runEvent) {
	if !e.ended {
		l.running++
		l.peak = max(l.peak, l.running)
		l.health.Started(time.Now(), e.run)
		return
	}
	l.running--
	l.health.Ended(time.Now(), e.run, e.team, e.result)
	l.apply(ctx)
}

func (l *limits) record(m sample) {
	h := l.gap
	if m.first {
		h = l.first
	}
	us := min(max(m.time.Microseconds(), histogramMin), histogramMax)
	_ = h.RecordValues(us, m.n) // in range by the line above
}

// window closes one window.
func (l *limits) window(ctx context.Context) {
	w := limit.Window{
		First:  time.Duration(l.first.ValueAtQuantile(percentile)) * time.Microsecond,
		Gap:    time.Duration(l.gap.ValueAtQuantile(percentile)) * time.Microsecond,
		Firsts: int(l.first.TotalCount()),
		Gaps:   int(l.gap.TotalCount()),
		Peak:   l.peak,
		Report: l.report,
	}
	l.first.Reset()
	l.gap.Reset()
	l.peak, l.report = l.running, nil
	if w.Firsts > 0 {
		l.vars.first.Set(w.First.Microseconds())
	}
	if w.Gaps > 0 {
		l.vars.gap.Set(w.Gap.Microseconds())
	}
	if l.kind() == config.KindModel {
		l.limiter.Observe(w)
	}
	l.apply(ctx)
}

// apply hands the number of slots on if it has changed.
func (l *limits) apply(ctx context.Context) {
	ejected := l.health.Ejected()
	l.out.Store(ejected)
	l.vars.ejected.Set(0)
	if ejected {
		l.vars.ejected.Set(1)
	}
	slots := l.health.Slots(time.Now(), l.limiter.Limit())
	l.vars.slots.Set(int64(slots))
	if slots == l.slots {
		return
	}
	l.slots = slots
	l.set(ctx, share.SlotsSet{Slots: slots})
}

// poll reads the engine's report once per window until ctx ends.
func (l *limits) poll(ctx context.Context) {
	ticker := time.NewTicker(windowEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if l.kind() != config.KindModel {
			continue
		}
		if r, err := l.load(ctx); err == nil {
			select {
			case l.reports <- r:
			default:
			}
		}
	}
}

// load reads the engine's report of its load.
func (b *backend) load(ctx context.Context) (*limit.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, windowEvery)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.base+loadPath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := b.kept.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("load: status %d", resp.StatusCode)
	}
	var r limit.Report
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&r)
	return &r, err
}
