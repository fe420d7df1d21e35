package experiment

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/bench/load"
)

// Sizes of the fleet.
const (
	modelSidecars = 12
	modelSlots    = 4
	plainSidecars = 3
	// engineStep is the time of one token with nothing else running. At 48
	// slots the pool generates about 3,000 tokens a second, which leaves the
	// processors of one machine mostly idle.
	engineStep = 15 * time.Millisecond
	// chargeEvery is the period in which the sidecars charge what runs.
	chargeEvery = 20 * time.Millisecond
)

// promptWeight is the cost of an uncached prompt token, in generated ones.
const promptWeight = 0.01

// Spans of a trial beside its window.
const (
	settleTime = 12 * time.Second
	quietTime  = 5 * time.Second
	// quietLead lets what was on the way come to rest first.
	quietLead  = 500 * time.Millisecond
	startLimit = 30 * time.Second
)

// Periods of the samples.
const (
	teamsEvery = 200 * time.Millisecond
	slotsEvery = 20 * time.Millisecond
)

// Bounds of one run of the tool.
const (
	maxWindow  = 5 * time.Minute
	maxRepeats = 10
	maxScale   = 8
)

// Options of a run.
type Options struct {
	// Bin holds the programs, Out receives the report and the logs.
	Bin, Out string
	// Windows are the lengths at which the gap is told; a trial lasts for
	// the longest.
	Windows  []time.Duration
	Policies []string
	Repeat   int
	Seed     uint64
	// Scale multiplies the request rate at the same demand in tokens.
	Scale float64
	// LookAhead is the number of requests that a sidecar pulls ahead.
	LookAhead int
	// Restart is the number of routers that are killed and started again in
	// the window.
	Restart int
}

// Validate returns an error that names each option out of range.
func (o Options) Validate() error {
	var err error
	add := func(bad bool, what string) {
		if bad {
			err = errors.CombineErrors(err, errors.New(what))
		}
	}
	add(len(o.Windows) == 0, "no window")
	for _, w := range o.Windows {
		add(w < time.Second || w > maxWindow, "a window must last from 1s to "+maxWindow.String())
	}
	add(o.Repeat < 1 || o.Repeat > maxRepeats, "repeat must lie in 1..10")
	add(o.Scale < 1 || o.Scale > maxScale, "rate-scale must lie in 1..8")
	add(o.LookAhead < 0 || o.LookAhead > modelSlots, "look-ahead must lie in 0..4")
	add(o.Restart < 0 || o.Restart > load.Routers, "restart-routers must lie in 0..3")
	return err
}

// length of a trial's window.
func (o Options) length() time.Duration { return slices.Max(o.Windows) }
