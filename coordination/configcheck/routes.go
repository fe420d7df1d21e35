package configcheck

import (
	"strings"

	"goldcrestport/state/routing"
)

// matcher is what selects a route; of two routes with the same, routers use the first.
type matcher struct{ host, prefix string }

func matcherOf(r *routing.Route) matcher {
	return matcher{host: strings.ToLower(r.Host), prefix: r.Prefix}
}

// firstMatchers maps each matcher to its first route.
func firstMatchers(routes []routing.Route) map[matcher]int {
	out := make(map[matcher]int, len(routes))
	for i := range routes {
		key := matcherOf(&routes[i])
		if _, known := out[key]; !known {
			out[key] = i
		}
	}
	return out
}

func (c *checker) checkRoutes() {
	list, f := c.in.Fields.Routes, c.in.Fields.Route
	routes := c.in.Config.Routes
	if len(routes) == 0 {
		c.add(entry{kind: Document}, NoRoutes, list, "no request matches a route")
	}
	seen := names{first: make(map[string]int, len(routes))}
	first := firstMatchers(routes)
	for i := range routes {
		r := &routes[i]
		e := entry{kind: Route, name: r.Name, index: i, place: at(list, i)}
		c.name(&seen, e, f.Name, list)
		c.checkHidden(e, matcherOf(r), first)
		c.checkMatcher(e, r)
		c.checkTargets(e, r)
		c.checkRouteRanges(e, r)
		c.checkRouteLimits(e, r)
		c.homes(e, f.Homes, r.Homes)
	}
}

// checkHidden reports routes whose requests all go to another one: the longest prefix
// is selected, and each path begins with a slash.
func (c *checker) checkHidden(e entry, key matcher, first map[matcher]int) {
	used := first[key]
	if key.prefix == "" {
		if root, known := first[matcher{host: key.host, prefix: "/"}]; known {
			used = root
		}
	}
	if used != e.index {
		c.add(e, RouteHidden, join(e.place, c.in.Fields.Route.Prefix), "%s has the same host and prefix and gets all requests", at(c.in.Fields.Routes, used))
	}
}

// checkMatcher reports hosts and prefixes that no request has.
func (c *checker) checkMatcher(e entry, r *routing.Route) {
	f := c.in.Fields.Route
	if strings.Contains(r.Host, ":") {
		c.add(e, RouteUnmatched, join(e.place, f.Host), "host %q has a port or colon; hosts are compared without it", r.Host)
	} else if r.Host == "" {
		c.add(e, RouteUnmatched, join(e.place, f.Host), "requests name a host, the route names none")
	}
	switch {
	case r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/"):
		c.add(e, RouteUnmatched, join(e.place, f.Prefix), "no path begins with %q: the leading slash is missing", r.Prefix)
	case !strings.HasSuffix(r.Prefix, "/"):
		c.add(e, PrefixWithoutSlash, join(e.place, f.Prefix), "prefix %q also matches paths that go on without a slash", r.Prefix)
	}
}

// checkTargets reports targets that are unknown or get no part of the requests.
func (c *checker) checkTargets(e entry, r *routing.Route) {
	f := c.in.Fields.Route
	if len(r.Targets) == 0 {
		c.add(e, UnknownService, join(e.place, f.Service), "the route names no service")
	}
	var total float64
	for _, t := range r.Targets {
		total += t.Weight
	}
	for i, t := range r.Targets {
		if index, known := c.services[t.Service]; known {
			c.used[index] = true
		} else {
			c.add(e, UnknownService, c.in.target(e.index, i, f.TargetService), "no service is named %q", t.Service)
		}
		if !(t.Weight > 0) || !(t.Weight/total >= c.cfg.LeastPart) {
			c.add(e, WeightZero, c.in.target(e.index, i, f.TargetWeight), "weight %v of %v gets no requests", t.Weight, total)
		}
	}
}

func (c *checker) checkRouteRanges(e entry, r *routing.Route) {
	f := c.in.Fields.Route
	c.duration(e, f.Timeout, r.Timeout)
	c.duration(e, f.Objective, r.Objective)
	c.duration(e, f.Pause, r.Pause)
	c.count(e, f.Priority, r.Priority)
}

// checkRouteLimits reports limits that contradict each other or the kind.
func (c *checker) checkRouteLimits(e entry, r *routing.Route) {
	f := c.in.Fields.Route
	if r.Timeout > 0 && r.Objective > r.Timeout {
		c.add(e, ObjectiveAboveTimeout, join(e.place, f.Objective), "the objective %v is above the timeout %v", r.Objective, r.Timeout)
	}
	if r.Attempts > 1 && !r.MayRepeat() {
		c.add(e, AttemptsWithoutRepeat, join(e.place, f.Attempts), "%d attempts, but a request of kind %s is not repeated here", r.Attempts, r.Kind)
	}
	if r.Kind == routing.Streaming {
		return
	}
	if r.Resumable {
		c.add(e, StreamSettingUnused, join(e.place, f.Resumable), "only streams are resumed; the kind is %s", r.Kind)
	}
	if r.Pause > 0 {
		c.add(e, StreamSettingUnused, join(e.place, f.Pause), "only streams have events; the kind is %s", r.Kind)
	}
}
