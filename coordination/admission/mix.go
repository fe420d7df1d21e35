package admission

import (
	"slices"
	"time"

	"goldcrestport/coordination/promptmix"
)

// mixApplies reports whether prompts of the service are treated by size. With ModeAuto, they are where
// objectives are far apart, or where servers report how long work takes: there, waits are estimated well
// enough for limits that differ by less.
func (s *State) mixApplies(p *pool) bool {
	switch s.cfg.PromptMix.Mode {
	case promptmix.ModeOn:
		return p.traits.Objective > 0
	case promptmix.ModeAuto:
		return p.reportsSlowdown && p.traits.Objective > 0 || s.cfg.PromptMix.SpansWidely(p.traits.Objective, p.traits.LongestObjective)
	default:
		return false
	}
}

// SetPromptMixMode sets to which services the treatment by size applies.
func (s *State) SetPromptMixMode(mode promptmix.Mode) { s.cfg.PromptMix.Mode = mode }

// sizeOf returns the size class by which the request's prompt is treated. It does not
// depend on what servers have cached, so that it is the same at all routers. Teams beyond
// their share are not treated by size: their short prompts have small limits and need
// servers with short queues, which their long prompts would fill.
func (s *State) sizeOf(req Request, standing standing) promptmix.Size {
	p := s.pool(req.Service)
	if !s.mixApplies(p) || standing.share > 1 {
		return promptmix.Any
	}
	return p.mix.SizeOf(s.prefillTime(float64(req.Prompt)), s.waitLimit(req.Service))
}

// sizedLimit returns the wait limit of the request at the candidate, before the factors
// of its team and of callers that come back.
func (s *State) sizedLimit(now time.Time, req Request, c candidate, standing standing) time.Duration {
	shared := s.waitLimit(req.Service)
	own := max(shared, time.Duration(s.cfg.WaitLimitShare*float64(req.Objective)))
	if s.sizeOf(req, standing) == promptmix.Short {
		return own
	}
	reduced := time.Duration(s.roomForOthers(float64(shared), c))
	return s.pool(req.Service).mix.LongLimit(now, reduced, own)
}

// leastCost returns the candidate of least cost. For a long prompt, the cost includes
// the delay of short ones, unless the request would be refused for it.
func (s *State) leastCost(now time.Time, req Request, candidates []candidate, standing standing) candidate {
	best := slices.MinFunc(candidates, byCost)
	p, limit := s.pool(req.Service), s.waitLimit(req.Service)
	switch s.sizeOf(req, standing) {
	case promptmix.Short:
		if !req.Sent {
			p.mix.ObserveShort(now, best.wait > limit)
		}
	case promptmix.Long:
		return s.leastDelaying(now, req, candidates, standing, best)
	}
	return best
}

// leastDelaying returns the candidate that admits the long prompt at the least cost
// including the delay of short ones; without any, it returns otherwise.
func (s *State) leastDelaying(now time.Time, req Request, candidates []candidate, standing standing, otherwise candidate) candidate {
	p := s.pool(req.Service)
	// The other routers are assumed to receive as many short prompts as this one.
	placement := promptmix.Placement{ShortLimit: s.waitLimit(req.Service), ShortShare: float64(s.routers) / float64(max(len(p.servers), 1))}
	var least candidate
	for _, c := range candidates {
		placement.Wait, placement.Prefill = c.wait, c.prefill
		c.cost += p.mix.Delay(now, placement)
		if c.wait <= s.admissionLimit(now, req, c, standing) && (least.server == nil || c.cost < least.cost) {
			least = c
		}
	}
	if least.server == nil {
		return otherwise
	}
	return least
}
