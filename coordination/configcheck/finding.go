// Package configcheck checks a configuration before it is sent to a fleet.
//
// It answers no load but a mistake: a route or a key that the fleet silently leaves
// out is noticed only when its callers are refused. The check works on the structures with
// which routers read a configuration. It is pure; reading files is the caller's part.
package configcheck

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Severity ranks findings.
type Severity string

// Severities.
const (
	// Error marks what routers refuse, leave out or take as absent.
	Error Severity = "error"
	// Warning marks what routers take but that is hardly meant.
	Warning Severity = "warning"
)

// Kind is the kind of an entry of a configuration.
type Kind string

// Kinds of entries.
const (
	Document   Kind = "document"
	Route      Kind = "route"
	Service    Kind = "service"
	Team       Kind = "team"
	Limits     Kind = "limits"
	Operator   Kind = "operator"
	Drained    Kind = "drain"
	DataCentre Kind = "evacuate"
)

// Finding is one result of the check.
type Finding struct {
	Code     Code     `json:"code"`
	Severity Severity `json:"severity"`
	// Place is the JSON path of the value, for example routes[3].name.
	Place string `json:"place"`
	Kind  Kind   `json:"kind"`
	// Name is the name of the entry; empty if it has none.
	Name string `json:"name"`
	// Index is the entry's position in its list; 0 for entries that are kept by name.
	Index   int    `json:"index"`
	Message string `json:"message"`
}

// Config contains the settings of the check.
type Config struct {
	// Regions are the known regions; without any, homes are not compared with them.
	Regions []string
	// LeastPart is the least part of a route's weight that counts as traffic.
	LeastPart float64
}

// DefaultConfig returns the settings for a fleet whose regions are not known.
func DefaultConfig() Config {
	const onePerBillion = 1e-9
	return Config{LeastPart: onePerBillion}
}

// Validate returns an error if a setting is out of range.
func (c Config) Validate() error {
	if !(c.LeastPart > 0 && c.LeastPart < 1) {
		return errors.Newf("LeastPart is %v, want between 0 and 1", c.LeastPart)
	}
	if slices.Contains(c.Regions, "") {
		return errors.New("a region has no name")
	}
	return nil
}

// HasErrors reports whether a finding is an error.
func HasErrors(found []Finding) bool {
	return slices.ContainsFunc(found, func(f Finding) bool { return f.Severity == Error })
}
