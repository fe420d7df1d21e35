// Package share decides, at one sidecar, which team is served next on the slots of its
// backend server, so that the service of the teams over the whole pool is in proportion to
// their shares.
//
// The package is a pure state machine: State.Step takes an event and the time and returns
// the actions to perform. It has no I/O, clock or goroutines. The driver is
// transport/sidecar. docs/FAIRNESS.md derives the bound.
//
// Sidecars use it.
package share

import (
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/state/estimate"
	"goldcrestport/state/ledger"
)

// Policy names a scheduling policy. Only PolicyPull is meant for use; the others are
// baselines for comparison.
type Policy string

const (
	// PolicyPull charges cost as it accrues and pulls work for free slots.
	PolicyPull Policy = "pull"
	// PolicyPullSettle charges the estimate at the start and the real cost at the end.
	PolicyPullSettle Policy = "pull-settle"
	// PolicyPush runs what routers send in order of arrival and never declines.
	PolicyPush Policy = "push"
)

// Config holds the parameters of the scheduler.
type Config struct {
	// Policy of the scheduler. Default PolicyPull.
	Policy Policy
	// Slots is the number of requests that run concurrently. Default 8.
	Slots int
	// LookAhead is the largest number of requests pulled ahead of a free slot. Fewer are
	// pulled if runs take long compared to the round trip of a pull. Default 1.
	LookAhead int
	// DefaultShare of a team that the configuration does not name. Default 1.
	DefaultShare float64
	// PendingWeight is the fraction of an estimate that counts before the cost is real.
	// With 1, teams of long requests would stay behind permanently because of their
	// requests in flight; with 0, every free slot could go to one team (docs/FAIRNESS.md).
	// Default 0.3.
	PendingWeight float64
	// PullTimeout is how long a pull may stay unanswered before another pull uses its
	// slot. Default 250ms.
	PullTimeout time.Duration
	// DebtMemory is the time constant with which an idle sidecar forgets the differences
	// between the teams' service. Default 2s.
	DebtMemory time.Duration
	// RepayFraction limits the repayment of service that became known late, as a fraction
	// of a team's fair rate. Default 0.5.
	RepayFraction float64
	// Estimate configures the learned costs.
	Estimate estimate.Config
	// Ledger configures the counters.
	Ledger ledger.Config
	// Seed of the random choices.
	Seed uint64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Policy:        PolicyPull,
		Slots:         8,
		LookAhead:     1,
		DefaultShare:  1,
		PendingWeight: 0.3,
		PullTimeout:   250 * time.Millisecond,
		DebtMemory:    2 * time.Second,
		RepayFraction: 0.5,
		Estimate:      estimate.DefaultConfig(),
		Ledger:        ledger.DefaultConfig(),
	}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	err := errors.CombineErrors(c.Estimate.Validate(), c.Ledger.Validate())
	require := func(ok bool, what string) {
		if !ok {
			err = errors.CombineErrors(err, errors.Newf("%s", what))
		}
	}
	known := c.Policy == PolicyPull || c.Policy == PolicyPullSettle || c.Policy == PolicyPush
	require(known, "Policy must be pull, pull-settle or push")
	require(c.Slots > 0, "Slots must be positive")
	require(c.LookAhead >= 0, "LookAhead must not be negative")
	require(c.DefaultShare > 0, "DefaultShare must be positive")
	require(c.PendingWeight >= 0 && c.PendingWeight <= 1, "PendingWeight must be between 0 and 1")
	require(c.PullTimeout > 0, "PullTimeout must be positive")
	require(c.DebtMemory > 0, "DebtMemory must be positive")
	require(c.RepayFraction > 0 && c.RepayFraction < 1, "RepayFraction must be between 0 and 1")
	return err
}
