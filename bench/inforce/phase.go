package inforce

import (
	"context"
	"time"
)

// counters is the part of the platform's counters that is read.
type counters struct {
	Reads    int64 `json:"reads"`
	Writes   int64 `json:"writes"`
	Waiting  int   `json:"watches_waiting"`
	BySecond []struct {
		Second int64 `json:"second"`
		Reads  int64 `json:"reads"`
		Writes int64 `json:"writes"`
	} `json:"by_second"`
}

// during runs the body and notes the platform's calls meanwhile.
func (b *bench) during(name string, body func(p *Phase) error) error {
	p := Phase{Name: name}
	began := time.Now()
	var before, after counters
	if err := b.fleet.Get(b.platform.Addr, "/admin/counters", &before); err != nil {
		return err
	}
	if err := body(&p); err != nil {
		return err
	}
	if err := b.fleet.Get(b.platform.Addr, "/admin/counters", &after); err != nil {
		return err
	}
	p.Seconds = time.Since(began).Seconds()
	p.ReadsPerSecond = float64(after.Reads-before.Reads) / p.Seconds
	p.WritesPerSecond = float64(after.Writes-before.Writes) / p.Seconds
	p.Waiting = after.Waiting
	for _, s := range after.BySecond {
		if s.Second >= began.Unix() {
			p.WorstReads = max(p.WorstReads, s.Reads)
			p.WorstWrites = max(p.WorstWrites, s.Writes)
		}
	}
	b.report.Phases = append(b.report.Phases, p)
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// measureDelays reads the logs again and tells how long the changes took.
func (b *bench) measureDelays(p *Phase, changes []change) error {
	var all []time.Duration
	for _, lives := range b.lives {
		for _, l := range lives {
			l.inForce = nil
		}
		if err := readLog(b.opts.Out, lives); err != nil {
			return err
		}
		for _, l := range lives {
			for _, c := range changes {
				if !l.end.IsZero() && l.end.Before(c.at) {
					continue
				}
				if d, ok := l.reached(c, limit); ok {
					all = append(all, d)
				}
			}
		}
	}
	p.Changes = len(changes)
	p.delays(all, limit)
	return nil
}

func (b *bench) atRest(ctx context.Context) error {
	return b.during("at rest", func(*Phase) error { return pause(ctx, b.opts.Rest) })
}

// changeEverySecond makes the changes and calls also after each of them.
func (b *bench) changeEverySecond(ctx context.Context, also func() error) ([]change, error) {
	var changes []change
	for range b.opts.Changes {
		if err := b.change(ctx, &changes); err != nil {
			return nil, err
		}
		if err := also(); err != nil {
			return nil, err
		}
		if err := pause(ctx, time.Second); err != nil {
			return nil, err
		}
	}
	return changes, pause(ctx, limit)
}

func (b *bench) changes(ctx context.Context) error {
	return b.during("one change a second", func(p *Phase) error {
		changes, err := b.changeEverySecond(ctx, func() error { return nil })
		if err != nil {
			return err
		}
		return b.measureDelays(p, changes)
	})
}

func (b *bench) changesWithRestarts(ctx context.Context) error {
	return b.during("one change and one restart a second", func(p *Phase) error {
		changes, err := b.changeEverySecond(ctx, func() error {
			return b.restart(b.names[b.rng.IntN(len(b.names))])
		})
		if err != nil {
			return err
		}
		return b.measureDelays(p, changes)
	})
}

// faults of the platform's stand-in.
type faults struct {
	Down bool `json:"down"`
}

// outage takes the platform away and makes a change right after its return.
func (b *bench) outage(ctx context.Context) error {
	return b.during("outage and return", func(p *Phase) error {
		if err := b.fleet.Put(b.platform.Addr, "/admin/faults", faults{Down: true}); err != nil {
			return err
		}
		if err := pause(ctx, b.opts.Rest); err != nil {
			return err
		}
		if err := b.fleet.Put(b.platform.Addr, "/admin/faults", faults{}); err != nil {
			return err
		}
		var changes []change
		if err := b.change(ctx, &changes); err != nil {
			return err
		}
		if err := pause(ctx, 2*limit); err != nil {
			return err
		}
		return b.measureDelays(p, changes)
	})
}

// fullRestart ends every process and starts all again at once.
func (b *bench) fullRestart(ctx context.Context) error {
	return b.during("full restart", func(p *Phase) error {
		changes := []change{{revision: b.doc.Revision, at: time.Now()}}
		for _, name := range b.names {
			l := b.current(name)
			l.end = time.Now()
			l.process.Kill()
		}
		for _, name := range b.names {
			proc := b.current(name).process
			b.born(proc)
			if err := proc.Start(); err != nil {
				return err
			}
		}
		if err := b.ready(ctx); err != nil {
			return err
		}
		if err := pause(ctx, limit); err != nil {
			return err
		}
		return b.measureDelays(p, changes)
	})
}
