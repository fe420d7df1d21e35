package promptmix

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Mode says to which services the treatment by size applies.
type Mode string

// Modes.
const (
	// ModeAuto stands for the services whose routes' objectives are far apart, or whose servers report
	// how long work takes on their machine.
	ModeAuto Mode = "auto"
	ModeOn   Mode = "on"
	ModeOff  Mode = "off"
)

// Config holds the parameters of a State.
type Config struct {
	// Mode says to which services the treatment by size applies. Default ModeAuto.
	Mode Mode
	// SpanRatio is the least ratio of the longest to the shortest objective of a
	// service's routes at which they are far apart. Default 2.
	SpanRatio float64
	// LongShare is the fraction of the wait limit of the shortest objective from which
	// the prefill of a prompt makes it long. Default 0.25: four such prompts at one
	// server use up that limit.
	LongShare float64
	// Window is the time constant of what is measured. Default 2s: a changed mix is
	// followed within seconds, while a few prompts change little.
	Window time.Duration
	// CrowdedLow and CrowdedHigh are the fractions of crowded short prompts between
	// which the additional wait of long ones goes from all to nothing. Default 0.1 and
	// 0.3.
	CrowdedLow  float64
	CrowdedHigh float64
	// DelayWeight is the weight of a delay of short prompts in relation to a delay of the
	// prompt itself. Default 1.
	DelayWeight float64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Mode: ModeAuto, SpanRatio: 2, LongShare: 0.25, Window: 2 * time.Second,
		CrowdedLow: 0.1, CrowdedHigh: 0.3, DelayWeight: 1,
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
	check(c.Mode == ModeAuto || c.Mode == ModeOn || c.Mode == ModeOff, "Mode must be auto, on or off")
	check(c.SpanRatio >= 1, "SpanRatio must be at least 1")
	check(c.LongShare > 0, "LongShare must be positive")
	check(c.Window > 0, "Window must be positive")
	check(c.CrowdedLow >= 0 && c.CrowdedHigh > c.CrowdedLow && c.CrowdedHigh <= 1, "CrowdedLow must be below CrowdedHigh, both in [0, 1]")
	check(c.DelayWeight >= 0, "DelayWeight must not be negative")
	return err
}

// SpansWidely reports whether a service's routes have objectives that are far apart.
func (c Config) SpansWidely(shortest, longest time.Duration) bool {
	return shortest > 0 && float64(longest) >= c.SpanRatio*float64(shortest)
}

// Size is the size class of a prompt.
type Size int

// Sizes. Any is that of prompts to which the treatment by size does not apply.
const (
	Any Size = iota
	Short
	Long
)

// String returns the name of the size class in logs and metrics.
func (s Size) String() string {
	switch s {
	case Short:
		return "short"
	case Long:
		return "long"
	default:
		return "any"
	}
}
