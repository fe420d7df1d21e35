package admission

import (
	"math"
	"time"

	"goldcrestport/coordination/fairshare"
	"goldcrestport/coordination/promise"
)

// promisesApply reports whether refused callers of the service get the time of a
// promise.
func (s *State) promisesApply(p *pool) bool {
	return s.cfg.Returns == ReturnsOn || s.cfg.Returns == ReturnsAuto && p.traits.UnevenObjectives
}

// promiseRoom returns what this router may promise to a refused request of the team:
// its fraction of all requests, and of those of the team.
func (s *State) promiseRoom(p *pool, team fairshare.TeamID, standing standing) promise.Room {
	room := promise.Room{Servers: float64(len(p.servers)) * s.teams.OwnFraction()}
	if rate, throttled := s.throttle.Rate(team); throttled {
		room.TeamRate = rate
	} else if standing.share > 1 {
		room.TeamRate = s.teams.Level() / s.cfg.Window.Seconds() * s.teams.OwnFractionOf(team)
	}
	return room
}

// promise returns when the caller of a refused request should come back. earliest is
// when its server and its team's credit allow it.
func (s *State) promise(now time.Time, p *pool, req Request, best candidate, standing standing, earliest time.Duration) promise.Promise {
	team := fairshare.IDOf(req.Team)
	return p.ledger(s.cfg.Promise).Book(now, promise.Refused[fairshare.TeamID]{
		Team: team, Tokens: s.demand(req), Work: best.prefill,
		Earliest: max(earliest, s.cfg.RetryAfterMin), Latest: latestReturn(req.TimeLeft),
	}, s.promiseRoom(p, team, standing))
}

// returnShare is the fraction of the time that a caller has left after which it comes
// back, whatever it was told.
const returnShare = 1.0 / 3

// latestReturn returns the time after which a caller is back in any case.
func latestReturn(left time.Duration) time.Duration {
	if left <= 0 {
		return math.MaxInt64
	}
	return time.Duration(returnShare * float64(left))
}

// keptForReturns returns the wait that a first attempt leaves free for callers that
// were told to come back by the time that it is served.
func (s *State) keptForReturns(now time.Time, p *pool, req Request, limit time.Duration) time.Duration {
	if req.Elapsed > 0 || p.promises == nil || limit <= 0 {
		return 0
	}
	servers := float64(len(p.servers)) * s.teams.OwnFraction()
	if servers <= 0 {
		return 0
	}
	return min(time.Duration(float64(p.promises.Due(now, limit))/servers), limit)
}

// ledger returns the promises of the pool.
func (p *pool) ledger(cfg promise.Config) *promise.Ledger[fairshare.TeamID] {
	if p.promises == nil {
		p.promises = promise.New[fairshare.TeamID](cfg)
	}
	return p.promises
}
