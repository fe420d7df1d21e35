package admission

import (
	"math"
	"time"

	"goldcrestport/coordination/fairshare"
	"goldcrestport/coordination/promptmix"
	"goldcrestport/coordination/throttle"
)

// standing is what the team of a request received within the window, in relation to
// its fair share.
type standing struct {
	// share is in relation to the team's max-min fair share of the configured
	// capacity; 0 while the total demand fits into it.
	share float64
	// served is in relation to the team's max-min fair share of what all teams
	// received; 0 while nearly all of the demand is served.
	served float64
}

// standing returns the standing of the team.
func (s *State) standing(now time.Time, team fairshare.TeamID) standing {
	share := s.teams.Standing(now, team, s.capacity)
	s.syncThrottle()
	return standing{share: share, served: s.teams.ServedStanding(team)}
}

// TeamStanding returns what the team received in relation to its share of the
// configured capacity and of what the engines serve, and the max-min fair share
// level in tokens; 0 while the total demand fits.
func (s *State) TeamStanding(now time.Time, team string) (share, served, level float64) {
	got := s.standing(now, fairshare.IDOf(team))
	return got.share, got.served, s.teams.Level()
}

// ThrottleBound returns the rate up to which a team may send, over all routers, in
// tokens per second; 0: no team is throttled.
func (s *State) ThrottleBound() float64 {
	bound := s.throttle.Bound()
	if math.IsInf(bound, 1) {
		return 0
	}
	return bound
}

// CountDemand counts a request towards its team's demand and returns its size in
// tokens, 0 for plain services.
func (s *State) CountDemand(now time.Time, req Request) (tokens float64) {
	if !s.pool(req.Service).traits.Engine {
		return 0
	}
	tokens = s.demand(req)
	s.countDemand(now, fairshare.IDOf(req.Team), tokens)
	return tokens
}

func (s *State) countDemand(now time.Time, team fairshare.TeamID, tokens float64) {
	s.teams.Ask(now, team, tokens)
	s.throttle.Ask(now, team, tokens)
}

// syncThrottle passes the demand and usage of the teams to the throttle whenever
// they were summed anew.
func (s *State) syncThrottle() {
	at := s.teams.Updated()
	if at.Equal(s.throttleUpdated) {
		return
	}
	s.throttleUpdated = at
	teams := make(map[fairshare.TeamID]throttle.Team)
	s.teams.Each(func(id fairshare.TeamID, use fairshare.Use) {
		teams[id] = throttle.Team{RequestedRate: use.RequestedRate, StartedRate: use.StartedRate, ThrottledRate: use.ThrottledRate, MeanStartedRate: use.Started / s.cfg.Window.Seconds()}
	})
	s.throttle.Observe(at, s.teams.Share(), teams)
}

// CountUnreadDemand counts a request of the team that was refused before it was
// read.
func (s *State) CountUnreadDemand(now time.Time, team string) {
	id := fairshare.IDOf(team)
	s.throttle.Ask(now, id, s.teams.AskUnread(now, id))
}

// admissionLimit returns the estimated wait up to which the request is admitted.
func (s *State) admissionLimit(now time.Time, req Request, c candidate, standing standing) time.Duration {
	limit := s.baseLimit(now, req, c, standing)
	limit *= s.standingFactor(standing)
	if req.Elapsed > 0 && standing.share <= 1 {
		limit *= s.cfg.RetryFactor
	}
	if req.Bound.resumes() {
		return max(time.Duration(limit), s.cfg.ResumeWaitLimit)
	}
	if latest := s.latestWait(req, c); latest > 0 {
		// A request that is late because of its own prefill is late at any server.
		limit = min(limit, float64(latest))
	}
	return time.Duration(limit)
}

// baseLimit returns the wait limit, in nanoseconds, before the factors of the team and of
// callers that come back.
func (s *State) baseLimit(now time.Time, req Request, c candidate, standing standing) float64 {
	if s.sizeOf(req, standing) != promptmix.Any {
		return float64(s.sizedLimit(now, req, c, standing))
	}
	return s.roomForOthers(float64(s.waitLimit(req.Service)), c)
}

// roomForOthers reduces a wait limit by a part of the request's own prefill, so that
// long prompts leave room for short ones.
func (s *State) roomForOthers(limit float64, c candidate) float64 {
	ownPrefill := s.cfg.OwnPrefillShare * float64(s.prefillTime(c.prefillTokens))
	return limit - min(ownPrefill, s.cfg.OwnPrefillMax*limit)
}

// firstTokenBase is the time to the first token without a queue and with a short
// prompt: one engine step and the network round trip.
const firstTokenBase = 30 * time.Millisecond

// latestWait returns the longest wait with which a first attempt still meets its
// objective; 0 or less if there is no such limit. Callers that come back are not
// limited, as it is their last attempt: late is better than never.
func (s *State) latestWait(req Request, c candidate) time.Duration {
	if req.Objective <= 0 || req.Elapsed > 0 {
		return 0
	}
	return time.Duration(s.cfg.OnTimeShare*float64(req.Objective)) - c.prefill - firstTokenBase
}

// waitLimit returns the wait limit of the service for requests that are not long and
// whose team is not far from its share. It is the same for all requests of a
// service: the queue of its engines stays below what the most urgent of them can
// wait for.
func (s *State) waitLimit(service string) time.Duration {
	objective := s.pool(service).traits.Objective
	if objective <= 0 {
		return s.cfg.DefaultWaitLimit
	}
	return time.Duration(s.cfg.WaitLimitShare * float64(objective))
}

// Standings between which the factor of a team falls from that of a team well below
// its share to that of one beyond it. Of two teams beyond their shares, the one that
// received less has the larger factor.
const (
	wellBelowShare  = 0.7
	wellBeyondShare = 1.3
)

// standingFactor returns the factor of the wait limit for the standing of a team.
func (s *State) standingFactor(team standing) float64 {
	switch {
	case team.share == 0:
		return s.servedFactor(team.served)
	case team.share <= 1:
		return s.shareFactor(team.share)
	default:
		// No team beyond its share gets a larger factor than a team at its share.
		return min(s.shareFactor(team.share)*s.levellingFactor(team.served), s.shareFactor(1))
	}
}

// levellingFactor evens out what teams beyond their share of the configured capacity
// get of what the engines do in addition.
//
// Engines may do twice the configured capacity while, of two teams far beyond their
// shares, one calls many routers and the other two. At queues of a few milliseconds
// their wait limits hardly differed, so that the team with more attempts got 16 M
// tokens in six seconds, and the other 6.7 of the 14.5 M that it demanded.
func (s *State) levellingFactor(served float64) float64 {
	if served <= 0 {
		return 1
	}
	return min(max(math.Pow(served, -s.cfg.LevellingExponent), 1/s.cfg.LevellingMax), s.cfg.LevellingMax)
}

// Served standings between which the factor of a team falls to that of a team that
// displaces others. A single team that demands more than there is gets just what the
// others leave, a standing of 1, and displaces nobody.
const (
	fairServed      = 1.1
	excessiveServed = 1.6
)

// servedFactor returns the factor of the wait limit for a served standing.
func (s *State) servedFactor(served float64) float64 {
	fraction := min(max((served-fairServed)/(excessiveServed-fairServed), 0), 1)
	return s.cfg.UnderShareFactor + fraction*(s.cfg.OverServedFactor-s.cfg.UnderShareFactor)
}

// shareFactor falls from the factor of a team well below its share to that of one
// well beyond it, and further from there.
func (s *State) shareFactor(standing float64) float64 {
	switch {
	case standing <= wellBelowShare:
		return s.cfg.UnderShareFactor
	case standing >= wellBeyondShare:
		return s.cfg.OverShareFactor * wellBeyondShare / standing
	default:
		fraction := (standing - wellBelowShare) / (wellBeyondShare - wellBelowShare)
		return s.cfg.UnderShareFactor + fraction*(s.cfg.OverShareFactor-s.cfg.UnderShareFactor)
	}
}
