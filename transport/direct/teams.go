package direct

import (
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/state/teamuse"
	"goldcrestport/transport/teamlog"
)

// ask counts the request for its team, whatever becomes of it.
func (c *call) ask() {
	c.r.mu.Lock()
	c.tokens = c.r.admission.CountDemand(time.Now(), admission.Request{Service: c.service, Team: c.team, Class: c.route.Name, Prompt: c.meta.Prompt, Output: c.meta.Output})
	c.r.mu.Unlock()
	if c.tokens > 0 {
		c.r.teams.Count(func(t *teamuse.Table) { t.Asked(c.team, c.tokens) })
	}
}

// closedUnread notes that a connection was closed before anything was read of it: its
// team asked for what it did not get.
func (r *Router) closedUnread(team string) {
	r.metrics.shed.Add(1)
	r.teams.Count(func(t *teamuse.Table) { t.Unread(team) })
	if team != teamuse.Unknown {
		r.mu.Lock()
		r.admission.CountUnreadDemand(time.Now(), team)
		r.mu.Unlock()
	}
}

// isBeyond reports whether the team got more than its share.
func (r *Router) isBeyond(team string) bool { return r.teamStanding(team).Share > 1 }

// teamStanding tells where a team stands among all, as this router knows it.
func (r *Router) teamStanding(team string) teamlog.Standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	share, served, level := r.admission.TeamStanding(now, team)
	return teamlog.Standing{Share: share, Served: served, Level: level, Bound: r.admission.ThrottleBound(), PeersAge: r.admission.PeerStaleness(now)}
}
