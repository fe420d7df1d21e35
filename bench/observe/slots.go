package observe

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"goldcrestport/standin/runs"
)

// Slots is the use of a service's slots over a span.
type Slots struct {
	// Total and Busy slot time.
	Total, Busy time.Duration
	// IdleWhileWaiting is the slot time that was idle between two samples at
	// both of which a request waited anywhere.
	IdleWhileWaiting time.Duration
	// Samples taken in the span.
	Samples int
}

// SlotSample is the use of the slots at one time.
type SlotSample struct {
	At      time.Time
	Busy    time.Duration
	Running int
	Waiting bool
}

// SampleSlots reads the use of the slots of the backend servers. outstanding
// returns the callers' requests that have not ended: those that do not run
// wait somewhere.
func SampleSlots(ctx context.Context, get Getter, addrs []string, outstanding func() int) (SlotSample, error) {
	group, _ := errgroup.WithContext(ctx)
	all := make([]runs.Stats, len(addrs))
	begin := time.Now()
	for i, a := range addrs {
		group.Go(func() error { return get.Get(a, "/admin/stats", &all[i]) })
	}
	if err := group.Wait(); err != nil {
		return SlotSample{}, err
	}
	s := SlotSample{At: begin.Add(time.Since(begin) / 2)}
	for _, st := range all {
		s.Busy += time.Duration(st.BusySlotMS) * time.Millisecond
		s.Running += int(st.Running)
	}
	s.Waiting = outstanding() > s.Running
	return s, nil
}

// SumSlots adds up the samples of the span for a number of slots.
func SumSlots(samples []SlotSample, slots int, from, to time.Time) Slots {
	var sum Slots
	var last *SlotSample
	for i := range samples {
		s := &samples[i]
		if s.At.Before(from) || s.At.After(to) {
			continue
		}
		sum.Samples++
		if last != nil {
			total, busy := time.Duration(slots)*s.At.Sub(last.At), s.Busy-last.Busy
			sum.Total += total
			sum.Busy += busy
			if last.Waiting && s.Waiting {
				sum.IdleWhileWaiting += total - busy
			}
		}
		last = s
	}
	return sum
}
