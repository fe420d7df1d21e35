package quarantine

import (
	"slices"
	"time"
)

// scheduleJudgement has the request judged once the other routers, if there are any, have had
// time to report what they know.
func (s *State) scheduleJudgement(now time.Time, fp Fingerprint) {
	delay := s.cfg.JudgementDelay
	if len(s.routers) <= 1 {
		delay = 0
	}
	// Further reports do not postpone the judgement: in a large fleet there are always some.
	if due, ok := s.judgements[fp]; !ok || due.After(now.Add(delay)) {
		s.judgements[fp] = now.Add(delay)
	}
}

// judgeDue refuses those of the requests due for judgement during which enough servers
// crashed. All are judged before one is refused: a refused request explains the crashes of the
// others, and two that cannot be distinguished are both refused.
func (s *State) judgeDue(now time.Time) {
	var refusals []Fingerprint
	for fp, at := range s.judgements {
		if now.Before(at) {
			continue
		}
		delete(s.judgements, fp)
		if s.shouldRefuse(now, fp) {
			refusals = append(refusals, fp)
		}
	}
	reasons := make([][]Strike, len(refusals))
	for i, fp := range refusals {
		reasons[i] = s.reasons(fp, s.records[fp])
	}
	for i, fp := range refusals {
		s.refuse(now, now, fp, s.records[fp], ByCount, reasons[i])
	}
}

// shouldRefuse reports whether enough servers crashed while running the request to refuse it.
// While another request was running at each of these crashes, or too few remain without those that may have
// another cause, the judgement is postponed until further evidence may distinguish them.
func (s *State) shouldRefuse(now time.Time, fp Fingerprint) bool {
	r := s.records[fp]
	if r == nil || !r.refusedAt.IsZero() {
		return false
	}
	strikes := s.strikes(fp, r)
	if strikes < s.cfg.Crashes {
		return false
	}
	decided := s.countedCrashes(r)[s.cfg.Crashes-1].at.Add(s.cfg.TieBreak)
	if now.Before(decided) && (s.hasRival(fp, r) || strikes-s.withOtherCause(now, r) < s.cfg.Crashes) {
		s.judgements[fp] = decided
		return false
	}
	return true
}

// refuse refuses the request from now on; since is the earliest reported start of the
// refusals.
func (s *State) refuse(now, since time.Time, fp Fingerprint, r *record, cause Cause, reasons []Strike) {
	if len(s.refused) >= s.cfg.MaxRefused {
		s.evictOldestRefusal()
	}
	s.refused[fp] = r
	r.refusedAt, r.reasons, r.probes = since, reasons, 0
	s.emit(Event{Kind: Confirmed, Content: fp, Cause: cause, Strikes: reasons})
	s.unsent.refused = append(s.unsent.refused, fp)
	for _, c := range r.crashes {
		c.explained = true
	}
}

// isExplained reports whether another refused request was running at each crash that counts
// against the refused one, which then may not have caused any of them. This alone does not
// clear it, because two requests that crash servers may also run together.
func (s *State) isExplained(fp Fingerprint, r *record) bool {
	for _, reason := range r.reasons {
		if !s.hasOtherRefused(reason.Server, fp) {
			return false
		}
	}
	for _, c := range r.crashes {
		if c.at.After(r.clearedAt) && !s.hasOtherRefused(c.server, fp) {
			return false
		}
	}
	return len(r.reasons) > 0
}

// hasOtherRefused reports whether another refused request is known to have been running at the
// server when it crashed.
func (s *State) hasOtherRefused(server string, fp Fingerprint) bool {
	c := s.crashes[server]
	if c != nil && c.explainedByOther {
		return true
	}
	for other, r := range s.refused {
		if other == fp {
			continue
		}
		if c != nil && c.suspects[other] != nil {
			return true
		}
		if slices.ContainsFunc(r.reasons, func(reason Strike) bool { return reason.Server == server }) {
			return true
		}
	}
	return false
}

// Explain records that the crashes of the servers have another cause than one request, such as a
// part of prompts that many requests share. Unknown servers are ignored.
func (s *State) Explain(servers []string) {
	for _, server := range servers {
		if c := s.crashes[server]; c != nil {
			c.explained, c.explainedByOther = true, true
		}
	}
}

// countedCrashes returns the crashes that count against the request: those since it was last
// cleared that no refused request explains.
func (s *State) countedCrashes(r *record) []*crash {
	var out []*crash
	for _, c := range r.crashes {
		if c.at.After(r.clearedAt) && !c.explained {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *crash) int { return a.at.Compare(b.at) })
	return out
}

// maxBurstStrikes is the number of crashes of one burst that count if another server crashed
// in it, too. It is too low to refuse a request after one burst, and high enough that copies
// of a crashing request sent at once beside another crash do not take three such bursts.
const maxBurstStrikes = 2

// strikes returns the number of crashes that count. Of a burst only some count if a server on
// which the request did not run crashed in it, too: then another cause may have ended them
// all.
func (s *State) strikes(fp Fingerprint, r *record) int {
	n, inBurst := 0, 0
	var burst time.Time
	for _, c := range s.countedCrashes(r) {
		if n == 0 || c.at.Sub(burst) > s.cfg.BurstWindow {
			burst, inBurst = c.at, 0
		}
		inBurst++
		if inBurst <= maxBurstStrikes || !s.hasOtherCrash(fp, burst) {
			n++
		}
	}
	return n
}

// hasOtherCrash reports whether a server on which the request did not run crashed within
// BurstWindow of the given time.
func (s *State) hasOtherCrash(fp Fingerprint, at time.Time) bool {
	return slices.ContainsFunc(s.crashOrder, func(c *crash) bool {
		_, ran := c.suspects[fp]
		return !ran && c.at.Sub(at).Abs() <= s.cfg.BurstWindow
	})
}

// hasRival reports whether another request, neither refused nor cleared since, was running at
// each crash that counts.
func (s *State) hasRival(fp Fingerprint, r *record) bool {
	counted := s.countedCrashes(r)
	if len(counted) == 0 {
		return false
	}
	for rival := range counted[0].suspects {
		other := s.records[rival]
		if rival == fp || other == nil || !other.refusedAt.IsZero() {
			continue
		}
		if !slices.ContainsFunc(counted, func(c *crash) bool {
			_, ran := c.suspects[rival]
			return !ran || !c.at.After(other.clearedAt)
		}) {
			return true
		}
	}
	return false
}

// withOtherCause returns the number of crashes that count and that something other than one request may have
// caused.
func (s *State) withOtherCause(now time.Time, r *record) int {
	if s.otherCause == nil {
		return 0
	}
	var servers []string
	for _, c := range s.countedCrashes(r) {
		servers = append(servers, c.server)
	}
	return s.otherCause(now, servers)
}

func (s *State) reasons(fp Fingerprint, r *record) []Strike {
	var out []Strike
	for _, c := range s.countedCrashes(r) {
		out = append(out, Strike{Server: c.server, At: c.at, ReportedBy: slices.Clone(c.suspects[fp])})
	}
	return out
}
