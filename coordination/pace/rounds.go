package pace

import (
	"slices"
	"time"
)

// networkHeaders is the size of the IP and UDP headers of a datagram in bytes.
const networkHeaders = 28

// Rounds decides when a router sends a report and to whom. A report goes to a limited number of routers, each
// one after the other as the limit on bytes allows.
type Rounds struct {
	cfg Sharing
	// credit is the number of bytes that may be sent as of updatedAt.
	credit    float64
	updatedAt time.Time
	startedAt time.Time
	report    Report
	// left are the routers that have not got the report yet, last the router that got the last one.
	left []string
	last string
}

// NewRounds returns rounds of which none has started.
func NewRounds(cfg Sharing) *Rounds { return &Rounds{cfg: cfg, credit: cfg.Burst} }

// Due reports whether a new report may be made.
func (r *Rounds) Due(now time.Time) bool {
	return len(r.left) == 0 && (r.startedAt.IsZero() || now.Sub(r.startedAt) >= r.cfg.Interval)
}

// Start starts a round for the report among the other routers.
func (r *Rounds) Start(now time.Time, report Report, others []string) {
	r.startedAt = now
	if len(report.Servers) == 0 || len(others) == 0 {
		return
	}
	order := slices.Sorted(slices.Values(others))
	at, found := slices.BinarySearch(order, r.last)
	if found {
		at++
	}
	order = append(order[at:], order[:at]...)
	r.report, r.left = report, order[:min(len(order), r.cfg.Fanout)]
}

// Pending returns the report of the round, with its age; false: none.
func (r *Rounds) Pending(now time.Time) (Report, bool) {
	report := r.report
	report.Age = now.Sub(r.startedAt)
	return report, len(r.left) > 0
}

// Next returns the routers that get the report now, in a datagram of the size.
func (r *Rounds) Next(now time.Time, size int) []string {
	if !r.updatedAt.IsZero() {
		r.credit = min(r.credit+r.cfg.BytesPerSecond*now.Sub(r.updatedAt).Seconds(), r.cfg.Burst)
	}
	r.updatedAt = now
	n := min(int(r.credit)/(size+networkHeaders), len(r.left))
	out := r.left[:n]
	r.credit -= float64(n * (size + networkHeaders))
	r.left = r.left[n:]
	if n > 0 {
		r.last = out[n-1]
	}
	return out
}
