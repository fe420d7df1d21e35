package routing

import (
	"cmp"
	"slices"
	"strings"
)

// Table is an index of one configuration. It is safe for concurrent use.
type Table struct {
	config   *Config
	hosts    map[string][]*Route
	services map[string]*Service
	teams    map[string]*Team
}

// NewTable indexes the configuration, which must not change afterwards.
func NewTable(c *Config) *Table {
	t := &Table{
		config:   c,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service, len(c.Services)),
		teams:    make(map[string]*Team),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			t.teams[key] = &c.Teams[i]
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the limits of the configuration.
func (t *Table) Limits() Limits { return t.config.Limits }

// Services returns the services of the configuration.
func (t *Table) Services() []Service { return t.config.Services }

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Team returns the team to which the key belongs, or nil.
func (t *Table) Team(key string) *Team { return t.teams[key] }

// Teams returns the number of teams.
func (t *Table) Teams() int { return len(t.config.Teams) }

// Route returns the route of the host with the longest matching path prefix, or
// nil. A port in the host is ignored.
func (t *Table) Route(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick selects a service by the route's weights for a point in [0, 1). It returns
// "" if the route has no target.
func (r *Route) Pick(point float64) string {
	var total float64
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := point * total
	for _, t := range r.Targets {
		if remaining < t.Weight {
			return t.Service
		}
		remaining -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
