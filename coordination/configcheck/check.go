package configcheck

import (
	"fmt"
	"math"
	"slices"
	"time"

	"goldcrestport/state/routing"
)

// Configuration is the configuration as routers read it.
type Configuration = routing.Config

// checker collects the findings of one configuration.
type checker struct {
	cfg   Config
	in    *Input
	found []Finding
	// services maps each name to the entry that routers use, the last one.
	services map[string]int
	// used marks the services that a route names.
	used []bool
}

// Check returns the findings in the order of the document.
func Check(cfg Config, in Input) []Finding {
	c := &checker{cfg: cfg, in: &in, services: make(map[string]int, len(in.Config.Services)), used: make([]bool, len(in.Config.Services))}
	for i, s := range in.Config.Services {
		c.services[s.Name] = i
	}
	c.checkRoutes()
	c.checkServices()
	c.checkTeams()
	c.checkLimits()
	return c.found
}

// entry is the entry to which findings refer.
type entry struct {
	kind  Kind
	name  string
	index int
	place string
}

func (c *checker) add(e entry, code Code, place, format string, args ...any) {
	c.found = append(c.found, Finding{
		Code: code, Severity: code.severity(), Place: place, Kind: e.kind, Name: e.name, Index: e.index, Message: fmt.Sprintf(format, args...),
	})
}

// count reports an integer below zero.
func (c *checker) count(e entry, field string, value int) {
	if value < 0 {
		c.add(e, OutOfRange, join(e.place, field), "%d, want 0 or more", value)
	}
}

// number reports a number that is negative or not finite.
func (c *checker) number(e entry, field string, value float64) {
	if !(value >= 0) || math.IsInf(value, 0) {
		c.add(e, OutOfRange, join(e.place, field), "%v, want 0 or more", value)
	}
}

// duration reports a time that is negative or beyond the range of time.Duration; what
// conversion makes of the latter depends on the processor.
func (c *checker) duration(e entry, field string, value time.Duration) {
	if value < 0 || value == math.MaxInt64 {
		c.add(e, OutOfRange, join(e.place, field), "negative or longer than three hundred years")
	}
}

// names reports names that are missing or given before. A later entry is reported if
// isLastUsed is false, and otherwise the earlier one, which routers leave out.
type names struct {
	first      map[string]int
	isLastUsed bool
}

func (c *checker) name(n *names, e entry, field, list string) {
	if e.name == "" {
		c.add(e, NameMissing, join(e.place, field), "the %s has no name", e.kind)
		return
	}
	first, known := n.first[e.name]
	if !known {
		n.first[e.name] = e.index
		return
	}
	if n.isLastUsed {
		n.first[e.name] = e.index
		e.index, first = first, e.index
		e.place = at(list, e.index)
	}
	c.add(e, DuplicateName, join(e.place, field), "the name is also that of %s", at(list, first))
}

// homes reports lists of which no region is known: no backend server is in them.
func (c *checker) homes(e entry, field string, homes []string) {
	if len(homes) == 0 {
		return
	}
	isKnown := func(region string) bool {
		return region != "" && (len(c.cfg.Regions) == 0 || slices.Contains(c.cfg.Regions, region))
	}
	if !slices.ContainsFunc(homes, isKnown) {
		c.add(e, HomesUnknown, join(e.place, field), "none of the regions is known: %q", homes)
	}
}

func (c *checker) checkLimits() {
	l, f := c.in.Config.Limits, c.in.Fields.Limit
	e := entry{kind: Limits, place: c.in.Fields.Limits}
	c.count(e, f.HeaderBytes, l.HeaderBytes)
	c.count(e, f.BodyBytes, l.BodyBytes)
	c.duration(e, f.HeaderTimeout, l.HeaderTimeout)
	c.duration(e, f.IdleTimeout, l.IdleTimeout)
	c.number(e, f.TokensPerSecond, l.TokensPerSecond)
}
