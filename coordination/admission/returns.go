package admission

import "time"

// Returns says for which services the time after which refused callers are asked to come
// back is limited by their objectives.
type Returns int

// Values of Returns.
const (
	// ReturnsAuto: for services whose routes have objectives that differ at least twofold.
	ReturnsAuto Returns = iota
	ReturnsOn
	ReturnsOff
)

// SetReturns sets for which services it is.
func (s *State) SetReturns(r Returns) { s.cfg.Returns = r }

// promisesApply reports whether callers that are refused by the engines of the pool are
// asked to come back while their requests can be in time.
func (s *State) promisesApply(p *pool) bool {
	return s.cfg.Returns == ReturnsOn || s.cfg.Returns == ReturnsAuto && p.traits.UnevenObjectives
}

// returnInTime limits the time after which the caller of a refused first attempt is asked to
// come back. after is when its team has credit and the queue of its best server, which
// drained says alone, is short enough.
//
// In a peak that lasts, such as a flood of a team or a burst of all, a caller that comes back
// when it has missed its objective takes the place of a first attempt that would be in time.
// One that comes back in time has the same chance as that. If the queue alone lasts longer,
// or the request would be late at any server, the time stays as it is.
func (s *State) returnInTime(p *pool, req Request, c candidate, after, drained time.Duration) time.Duration {
	if req.Objective <= 0 || req.Elapsed > 0 || !s.promisesApply(p) {
		return after
	}
	latest := time.Duration(s.cfg.ReturnShare * float64(req.Objective-c.prefill-firstTokenBase))
	if latest < max(drained, s.cfg.RetryAfterMin) {
		return after
	}
	return min(after, latest)
}
