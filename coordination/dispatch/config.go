package dispatch

import (
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/health"
)

// Policy selects how a router assigns requests to sidecars.
type Policy string

const (
	// PolicyPull queues requests per team and lets sidecars pull them.
	PolicyPull Policy = "pull"
	// PolicyPushFIFO sends each request immediately to the least loaded
	// sidecar. It is a baseline for comparisons.
	PolicyPushFIFO Policy = "push-fifo"
	// PolicyPushFair queues requests per team at each router and pushes them
	// by fair queueing. It is a baseline for comparisons.
	PolicyPushFair Policy = "push-fair"
)

// Config holds the dispatch parameters of a router.
type Config struct {
	// Policy is the placement policy. Default PolicyPull.
	Policy Policy
	// Queues limits the queued requests.
	Queues Queues
	// Registration controls the registration of queued work with sidecars.
	Registration Registration
	// Reorder bounds the search for a request with a cached prefix.
	Reorder Reorder
	// Retry limits repeated attempts.
	Retry Retry
	// Health holds the thresholds for ejecting a sidecar.
	Health health.Config
	// MaxEjected limits the fraction of a pool's sidecars that may be ejected,
	// from 0 to 1. At least one sidecar is never ejected. Default 0.5.
	MaxEjected float64
	// MaxOffers is the number of times that a request may be offered to
	// sidecars before it has to wait in its queue. Default 3.
	MaxOffers int
	// DefaultShare is the share of a team that the configuration does not
	// name. Default 1.
	DefaultShare float64
	// Seed initialises the random choices and the order in which each team's
	// subset is chosen.
	Seed uint64
}

// Queues limits the requests queued at a router.
type Queues struct {
	// PerTeam is the maximum number of requests that one team may have queued
	// per service. Default 512.
	PerTeam int
	// PerTeamBytes is the maximum size of the bodies that one team may have
	// queued per service, in bytes. Default 64 MiB.
	PerTeamBytes int64
	// Total is the maximum number of queued requests of all teams and
	// services. Default 8192.
	Total int
	// TotalBytes is the maximum size of all queued bodies, in bytes.
	// Default 128 MiB.
	TotalBytes int64
	// DrainWindow is the decay time of the measured drain rate. Default 10s.
	DrainWindow time.Duration
	// Grace is how long requests are kept queued while no sidecar of the
	// service is connected. It covers the start of a router and lost control
	// streams. Default 2s.
	Grace time.Duration
}

// Registration controls the registration of queued work with sidecars: how many
// sidecars a queue is registered with and how often it is sent to them.
type Registration struct {
	// Subset is the number of sidecars with which a queue is registered as
	// soon as it becomes non-empty. Default 8.
	Subset int
	// WidenEvery is the interval at which the subset doubles while the oldest
	// request waits. Default 100ms.
	WidenEvery time.Duration
	// FairShareMultiple is the number of slots that the subset of a team must
	// have, as a multiple of the team's fair share of slots. Default 2.
	FairShareMultiple float64
	// MaintainEvery is the interval at which registrations are widened,
	// refreshed and withdrawn. Default 50ms.
	MaintainEvery time.Duration
	// RefreshEvery is the interval at which an unchanged registration is sent
	// again. Default 10s.
	RefreshEvery time.Duration
	// WithdrawAfter is how long a queue must be empty before its
	// registrations are withdrawn. Default 100ms.
	WithdrawAfter time.Duration
	// PerSecond is the rate limit of deferrable messages (widening, refreshes
	// and withdrawals), in messages per second. Default 300.
	PerSecond float64
}

// Reorder bounds the search for a request whose prefix a backend server has
// in its cache.
type Reorder struct {
	// Depth is the number of requests at the front of a team's queue that are
	// searched; 1 keeps strict order. Default 4.
	Depth int
	// MaxAge is how much older the overtaken request may be than the one that
	// overtakes it. Default 2s.
	MaxAge time.Duration
	// MaxOvertaken is how often one request may be overtaken. Default 8.
	MaxOvertaken int
}

// Retry limits attempts beyond the first. An attempt that a sidecar declined
// does not count.
type Retry struct {
	// Ratio is the number of retries added to the budget by each successful
	// request. Default 0.1.
	Ratio float64
	// PerSecond is the number of retries per second that is always allowed,
	// whatever the load. Default 1.
	PerSecond float64
	// Burst is the maximum number of unused retries that accumulate.
	// Default 20.
	Burst float64
}

// DefaultConfig returns the default of each field as documented there.
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
		Registration: Registration{
			Subset:            8,
			WidenEvery:        100 * time.Millisecond,
			FairShareMultiple: 2,
			MaintainEvery:     50 * time.Millisecond,
			RefreshEvery:      10 * time.Second,
			WithdrawAfter:     100 * time.Millisecond,
			PerSecond:         300,
		},
		Reorder:      Reorder{Depth: 4, MaxAge: 2 * time.Second, MaxOvertaken: 8},
		Retry:        Retry{Ratio: 0.1, PerSecond: 1, Burst: 20},
		Health:       health.DefaultConfig(),
		MaxEjected:   0.5,
		MaxOffers:    3,
		DefaultShare: 1,
	}
}

// Validate returns an error that names each field that is out of range.
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
	c.Registration.check(check)
	check(c.Reorder.Depth > 0, "Reorder.Depth must be positive")
	check(c.Reorder.MaxAge >= 0, "Reorder.MaxAge must not be negative")
	check(c.Reorder.MaxOvertaken >= 0, "Reorder.MaxOvertaken must not be negative")
	check(c.Retry.Ratio >= 0 && c.Retry.Ratio <= 1, "Retry.Ratio must be between 0 and 1")
	check(c.Retry.PerSecond >= 0, "Retry.PerSecond must not be negative")
	check(c.Retry.Burst >= 1, "Retry.Burst must be at least 1")
	check(c.MaxEjected >= 0 && c.MaxEjected <= 1, "MaxEjected must be between 0 and 1")
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

func (r Registration) check(check func(bool, string)) {
	check(r.Subset > 0, "Registration.Subset must be positive")
	check(r.WidenEvery > 0, "Registration.WidenEvery must be positive")
	check(r.FairShareMultiple >= 1, "Registration.FairShareMultiple must be at least 1")
	check(r.MaintainEvery > 0, "Registration.MaintainEvery must be positive")
	check(r.RefreshEvery > 0, "Registration.RefreshEvery must be positive")
	check(r.WithdrawAfter >= 0, "Registration.WithdrawAfter must not be negative")
	check(r.PerSecond > 0, "Registration.PerSecond must be positive")
}
