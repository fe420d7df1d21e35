package admission

import (
	"math"
	"time"

	"goldcrestport/coordination/fairshare"
	"goldcrestport/coordination/throttle"
)

// standing is what the team of a request got in the window.
type standing struct {
	// share relates it to the team's max-min share of the named capacity; 0 while
	// all that is asked fits.
	share float64
	// served relates it to the team's max-min share of what all teams got; 0
	// while nearly all that is asked is served.
	served float64
}

// standing returns the team's standing.
func (s *State) standing(now time.Time, team fairshare.TeamID) standing {
	share := s.teams.Standing(now, team, s.capacity)
	s.followTeams()
	return standing{share: share, served: s.teams.ServedStanding(team)}
}

// TeamStanding returns what the team got in relation to its share of the named capacity
// and of what engines serve, and that share in tokens; 0 while all that is asked fits.
func (s *State) TeamStanding(now time.Time, team string) (share, served, level float64) {
	of := s.standing(now, fairshare.IDOf(team))
	return of.share, of.served, s.teams.Level()
}

// ThrottleBound returns the rate up to which a team may send, over all routers, in tokens a
// second; 0: nobody is throttled.
func (s *State) ThrottleBound() float64 {
	bound := s.throttle.Bound()
	if math.IsInf(bound, 1) {
		return 0
	}
	return bound
}

// Ask counts a request as asked for and returns its size, 0 for plain services.
func (s *State) Ask(now time.Time, req Request) (tokens float64) {
	if !s.pool(req.Service).traits.Engine {
		return 0
	}
	tokens = s.tokens(req)
	s.ask(now, fairshare.IDOf(req.Team), tokens)
	return tokens
}

func (s *State) ask(now time.Time, team fairshare.TeamID, tokens float64) {
	s.teams.Ask(now, team, tokens)
	s.throttle.Ask(now, team, tokens)
}

// followTeams tells the throttle what teams ask and get, when that was summed anew.
func (s *State) followTeams() {
	at := s.teams.Updated()
	if at.Equal(s.throttled) {
		return
	}
	s.throttled = at
	teams := make(map[fairshare.TeamID]throttle.Team)
	s.teams.Each(func(id fairshare.TeamID, use fairshare.Use) {
		teams[id] = throttle.Team{RequestedRate: use.RequestedRate, StartedRate: use.StartedRate, ThrottledRate: use.ThrottledRate, MeanStartedRate: use.Started / s.cfg.Window.Seconds()}
	})
	s.throttle.Observe(at, s.teams.Share(), teams)
}

// AskUnread counts a request of the team that was turned away unread.
func (s *State) AskUnread(now time.Time, team string) {
	id := fairshare.IDOf(team)
	s.throttle.Ask(now, id, s.teams.AskUnread(now, id))
}

// limit is the estimated wait up to which the request is admitted.
func (s *State) limit(req Request, c candidate, standing standing) time.Duration {
	patience := float64(s.patience(req.Service))
	own := s.cfg.OwnReading * float64(s.reading(c.unread))
	patience -= min(own, s.cfg.OwnReadingMost*patience)
	patience *= s.turn(standing)
	if req.Elapsed > 0 && standing.share <= 1 {
		patience *= s.cfg.Returned
	}
	if late := s.latest(req, c); late > 0 {
		// What its own reading makes late is late anywhere.
		patience = min(patience, float64(late))
	}
	return time.Duration(patience)
}

// firstTokenBase is the time to a first token without a queue and with a short
// prompt: one step of the engine and the way there and back.
const firstTokenBase = 30 * time.Millisecond

// latest is the wait after which a first attempt would miss its objective; 0
// or less when nothing binds. Callers who come back are not bound, as it is
// their last attempt: late is better than never.
func (s *State) latest(req Request, c candidate) time.Duration {
	if req.Objective <= 0 || req.Elapsed > 0 {
		return 0
	}
	return time.Duration(s.cfg.OnTime*float64(req.Objective)) - c.reading - firstTokenBase
}

// patience is the wait up to which requests of the service are admitted that
// are neither long nor of a team that is far from its share. All requests of a
// service have the same: what its engines have to read stays below what the
// most urgent of them can wait.
func (s *State) patience(service string) time.Duration {
	objective := s.pool(service).traits.Objective
	if objective <= 0 {
		return s.cfg.Patience
	}
	return time.Duration(s.cfg.PatienceShare * float64(objective))
}

// Standings between which a team's turn goes from that of one well below its
// share to that of one beyond it. Between two that are beyond, the one that got
// less goes first.
const (
	wellBelow  = 0.7
	wellBeyond = 1.3
)

// turn is the factor of the patience for a team's standing.
func (s *State) turn(of standing) float64 {
	switch {
	case of.share == 0:
		return s.crowded(of.served)
	case of.share <= 1:
		return s.graded(of.share)
	default:
		// None gets ahead of a team at its share.
		return min(s.graded(of.share)*s.levelled(of.served), s.graded(1))
	}
}

// levelled evens out what teams beyond their share of the named capacity get of
// what the engines do besides.
//
// The pattern that it answers: engines do twice of what is named, and of two teams
// far beyond their shares one calls many routers and the other two. At queues of
// some milliseconds turns hardly differ, so that the one with more attempts got
// 16 M tokens in six seconds, and the other 6.7 of the 14.5 M that it asked for.
func (s *State) levelled(served float64) float64 {
	if served <= 0 {
		return 1
	}
	return min(max(math.Pow(served, -s.cfg.Levelling), 1/s.cfg.LevelMost), s.cfg.LevelMost)
}

// Standings in what engines serve between which a team's turn falls to that of
// one that crowds others out. A single team that asks for more than there is has
// just what the others leave, a standing of 1, and takes nothing from them.
const (
	servedFair   = 1.1
	servedBeyond = 1.6
)

// crowded is the factor for a team's standing in what engines serve.
func (s *State) crowded(served float64) float64 {
	part := min(max((served-servedFair)/(servedBeyond-servedFair), 0), 1)
	return s.cfg.Below + part*(s.cfg.Crowding-s.cfg.Below)
}

// graded goes from the factor of a team well below its share to that of one well
// beyond it, and falls further from there.
func (s *State) graded(standing float64) float64 {
	switch {
	case standing <= wellBelow:
		return s.cfg.Below
	case standing >= wellBeyond:
		return s.cfg.Beyond * wellBeyond / standing
	default:
		part := (standing - wellBelow) / (wellBeyond - wellBelow)
		return s.cfg.Below + part*(s.cfg.Beyond-s.cfg.Below)
	}
}
