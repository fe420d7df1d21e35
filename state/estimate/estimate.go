// Package estimate predicts the cost of a request from the costs of completed
// requests.
//
// It maintains exponentially weighted moving averages per team and class, per
// team, and overall, in a bounded table. coordination/share uses it.
package estimate

import "github.com/cockroachdb/errors"

// Config contains the parameters of the averages.
type Config struct {
	// Gain is the weight of a new sample once an average has converged
	// (dimensionless). Default 0.1.
	Gain float64
	// MaxEntries limits the number of averages in the table. Default 16384.
	MaxEntries int
	// Initial is the estimate before the first sample, in cost units. Default 1.
	Initial float64
	// HintWeight is the weight of the caller's hint, as an equivalent number of
	// completed requests. Default 1.
	HintWeight float64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{Gain: 0.1, MaxEntries: 16384, Initial: 1, HintWeight: 1}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	if c.Gain <= 0 || c.Gain > 1 {
		err = errors.CombineErrors(err, errors.New("Gain must be above 0 and at most 1"))
	}
	if c.MaxEntries <= 0 {
		err = errors.CombineErrors(err, errors.New("MaxEntries must be positive"))
	}
	if c.Initial <= 0 {
		err = errors.CombineErrors(err, errors.New("Initial must be positive"))
	}
	if c.HintWeight < 0 {
		err = errors.CombineErrors(err, errors.New("HintWeight must not be negative"))
	}
	return err
}

// key identifies one average; class is empty for the whole team.
type key struct{ team, class string }

// average is a moving average that starts as an arithmetic mean, until 1/n falls
// below the gain.
type average struct {
	mean float64
	n    float64
}

func (a *average) add(v, gain float64) {
	a.n++
	a.mean += max(gain, 1/a.n) * (v - a.mean)
}

// Table contains the averages. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	entries map[key]*average
	overall average
}

// New returns an empty table. The config must be valid.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, entries: map[key]*average{}}
}

// Observe adds the final cost of one request.
func (t *Table) Observe(team, class string, cost float64) {
	t.overall.add(cost, t.cfg.Gain)
	t.observe(key{team: team}, cost)
	if class != "" {
		t.observe(key{team: team, class: class}, cost)
	}
}

func (t *Table) observe(k key, cost float64) {
	a := t.entries[k]
	if a == nil {
		if len(t.entries) >= t.cfg.MaxEntries {
			t.evict()
		}
		a = &average{}
		t.entries[k] = a
	}
	a.add(cost, t.cfg.Gain)
}

// evict removes an arbitrary average; any choice is acceptable, because the
// average is rebuilt from later samples.
func (t *Table) evict() {
	for k := range t.entries {
		delete(t.entries, k)
		return
	}
}

// Estimate returns the expected cost of a request. The class may be empty and
// the hint 0. A hint counts as HintWeight completed requests, so its effect fades
// as samples of the class accumulate.
func (t *Table) Estimate(team, class string, hint float64) float64 {
	mean, n := t.mostSpecific(team, class)
	if hint <= 0 {
		return mean
	}
	return (mean*n + hint*t.cfg.HintWeight) / (n + t.cfg.HintWeight)
}

// mostSpecific returns the most specific average that exists and its sample weight.
func (t *Table) mostSpecific(team, class string) (float64, float64) {
	if a := t.entries[key{team: team, class: class}]; a != nil {
		return a.mean, a.n
	}
	if a := t.entries[key{team: team}]; a != nil {
		return a.mean, 1
	}
	if t.overall.n > 0 {
		return t.overall.mean, 1
	}
	return t.cfg.Initial, 0
}
