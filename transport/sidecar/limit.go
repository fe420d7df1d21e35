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
	// sampleQueueSize bounds the samples queued for the limiter; further
	// samples are dropped and counted.
	sampleQueueSize = 4096
	// windowLength is the length of one measurement window of the limiter.
	windowLength = time.Second
	// healthInterval is the interval at which due probe requests are checked.
	healthInterval = 50 * time.Millisecond
	// percentile is the percentile to which the latency targets apply.
	percentile = 95
	// loadPath is the endpoint at which an engine reports its load.
	loadPath = "/load"
	// maxReport bounds the size of an engine's load report, in bytes.
	maxReport = 64 << 10
)

// Range of the histograms in microseconds, and their significant digits.
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
// through one queue, since a start must be processed before its end.
type runEvent struct {
	run    uint64
	team   string
	ended  bool
	result limit.Result
}

// sample is a measured latency with weight n.
type sample struct {
	first bool
	time  time.Duration
	n     int64
}

// limits is the event loop that adapts the number of slots.
type limits struct {
	limiter *limit.Limiter
	health  *limit.Health
	kind    func() config.ServiceKind
	load    func(context.Context) (*limit.Report, error)
	// setSlots sends the number of slots to the scheduler.
	setSlots func(context.Context, share.SlotsSet)
	// ejected is set while the backend server receives only probe requests.
	ejected atomic.Bool

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
		setSlots: func(ctx context.Context, ev share.SlotsSet) {
			s.scheduler.post(ctx, message{event: ev})
		},
		runs:    make(chan runEvent, eventQueueSize),
		samples: make(chan sample, sampleQueueSize),
		reports: make(chan *limit.Report, 1),
		first:   hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		gap:     hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		slots:   s.set.Backend.Slots,
		vars:    newLimitVars(s.metrics.vars),
	}
}

// run processes events until ctx ends.
func (l *limits) run(ctx context.Context) {
	go l.pollLoad(ctx)
	windows, probes := time.NewTicker(windowLength), time.NewTicker(healthInterval)
	defer windows.Stop()
	defer probes.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.runs:
			l.handleRun(ctx, e)
		case m := <-l.samples:
			l.record(m)
		case l.report = <-l.reports:
		case <-windows.C:
			l.closeWindow(ctx)
		case <-probes.C:
			l.applySlots(ctx)
		}
	}
}

// handleRun records the start or the end of a run.
func (l *limits) handleRun(ctx context.Context, e runEvent) {
	if !e.ended {
		l.running++
		l.peak = max(l.peak, l.running)
		l.health.Started(time.Now(), e.run)
		return
	}
	l.running--
	l.health.Ended(time.Now(), e.run, e.team, e.result)
	l.applySlots(ctx)
}

func (l *limits) record(m sample) {
	h := l.gap
	if m.first {
		h = l.first
	}
	us := min(max(m.time.Microseconds(), histogramMin), histogramMax)
	_ = h.RecordValues(us, m.n) // never fails: us is clamped above
}

// closeWindow evaluates the current window and starts the next one.
func (l *limits) closeWindow(ctx context.Context) {
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
	l.applySlots(ctx)
}

// applySlots sends the number of slots to the scheduler if it has changed.
func (l *limits) applySlots(ctx context.Context) {
	ejected := l.health.Ejected()
	l.ejected.Store(ejected)
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
	l.setSlots(ctx, share.SlotsSet{Slots: slots})
}

// pollLoad fetches the engine's load report once per window until ctx ends.
func (l *limits) pollLoad(ctx context.Context) {
	ticker := time.NewTicker(windowLength)
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

// load fetches the engine's load report.
func (b *backend) load(ctx context.Context) (*limit.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, windowLength)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.base+loadPath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := b.keepAlive.Do(req)
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
