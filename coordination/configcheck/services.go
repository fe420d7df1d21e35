package configcheck

import (
	"slices"

	"goldcrestport/state/routing"
)

func (c *checker) checkServices() {
	list, f := c.in.Fields.Services, c.in.Fields.Service
	seen := names{first: make(map[string]int), isLastUsed: true}
	for i, s := range c.in.Config.Services {
		e := entry{kind: Service, name: s.Name, index: i, place: at(list, i)}
		c.name(&seen, e, f.Name, list)
		if !c.used[i] && c.services[s.Name] == i {
			c.add(e, ServiceUnused, e.place, "no route names the service")
		}
		c.count(e, f.Connections, s.Connections)
		c.checkCold(e, s)
		c.checkEngine(e, s.Engine)
	}
}

func (c *checker) checkCold(e entry, s routing.Service) {
	f := c.in.Fields.Service
	c.duration(e, f.ColdFor, s.ColdFor)
	c.number(e, f.ColdRate, s.ColdRate)
	if !(s.ColdRate > 0) || s.ColdFor < 0 {
		return
	}
	if s.ColdFor == 0 {
		c.add(e, ColdRateWithoutTime, join(e.place, f.ColdRate), "a rate for cold servers, but no cold time")
	} else if requests := s.ColdRate * s.ColdFor.Seconds(); requests < 1 {
		c.add(e, ColdRateBelowOne, join(e.place, f.ColdRate), "%.3g requests in the cold time of %v", requests, s.ColdFor)
	}
}

func (c *checker) checkEngine(service entry, g routing.Engine) {
	f := c.in.Fields.Service
	e := service
	e.place = join(e.place, f.Engine)
	c.count(e, f.Slots, g.Slots)
	c.count(e, f.Memory, g.Memory)
	c.count(e, f.EventTokens, g.EventTokens)
	c.number(e, f.TokenBytes, g.TokenBytes)
	c.number(e, f.LinkMbps, g.LinkMbps)
	if g.Slots == 0 && g != (routing.Engine{}) {
		c.add(e, EngineWithoutSlots, e.place, "without slots the service counts as plain and its engine is not used")
	}
	if least := max(g.Slots, g.EventTokens); g.Memory > 0 && g.Memory < least {
		c.add(e, MemoryTooSmall, join(e.place, f.Memory), "%d tokens, fewer than one for each slot or than one event, %d", g.Memory, least)
	}
	if (g.TokenBytes > 0) != (g.LinkMbps > 0) {
		field := f.TokenBytes
		if g.LinkMbps > 0 {
			field = f.LinkMbps
		}
		c.add(e, TransferIncomplete, join(e.place, field), "transfer between servers requires both %s and %s", f.TokenBytes, f.LinkMbps)
	}
}

func (c *checker) checkTeams() {
	list, f := c.in.Fields.Teams, c.in.Fields.Team
	seen, owners := names{first: make(map[string]int)}, keyOwners(c.in.Config.Teams)
	needsKey := func(r routing.Route) bool { return !r.Public }
	if len(c.in.Config.Teams) == 0 && slices.ContainsFunc(c.in.Config.Routes, needsKey) {
		c.add(entry{kind: Document}, NoTeams, list, "without teams, routes that are not public take requests without a key")
	}
	for i, t := range c.in.Config.Teams {
		e := entry{kind: Team, name: t.Name, index: i, place: at(list, i)}
		c.name(&seen, e, f.Name, list)
		keys := join(e.place, f.Keys)
		if !slices.ContainsFunc(t.Keys, func(key string) bool { return key != "" }) {
			c.add(e, TeamWithoutKeys, e.place, "no request can be the team's")
		}
		for j, key := range t.Keys {
			if key == "" {
				c.add(e, EmptyKey, at(keys, j), "requests without a key would be the team's")
			}
			if owner := owners[key]; owner != i {
				c.add(e, DuplicateKey, at(keys, j), "the key is also that of %s, which gets the requests", at(list, owner))
			}
		}
		c.homes(e, f.Homes, t.Homes)
	}
}

// keyOwners maps each key to the team that routers find by it, the last one.
func keyOwners(teams []routing.Team) map[string]int {
	owners := make(map[string]int, len(teams))
	for i, t := range teams {
		for _, key := range t.Keys {
			owners[key] = i
		}
	}
	return owners
}
