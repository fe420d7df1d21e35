package quarantine

import (
	"slices"
	"time"
)

// consider judges the content when the other routers, if there are any, have had
// time to say what they know.
func (s *State) consider(now time.Time, content Fingerprint) {
	hearing := s.cfg.Hearing
	if len(s.routers) <= 1 {
		hearing = 0
	}
	// Further news does not put it off: in a large fleet there is always some.
	if due, is := s.due[content]; !is || due.After(now.Add(hearing)) {
		s.due[content] = now.Add(hearing)
	}
}

// judgeDue refuses those of the contents due for judgement under which enough servers
// crashed. All are judged before one is refused: a refused one explains the crashes of
// the others, and of two that nothing tells apart both are refused.
func (s *State) judgeDue(now time.Time) {
	var guilty []Fingerprint
	for content, at := range s.due {
		if now.Before(at) {
			continue
		}
		delete(s.due, content)
		if s.isGuilty(now, content) {
			guilty = append(guilty, content)
		}
	}
	reasons := make([][]Strike, len(guilty))
	for i, content := range guilty {
		reasons[i] = s.reasons(content, s.records[content])
	}
	for i, content := range guilty {
		s.hold(now, now, content, s.records[content], ByCount, reasons[i])
	}
}

// isGuilty reports whether enough servers crashed under the content to refuse it. While
// another one was at each of these crashes, it is judged again later, when something
// may tell them apart.
func (s *State) isGuilty(now time.Time, content Fingerprint) bool {
	r := s.records[content]
	if r == nil || !r.held.IsZero() || s.strikes(content, r) < s.cfg.Crashes {
		return false
	}
	decided := s.counted(r)[s.cfg.Crashes-1].at.Add(s.cfg.TieBreak)
	if now.Before(decided) && s.hasRival(content, r) {
		s.due[content] = decided
		return false
	}
	return true
}

// hold refuses the content from now on; since is when that began by the first word.
func (s *State) hold(now, since time.Time, content Fingerprint, r *record, cause Cause, reasons []Strike) {
	if len(s.held) >= s.cfg.MostHeld {
		s.dropOldestHeld()
	}
	s.held[content] = r
	r.held, r.reasons, r.trials = since, reasons, 0
	s.emit(Event{Kind: Confirmed, Content: content, Cause: cause, Strikes: reasons})
	s.news.held = append(s.news.held, content)
	for _, c := range r.crashes {
		c.explained = true
	}
}

// isExplained reports whether another refused content was at each crash that speaks
// against the refused one: it may be a bystander of them. It is not free for that, as two
// that crash servers come together, too.
func (s *State) isExplained(content Fingerprint, r *record) bool {
	for _, reason := range r.reasons {
		if !s.hasOtherHeld(reason.Server, content) {
			return false
		}
	}
	for _, c := range r.crashes {
		if c.at.After(r.cleared) && !s.hasOtherHeld(c.server, content) {
			return false
		}
	}
	return len(r.reasons) > 0
}

// hasOtherHeld reports whether another refused content was at the server when it crashed,
// by what is known of either.
func (s *State) hasOtherHeld(server string, content Fingerprint) bool {
	c := s.crashes[server]
	for other, r := range s.held {
		if other == content {
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

// counted returns the crashes that count against the content: those since it was
// last cleared that no refused request explains.
func (s *State) counted(r *record) []*crash {
	var out []*crash
	for _, c := range r.crashes {
		if c.at.After(r.cleared) && !c.explained {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *crash) int { return a.at.Compare(b.at) })
	return out
}

// mostOfBurst is the number of crashes at one moment that count where something else
// ended a server, too: not enough to refuse a request by one moment, and not so few
// that copies of a culprit sent at once beside another crash take three such moments.
const mostOfBurst = 2

// strikes is the number of crashes that count. Of several at one moment only some do
// where further servers crashed that the request did not run at: then it may have been
// something else that ended them all.
func (s *State) strikes(content Fingerprint, r *record) int {
	n, ofBurst := 0, 0
	var burst time.Time
	for _, c := range s.counted(r) {
		if n == 0 || c.at.Sub(burst) > s.cfg.Burst {
			burst, ofBurst = c.at, 0
		}
		ofBurst++
		if ofBurst <= mostOfBurst || !s.otherCrash(content, burst) {
			n++
		}
	}
	return n
}

// otherCrash reports whether a server crashed within a burst's time of the moment
// that the content did not run at.
func (s *State) otherCrash(content Fingerprint, at time.Time) bool {
	return slices.ContainsFunc(s.order, func(c *crash) bool {
		_, there := c.suspects[content]
		return !there && c.at.Sub(at).Abs() <= s.cfg.Burst
	})
}

// hasRival reports whether another content, neither refused nor cleared since, was
// there at each crash that counts.
func (s *State) hasRival(content Fingerprint, r *record) bool {
	counted := s.counted(r)
	if len(counted) == 0 {
		return false
	}
	for rival := range counted[0].suspects {
		other := s.records[rival]
		if rival == content || other == nil || !other.held.IsZero() {
			continue
		}
		if !slices.ContainsFunc(counted, func(c *crash) bool {
			_, there := c.suspects[rival]
			return !there || !c.at.After(other.cleared)
		}) {
			return true
		}
	}
	return false
}

func (s *State) reasons(content Fingerprint, r *record) []Strike {
	var out []Strike
	for _, c := range s.counted(r) {
		out = append(out, Strike{Server: c.server, At: c.at, Told: slices.Clone(c.suspects[content])})
	}
	return out
}
