// Package share decides, at one sidecar, which team is served next on the
// slots of its backend server, so that the teams' service is in proportion to
// their shares over the whole pool.
//
// The package is a pure state machine: State.Step takes an event and the time
// and returns the actions to perform. It has no I/O, clock or goroutines. The
// driver is transport/sidecar. docs/FAIRNESS.md derives the bound.
//
// Sidecars use it.
package share

import (
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/state/estimate"
	"goldcrestport/state/ledger"
)

// Policy names a way to choose. Only PolicyPull is meant for use; the others are
// baselines for comparison.
type Policy string

const (
	// PolicyPull charges cost while it runs and pulls work for free slots.
	PolicyPull Policy = "pull"
	// PolicyPullSettle charges the estimate at start and the cost at the end.
	PolicyPullSettle Policy = "pull-settle"
	// PolicyPush runs what routers send in the order of arrival and never declines.
	PolicyPush Policy = "push"
)

// Config holds the parameters of the choice.
type Config struct {
	// Policy of the choice. Default PolicyPull.
	Policy Policy
	// Slots is the number of requests that run at once. Default 8.
	Slots int
	// LookAhead is the largest number of requests pulled ahead of a free slot.
	// Fewer are pulled where runs are long against the pull. Default 1.
	LookAhead int
	// DefaultShare of a team that the configuration does not name.
	// Default 1.
	DefaultShare float64
	// PendingWeight is the part of an estimate that counts before its cost is
	// real, without unit. The whole of it would put teams of long requests
	// behind for good by what they have under way; none of it lets every free
	// slot go to one team (docs/FAIRNESS.md). Default 0.3.
	PendingWeight float64
	// PullTimeout is how long a pull may stay unanswered before its slot is
	// used for another one. Default 250ms.
	PullTimeout time.Duration
	// DebtMemory is the time in which an idle sidecar forgets most of the
	// service that teams are ahead of each other. Default 2s.
	DebtMemory time.Duration
	// RepayFraction bounds the repayment of service that became known late, as
	// a part of a team's fair rate. Default 0.5.
	RepayFraction float64
	// Estimate configures the learnt costs.
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
