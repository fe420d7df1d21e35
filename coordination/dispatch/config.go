package dispatch

import (
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/health"
)

// Policy is how a router places requests.
type Policy string

const (
	// PolicyPull queues per team and lets sidecars pull.
	PolicyPull Policy = "pull"
	// PolicyPushFIFO sends each request at once to the least loaded sidecar.
	// It is a baseline for comparisons.
	PolicyPushFIFO Policy = "push-fifo"
	// PolicyPushFair queues per team at each router and pushes by fair
	// queueing. It is a baseline for comparisons.
	PolicyPushFair Policy = "push-fair"
)

// Config holds the parameters of a router's dispatch.
type Config struct {
	// Policy of placement. Default PolicyPull.
	Policy Policy
	// Queues bounds what waits.
	Queues Queues
	// Interest paces the control messages about waiting work.
	Interest Interest
	// Reorder bounds the search for a request with a cached prefix.
	Reorder Reorder
	// Retry bounds repeated attempts.
	Retry Retry
	// Health holds the thresholds of the ejection of a sidecar.
	Health health.Config
	// MaxEjected bounds the ejected part of a pool, from 0 to 1; one sidecar
	// always stays. Default 0.5.
	MaxEjected float64
	// MaxOffers bounds the offers of one request before it queues, in
	// offers. Default 3.
	MaxOffers int
	// DefaultShare of a team that the configuration does not name.
	// Default 1.
	DefaultShare float64
	// Seed of the random choices and of the order of each team's subset.
	Seed uint64
}

// Queues bounds what waits at a router.
type Queues struct {
	// PerTeam bounds one team's waiting requests per service, in requests.
	// Default 512.
	PerTeam int
	// PerTeamBytes bounds one team's waiting bodies per service, in bytes.
	// Default 64 MiB.
	PerTeamBytes int64
	// Total bounds all waiting requests, in requests. Default 8192.
	Total int
	// TotalBytes bounds all waiting bodies, in bytes. Default 128 MiB.
	TotalBytes int64
	// DrainWindow is the time that the measured drain rate covers.
	// Default 10s.
	DrainWindow time.Duration
	// Grace is how long requests wait while no sidecar of the service is
	// known, which covers the start of a router and lost links. Default 2s.
	Grace time.Duration
}

// Interest paces the control messages about waiting work.
type Interest struct {
	// Subset is the number of sidecars at which new work is registered at
	// once. Default 8.
	Subset int
	// WidenEvery is the wait of the oldest request after which the subset
	// doubles, again and again. Default 100ms.
	WidenEvery time.Duration
	// Slack is how many times its fair share of slots the subset of a team
	// has to hold. Default 2.
	Slack float64
	// MaintainEvery is the time between looks at the registrations.
	// Default 50ms.
	MaintainEvery time.Duration
	// RefreshEvery is the time between repeats of a registration.
	// Default 10s.
	RefreshEvery time.Duration
	// WithdrawAfter is how long a queue is empty before its registrations
	// are withdrawn. Default 100ms.
	WithdrawAfter time.Duration
	// PerSecond bounds the messages that may wait: widening, repeats and
	// withdrawals, in messages per second. Default 300.
	PerSecond float64
}

// Reorder bounds the search for a request whose prefix a backend server has
// in its cache.
type Reorder struct {
	// Depth is the number of a team's first requests that are looked at; 1
	// keeps strict order. Default 4.
	Depth int
	// MaxAge bounds how much older the overtaken request may be.
	// Default 2s.
	MaxAge time.Duration
	// MaxOvertaken bounds how often one request is overtaken. Default 8.
	MaxOvertaken int
}

// Retry bounds attempts beyond the first; a declined attempt is not counted.
type Retry struct {
	// Ratio of retries to successful requests. Default 0.1.
	Ratio float64
	// PerSecond is the rate of retries allowed at any load, in retries per
	// second. Default 1.
	PerSecond float64
	// Burst bounds the saved-up retries, in retries. Default 20.
	Burst float64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Policy: PolicyPull,
		Queues: Queues{
			PerTeam:      512,
			PerTeamBytes: 64 << 20,
			Total:        8192,
			TotalBytes:   128 << 20,
			DrainWindow:  10 * time.Second,
			Grace:        2 * time.Second,
		},
		Interest: Interest{
			Subset:        8,
			WidenEvery:    100 * time.Millisecond,
			Slack:         2,
			MaintainEvery: 50 * time.Millisecond,
			RefreshEvery:  10 * time.Second,
			WithdrawAfter: 100 * time.Millisecond,
			PerSecond:     300,
		},
		Reorder:      Reorder{Depth: 4, MaxAge: 2 * time.Second, MaxOvertaken: 8},
		Retry:        Retry{Ratio: 0.1, PerSecond: 1, Burst: 20},
		Health:       health.DefaultConfig(),
		MaxEjected:   0.5,
		MaxOffers:    3,
		DefaultShare: 1,
	}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, what string) {
		if !ok {
			err = errors.CombineErrors(err, errors.New(what))
		}
	}
	check(c.Policy == PolicyPull || c.Policy == PolicyPushFIFO || c.Policy == PolicyPushFair,
		"Policy must be pull, push-fifo or push-fair")
	c.Queues.check(check)
	c.Interest.check(check)
	check(c.Reorder.Depth > 0, "Reorder.Depth must be positive")
	check(c.Reorder.MaxAge >= 0, "Reorder.MaxAge must not be negative")
	check(c.Reorder.MaxOvertaken >= 0, "Reorder.MaxOvertaken must not be negative")
	check(c.Retry.Ratio >= 0 && c.Retry.Ratio <= 1, "Retry.Ratio must lie in 0..1")
	check(c.Retry.PerSecond >= 0, "Retry.PerSecond must not be negative")
	check(c.Retry.Burst >= 1, "Retry.Burst must be at least 1")
	check(c.MaxEjected >= 0 && c.MaxEjected <= 1, "MaxEjected must lie in 0..1")
	check(c.MaxOffers > 0, "MaxOffers must be positive")
	check(c.DefaultShare > 0, "DefaultShare must be positive")
	return errors.CombineErrors(err, c.Health.Validate())
}

func (q Queues) check(check func(bool, string)) {
	check(q.PerTeam > 0, "Queues.PerTeam must be positive")
	check(q.PerTeamBytes > 0, "Queues.PerTeamBytes must be positive")
	check(q.Total >= q.PerTeam, "Queues.Total must be at least Queues.PerTeam")
	check(q.TotalBytes >= q.PerTeamBytes, "Queues.TotalBytes must be at least Queues.PerTeamBytes")
	check(q.DrainWindow > 0, "Queues.DrainWindow must be positive")
	check(q.Grace >= 0, "Queues.Grace must not be negative")
}

func (i Interest) check(check func(bool, string)) {
	check(i.Subset > 0, "Interest.Subset must be positive")
	check(i.WidenEvery > 0, "Interest.WidenEvery must be positive")
	check(i.Slack >= 1, "Interest.Slack must be at least 1")
	check(i.MaintainEvery > 0, "Interest.MaintainEvery must be positive")
	check(i.RefreshEvery > 0, "Interest.RefreshEvery must be positive")
	check(i.WithdrawAfter >= 0, "Interest.WithdrawAfter must not be negative")
	check(i.PerSecond > 0, "Interest.PerSecond must be positive")
}
