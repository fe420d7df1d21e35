package direct

import (
	"net/http"
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/continuation"
	"goldcrestport/protocol/outcome"
)

// placeRequest asks the admission for a server, again if the request was sent before.
func (c *call) placeRequest() admission.Decision {
	req := admission.Request{
		Service: c.service, Team: c.team, Class: c.route.Name, Prompt: c.meta.Prompt, Output: c.meta.Output, SharedPrefixes: c.meta.Shared,
		Objective: c.route.Objective, Elapsed: c.elapsed, Avoid: c.avoid, Homes: c.homes(), Repeatable: c.route.MayRepeat(), Sent: c.sent > 0, Counted: c.tokens > 0, MayHaveRun: c.reached > 0, Isolation: c.isolation,
	}
	now := time.Now()
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	req.Bound = c.bound(now)
	if c.r.warmup.Any() {
		c.r.warmup.SetRegistered(c.r.member.isValid(bootTime()))
	}
	return c.r.admission.Place(now, req)
}

// homes returns the lists of regions to which the route and the team restrict the request.
func (c *call) homes() [][]string {
	var all [][]string
	if len(c.route.Homes) > 0 {
		all = append(all, c.route.Homes)
	}
	if team := c.table.Team(c.meta.Key); team != nil && team.Name == c.team && len(team.Homes) > 0 {
		all = append(all, team.Homes)
	}
	return all
}

// refuseUnplaced ends a request for which no server was found.
func (c *call) refuseUnplaced(d admission.Decision) {
	c.goesOnNowhere(noServer, c.doorOfPlacement(d))
	lack := c.lackOfVersion()
	switch {
	case c.answerBegun:
		c.abortAnswer("no_server")
	case c.reached > 0:
		c.fail(outcome.ReasonBackend, http.StatusBadGateway, "the answer was lost and no further server is free")
	case lack != continuation.ReasonNone:
		c.refuse(*refuseStream(lack, 0))
	case d.Verdict == admission.Refuse && d.Cold:
		c.refuse(*notRun(outcome.ReasonQueueFull, d.RetryAfter, "the backend servers are cold and get as much as they bear"))
	case d.Verdict == admission.Refuse && d.Reason == admission.ReasonBackoff:
		c.refuse(*notRun(outcome.ReasonBackoff, d.RetryAfter, "the backend servers asked for no requests until then"))
	case d.Verdict == admission.Refuse && d.Reason == admission.ReasonTooLarge:
		c.refuse(*notRun(outcome.ReasonTooLargeForEngine, d.RetryAfter, "the prompt is larger than the memory of a backend server"))
	case d.Verdict == admission.Refuse && d.Reason == admission.ReasonMemory:
		c.refuse(*notRun(outcome.ReasonEngineFull, d.RetryAfter, "the memory of the backend servers is full"))
	case d.Verdict == admission.Refuse:
		c.refuse(*notRun(outcome.ReasonQueueFull, d.RetryAfter, "no backend server can begin in time"))
	default:
		c.refuse(*notRun(outcome.ReasonNoBackend, d.RetryAfter, "no backend server is known"))
	}
}
