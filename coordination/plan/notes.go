package plan

import (
	"slices"
	"strings"

	"goldcrestport/state/config"
)

// teamNotes adds the refusals and warnings that follow from the change of a
// team.
func (c *comparison) teamNotes(t TeamChange, old, updated config.Team) {
	if t.Action == Removed {
		c.addRefusal(NoteTeamRemoved, t.Team, "all requests of team %s: 401 unauthorized", t.Team)
		if n := c.queuedRequests(t.Team, ""); n > 0 {
			c.addWarning(NoteQueuedWork, t.Team, "team %s is removed and has %d requests waiting; they still run", t.Team, n)
		}
		return
	}
	c.lostServices(t)
	if t.TokensRemoved > 0 {
		c.addRefusal(NoteTokenRemoved, t.Team, "requests with %d removed %s of team %s: 401 unauthorized",
			t.TokensRemoved, plural(t.TokensRemoved, "token", "tokens"), t.Team)
	}
	if len(updated.Tokens) == 0 {
		c.addWarning(NoteNoToken, t.Team, "team %s has no token: it can't send requests", t.Team)
	}
	if updated.Share == 0 {
		c.addRefusal(NoteShareZero, t.Team, "all requests of team %s: 403, its share is zero", t.Team)
		c.addWarning(NoteShareZero, t.Team, "the share of team %s is zero", t.Team)
	}
	if t.Action == Changed {
		c.boundNotes(t.Team, old, updated)
	}
}

func (c *comparison) boundNotes(team string, old, updated config.Team) {
	if lowered(int64(old.MaxQueued), int64(updated.MaxQueued)) {
		c.addRefusal(NoteBoundLowered, team, "requests of team %s when %d wait at a router: 429 queue-full", team, updated.MaxQueued)
		c.queuesOverBound(team, updated)
	}
	if lowered(old.MaxQueuedBytes, updated.MaxQueuedBytes) {
		c.addRefusal(NoteBoundLowered, team, "requests of team %s when %d bytes wait at a router: 429 queue-full", team, updated.MaxQueuedBytes)
	}
}

func (c *comparison) lostServices(t TeamChange) {
	for _, service := range t.Lost {
		c.addRefusal(NoteServiceLost, t.Team, "requests of team %s to %s: 403 service-not-allowed", t.Team, service)
		if n := c.queuedRequests(t.Team, service); n > 0 {
			c.addWarning(NoteQueuedWork, t.Team, "team %s loses %s and has %d requests for it waiting; they still run", t.Team, service, n)
		}
	}
}

// queuesOverBound warns about queues above the new bound, which applies per
// router.
func (c *comparison) queuesOverBound(team string, updated config.Team) {
	for _, q := range c.facts.Queues {
		if q.Team == team && updated.Reaches(q.Service) && q.Waiting > updated.MaxQueued {
			c.addWarning(NoteQueuedWork, team, "team %s has %d requests waiting for %s at a router, over the new bound of %d; they still run",
				team, q.Waiting, q.Service, updated.MaxQueued)
		}
	}
}

// lowered reports whether a bound is lowered or may be: 0 stands for the
// router's own default, which is unknown here, so a change from 0 counts.
func lowered(before, after int64) bool {
	return after > 0 && before != after && (before == 0 || after < before)
}

func (c *comparison) serviceNotes(s ServiceChange, old, updated config.Service) {
	if s.Action == Removed {
		c.addRefusal(NoteServiceRemoved, s.Service, "all requests to %s: 404 unknown-service", s.Service)
		return
	}
	if s.Action == Changed && lowered(old.MaxBody, updated.MaxBody) {
		c.addRefusal(NoteBodyLowered, s.Service, "requests to %s with a body over %d bytes: 413 body-too-large", s.Service, updated.MaxBody)
	}
}

// backendNotes warns about missing facts, unknown names and services without a
// backend server that takes requests.
func (c *comparison) backendNotes() {
	if n := c.facts.UnresponsiveRouters; n > 0 {
		c.addWarning(NoteNoFacts, "", "%d %s gave no answer: requests that wait there were not counted", n, plural(n, "router", "routers"))
	}
	if !c.facts.BackendsKnown {
		c.addWarning(NoteNoFacts, "", "the list of instances can't be read now: backend servers were not checked")
		return
	}
	for _, b := range c.plan.Backends {
		if b.Service == "" && b.Drained {
			c.addWarning(NoteUnknownBackend, b.Backend, "no backend server %s is known", b.Backend)
		}
	}
	for _, d := range c.plan.DataCentres {
		known := slices.ContainsFunc(c.facts.Backends, func(b Backend) bool { return b.DataCentre == d.DataCentre })
		if d.Evacuated && !known {
			c.addWarning(NoteUnknownDataCentre, d.DataCentre, "no backend server is known in data centre %s", d.DataCentre)
		}
	}
	c.unservedServices()
}

func (c *comparison) unservedServices() {
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
		var inService []string
		for _, id := range all {
			if !drained[id] {
				inService = append(inService, id)
			}
		}
		switch {
		case len(all) == 0:
			c.addWarning(NoteNoBackends, service, "service %s has no backend servers", service)
		case len(inService) == 0:
			c.addWarning(NoteAllDrained, service, "every backend server of %s is drained: %s", service, strings.Join(all, ", "))
		}
	}
}
