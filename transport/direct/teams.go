package direct

import (
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/state/teamuse"
	"goldcrestport/transport/teamlog"
)

// countDemand counts the request as its team's demand, whatever its outcome.
func (c *call) countDemand() {
	c.r.mu.Lock()
	c.tokens = c.r.admission.CountDemand(time.Now(), admission.Request{Service: c.service, Team: c.team, Class: c.route.Name, Prompt: c.meta.Prompt, Output: c.meta.Output})
	c.r.mu.Unlock()
	if c.tokens > 0 {
		c.r.teams.Count(func(t *teamuse.Table) { t.Asked(c.team, c.tokens) })
	}
}

// recordUnreadClose records that a connection was closed before anything was read from it: its
// team requested something that it did not receive.
func (r *Router) recordUnreadClose(team string) {
	r.metrics.shed.Add(1)
	r.teams.Count(func(t *teamuse.Table) { t.Unread(team) })
	if team != teamuse.Unknown {
		r.mu.Lock()
		r.admission.CountUnreadDemand(time.Now(), team)
		r.mu.Unlock()
	}
}

// exceedsShare reports whether the team has received more than its share.
func (r *Router) exceedsShare(team string) bool { return r.teamStanding(team).Share > 1 }

// teamStanding returns the team's standing among all teams, as far as this router knows:
// what it has received relative to its share, and the max-min fair share level.
func (r *Router) teamStanding(team string) teamlog.Standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	share, served, level := r.admission.TeamStanding(now, team)
	return teamlog.Standing{Share: share, Served: served, Level: level, Bound: r.admission.ThrottleBound(), PeersAge: r.admission.PeerStaleness(now)}
}
