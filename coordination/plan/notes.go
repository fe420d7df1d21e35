package plan

import (
	"slices"
	"strings"

	"goldcrestport/state/config"
)

// teamNotes says which requests of the team will be refused and what to look
// at twice.
func (c *comparison) teamNotes(t TeamChange, old, now config.Team) {
	if t.Action == Removed {
		c.refused(NoteTeamRemoved, t.Team, "all requests of team %s: 401 unauthorized", t.Team)
		if n := c.waiting(t.Team, ""); n > 0 {
			c.warn(NoteQueuedWork, t.Team, "team %s is removed and has %d requests waiting; they still run", t.Team, n)
		}
		return
	}
	c.lostServices(t)
	if t.TokensRemoved > 0 {
		c.refused(NoteTokenRemoved, t.Team, "requests with %d removed %s of team %s: 401 unauthorized",
			t.TokensRemoved, plural(t.TokensRemoved, "token", "tokens"), t.Team)
	}
	if len(now.Tokens) == 0 {
		c.warn(NoteNoToken, t.Team, "team %s has no token: it can't send requests", t.Team)
	}
	if now.Share == 0 {
		c.refused(NoteShareZero, t.Team, "all requests of team %s: 403, its share is zero", t.Team)
		c.warn(NoteShareZero, t.Team, "the share of team %s is zero", t.Team)
	}
	if t.Action == Changed {
		c.boundNotes(t.Team, old, now)
	}
}

func (c *comparison) boundNotes(team string, old, now config.Team) {
	if lowered(int64(old.MaxQueued), int64(now.MaxQueued)) {
		c.refused(NoteBoundLowered, team, "requests of team %s when %d wait at a router: 429 queue-full", team, now.MaxQueued)
		c.tooMany(team, now)
	}
	if lowered(old.MaxQueuedBytes, now.MaxQueuedBytes) {
		c.refused(NoteBoundLowered, team, "requests of team %s when %d bytes wait at a router: 429 queue-full", team, now.MaxQueuedBytes)
	}
}

func (c *comparison) lostServices(t TeamChange) {
	for _, service := range t.Lost {
		c.refused(NoteServiceLost, t.Team, "requests of team %s to %s: 403 service-not-allowed", t.Team, service)
		if n := c.waiting(t.Team, service); n > 0 {
			c.warn(NoteQueuedWork, t.Team, "team %s loses %s and has %d requests for it waiting; they still run", t.Team, service, n)
		}
	}
}

// tooMany warns of queues over the new bound, which holds per router.
func (c *comparison) tooMany(team string, now config.Team) {
	for _, q := range c.facts.Queues {
		if q.Team == team && now.Reaches(q.Service) && q.Waiting > now.MaxQueued {
			c.warn(NoteQueuedWork, team, "team %s has %d requests waiting for %s at a router, over the new bound of %d; they still run",
				team, q.Waiting, q.Service, now.MaxQueued)
		}
	}
}

// lowered reports whether a bound falls; 0 is the router's own default, which
// the plan doesn't know.
func lowered(before, after int64) bool {
	return after > 0 && before != after && (before == 0 || after < before)
}

func (c *comparison) serviceNotes(s ServiceChange, old, now config.Service) {
	if s.Action == Removed {
		c.refused(NoteServiceRemoved, s.Service, "all requests to %s: 404 unknown-service", s.Service)
		return
	}
	if s.Action == Changed && lowered(old.MaxBody, now.MaxBody) {
		c.refused(NoteBodyLowered, s.Service, "requests to %s with a body over %d bytes: 413 body-too-large", s.Service, now.MaxBody)
	}
}

// backendNotes warns of services that nobody serves.
func (c *comparison) backendNotes() {
	if n := c.facts.SilentRouters; n > 0 {
		c.warn(NoteNoFacts, "", "%d %s gave no answer: requests that wait there were not counted", n, plural(n, "router", "routers"))
	}
	if !c.facts.BackendsKnown {
		c.warn(NoteNoFacts, "", "the list of instances can't be read now: backend servers were not checked")
		return
	}
	for _, b := range c.plan.Backends {
		if b.Service == "" && b.Drained {
			c.warn(NoteUnknownBackend, b.Backend, "no backend server %s is known", b.Backend)
		}
	}
	for _, d := range c.plan.DataCentres {
		known := slices.ContainsFunc(c.facts.Backends, func(b Backend) bool { return b.DataCentre == d.DataCentre })
		if d.Evacuated && !known {
			c.warn(NoteUnknownDataCentre, d.DataCentre, "no backend server is known in data centre %s", d.DataCentre)
		}
	}
	c.unserved()
}

func (c *comparison) unserved() {
	drained := map[string]bool{}
	for _, id := range c.next.Drain {
		drained[id] = true
	}
	for _, b := range c.facts.Backends {
		if slices.Contains(c.next.Evacuate, b.DataCentre) {
			drained[b.ID] = true
		}
	}
	for _, service := range sortedServices(c.next) {
		all := c.backendsOf(service)
		var left []string
		for _, id := range all {
			if !drained[id] {
				left = append(left, id)
			}
		}
		switch {
		case len(all) == 0:
			c.warn(NoteNoBackends, service, "service %s has no backend servers", service)
		case len(left) == 0:
			c.warn(NoteAllDrained, service, "every backend server of %s is drained: %s", service, strings.Join(all, ", "))
		}
	}
}
