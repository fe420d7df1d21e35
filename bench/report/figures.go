package report

import (
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"goldcrestport/bench/load"
	"goldcrestport/bench/observe"
)

// Bounds of the histograms of times, in microseconds.
const (
	leastTime     = 1
	mostTime      = int64(10 * time.Minute / time.Microsecond)
	timeDigits    = 3
	tailPercent   = 95
	microsInMilli = 1000
)

// Figures computes the figures of a trial.
func (t *Trial) Figures() PolicyResult {
	length := t.To.Sub(t.From)
	samples := t.window(length)
	teams := backlogged(t.Teams, samples)
	r := PolicyResult{Policy: t.Policy, Backlogged: names(teams)}
	t.addCosts(&r, samples)
	gap, per := Gap(teams, samples)
	r.FairnessGap = ratio(gap, r.MeanRequestCost)
	r.GapBound = ratio(Bound(t.Pool, teams), r.MeanRequestCost)
	r.ServicePerShare = map[string]float64{}
	for name, v := range per {
		r.ServicePerShare[name] = ratio(v, r.MeanRequestCost)
	}
	r.Windows = t.windowGaps(teams, r.MeanRequestCost)
	r.LongestSilence = t.silence()
	t.addSlots(&r, samples)
	t.addTimes(&r)
	t.addProcesses(&r)
	return r
}

func names(teams []load.Team) []string {
	out := []string{}
	for _, t := range teams {
		out = append(out, t.Name)
	}
	return out
}

func (t *Trial) addCosts(r *PolicyResult, samples []TeamSample) {
	if len(samples) == 0 {
		return
	}
	first, last := samples[0], samples[len(samples)-1]
	r.MeanRequestCost = ratio(last.EndedCost-first.EndedCost, float64(last.Ended-first.Ended))
}

func (t *Trial) addSlots(r *PolicyResult, samples []TeamSample) {
	sum := observe.SumSlots(t.SlotSamples, t.Pool.Sidecars*t.Pool.Slots, t.From, t.To)
	r.Utilisation = ratio(float64(sum.Busy), float64(sum.Total))
	r.IdleWhileWaiting = ratio(float64(sum.IdleWhileWaiting), float64(sum.Total))
	if len(samples) > 0 {
		ended := samples[len(samples)-1].Ended - samples[0].Ended
		r.MeanService = ratio(millis(sum.Busy), float64(ended))
	}
}

// times is a histogram of times.
type times struct{ h *hdrhistogram.Histogram }

func newTimes() times { return times{hdrhistogram.New(leastTime, mostTime, timeDigits)} }

// add records a time; those out of range count as the nearest in range.
func (t times) add(d time.Duration) {
	_ = t.h.RecordValue(min(max(d.Microseconds(), leastTime), mostTime))
}

func (t times) tail() float64 {
	return float64(t.h.ValueAtQuantile(tailPercent)) / microsInMilli
}

func (t *Trial) addTimes(r *PolicyResult) {
	kinds := map[string]load.Kind{}
	for _, team := range t.Teams {
		kinds[team.Name] = team.Kind
	}
	wait, first, light, started, plain := newTimes(), newTimes(), newTimes(), newTimes(), newTimes()
	for _, v := range t.Results {
		r.count(v)
		if v.Ending != load.Completed {
			continue
		}
		ttft := v.First.Sub(v.Sent)
		if kinds[v.Team] == load.Plain {
			plain.add(ttft)
			continue
		}
		first.add(ttft)
		at, known := t.Started(v.ID)
		if known {
			started.add(v.First.Sub(at))
		}
		if kinds[v.Team] == load.Light {
			light.add(ttft)
			if known {
				wait.add(at.Sub(v.Sent))
			}
		}
	}
	r.LightWait, r.TTFT, r.LightTTFT = wait.tail(), first.tail(), light.tail()
	r.StartedTTFT, r.PlainTTFT = started.tail(), plain.tail()
	r.RequestRate = float64(r.Requests) / t.To.Sub(t.From).Seconds()
}

func (r *PolicyResult) count(v load.Result) {
	switch v.Ending {
	case load.Completed:
		r.Requests++
	case load.Refused:
		r.Refused++
	default:
		r.Errors++
	}
}

func (t *Trial) addProcesses(r *PolicyResult) {
	names := []string{observe.RouterControlIn, observe.RouterControlOut}
	routers, most1 := meanRate(t.Before, t.After, "router", names...)
	names = []string{observe.SidecarControlIn, observe.SidecarControlOut}
	sidecars, most2 := meanRate(t.Before, t.After, "sidecar", names...)
	r.RouterBytes, r.SidecarBytes = routers.mean(), sidecars.mean()
	if routers.n > 0 && sidecars.n > 0 {
		all := mean{sum: routers.sum + sidecars.sum, n: routers.n + sidecars.n}
		largest := max(most1, most2)
		r.ControlBytes, r.LargestBytes = all.mean(), &largest
	}
	idle, _ := meanRate(t.Before, t.After, "sidecar", observe.SidecarIdle)
	if m := idle.mean(); m != nil {
		v := *m / float64(time.Second/time.Millisecond) / float64(t.Pool.Slots)
		r.SidecarIdle = &v
	}
	r.RouterCPU = valueOf(meanCPU(t.Before, t.After, "router").mean())
	r.SidecarCPU = valueOf(meanCPU(t.Before, t.After, "sidecar").mean())
	r.ControlCPU = meanCPU(t.QuietBefore, t.QuietAfter, "").mean()
	r.RouterControlCPU = meanCPU(t.QuietBefore, t.QuietAfter, "router").mean()
}

// mean is a sum over processes.
type mean struct {
	sum float64
	n   int
}

// mean returns the mean, or nil if there is none.
func (m mean) mean() *float64 {
	if m.n == 0 {
		return nil
	}
	v := m.sum / float64(m.n)
	return &v
}

func valueOf(p *float64) float64 {
	if p == nil {
		return 0
	}
	return *p
}

// meanRate adds up the growth of metrics over the processes whose name begins
// so, and returns the largest too.
func meanRate(before, after map[string]observe.Use, prefix string, names ...string) (mean, float64) {
	var m mean
	most := 0.0
	for name, a := range after {
		b, ok := before[name]
		if !ok || !strings.HasPrefix(name, prefix) {
			continue
		}
		if rate, ok := observe.Rate(b, a, names...); ok {
			m.sum += rate
			m.n++
			most = max(most, rate)
		}
	}
	return m, most
}

func meanCPU(before, after map[string]observe.Use, prefix string) mean {
	var m mean
	for name, a := range after {
		if b, ok := before[name]; ok && strings.HasPrefix(name, prefix) {
			m.sum += observe.CPUFraction(b, a)
			m.n++
		}
	}
	return m
}
