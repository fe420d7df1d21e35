package resumed

import "time"

// schedPeriod is the period in which a router may use its quota of processor time.
const schedPeriod = 100 * time.Millisecond

// processor is the processor time of one router. Work is done in the order in which it comes.
type processor struct {
	quota  time.Duration
	freeAt time.Duration
	period int64
	used   time.Duration
}

// run adds work that takes the processor time, and returns when it is done.
func (p *processor) run(now, cost time.Duration) time.Duration {
	at := max(now, p.freeAt)
	for cost > 0 {
		period := int64(at / schedPeriod)
		if period != p.period {
			p.period, p.used = period, 0
		}
		part := min(cost, p.quota-p.used, time.Duration(period+1)*schedPeriod-at)
		if part <= 0 {
			at = time.Duration(period+1) * schedPeriod
			continue
		}
		p.used += part
		at += part
		cost -= part
	}
	p.freeAt = at
	return at
}

// backlog returns for how long work that comes now waits.
func (p *processor) backlog(now time.Duration) time.Duration { return max(p.freeAt-now, 0) }
