package bodybudget

import (
	"slices"
	"time"
)

// shortage is by how many bytes a charge exceeds each limit that applies to it; not positive where it does not.
type shortage struct{ all, large, team, teamLarge int64 }

// isNone reports whether the charge fits.
func (s shortage) isNone() bool { return s.all <= 0 && s.large <= 0 && s.team <= 0 && s.teamLarge <= 0 }

// isCutBy reports whether the end of a body that holds h, of the same team or of another, makes the shortage smaller.
func (s shortage) isCutBy(h held, sameTeam bool) bool {
	return s.all > 0 && h.total > 0 || s.large > 0 && h.large > 0 || sameTeam && (s.team > 0 && h.total > 0 || s.teamLarge > 0 && h.large > 0)
}

// without returns the shortage after the end of a body that holds h.
func (s shortage) without(h held, sameTeam bool) shortage {
	s.all -= h.total
	s.large -= h.large
	if sameTeam {
		s.team -= h.total
		s.teamLarge -= h.large
	}
	return s
}

// largeLimit is the most that bodies that are not small may hold.
func (s *State) largeLimit() int64 { return int64((1 - s.cfg.SmallShare) * float64(s.limit)) }

// ofTeam returns the part of a limit that one team may use.
func (s *State) ofTeam(limit int64) int64 { return int64(s.cfg.TeamShare * float64(limit)) }

// shortage returns by how much n more bytes for the body exceed the limits.
func (s *State) shortage(b *Body, n int64) shortage {
	team := s.byTeam[b.owner.Team]
	out := shortage{all: s.all.total + n - s.limit, team: team.total + n - s.ofTeam(s.limit)}
	if !s.isLarge(b, n) {
		return out
	}
	// A body that becomes large counts whole among the large ones.
	n += b.held - s.holds(b).large
	out.large = s.all.large + n - s.largeLimit()
	out.teamLarge = team.large + n - s.ofTeam(s.largeLimit())
	return out
}

// makeRoom picks the unfinished bodies that yield n bytes to the body, and reports whether these and those that
// are ending are enough.
func (s *State) makeRoom(now time.Time, b *Body, n int64) (victims []*Body, enough bool) {
	short := s.shortage(b, n)
	for v := range s.bodies {
		if v.ending {
			short = short.without(s.holds(v), v.owner.Team == b.owner.Team)
		}
	}
	for _, v := range s.candidates(now, b, n) {
		if short.isNone() {
			break
		}
		sameTeam := v.owner.Team == b.owner.Team
		if !short.isCutBy(s.holds(v), sameTeam) {
			continue
		}
		victims = append(victims, v)
		short = short.without(s.holds(v), sameTeam)
	}
	return victims, short.isNone()
}

// candidates returns the bodies that yield to the body, in that order: slow ones yield to all, of the others the
// newer large ones to a large one.
func (s *State) candidates(now time.Time, b *Body, n int64) []*Body {
	slow := s.unfinished(func(v *Body) bool { return v != b && s.isSlow(now, v) })
	slices.SortFunc(slow, s.yieldsBefore)
	if !s.isLarge(b, n) {
		return slow
	}
	newer := s.unfinished(func(v *Body) bool {
		return v != b && s.isLarge(v, 0) && !s.isSlow(now, v) && v.openedAt.After(b.openedAt)
	})
	slices.SortFunc(newer, func(x, y *Body) int { return y.openedAt.Compare(x.openedAt) })
	return append(slow, newer...)
}

// releaseRate is the rate at which memory is given back, over a sliding window of two halves.
type releaseRate struct {
	window        time.Duration
	halfSince     time.Time
	before, since int64
}

// add records that n bytes were given back.
func (r *releaseRate) add(now time.Time, n int64) {
	r.roll(now)
	r.since += n
}

// perSecond returns the rate in bytes a second.
func (r *releaseRate) perSecond(now time.Time) float64 {
	r.roll(now)
	span := r.window/2 + now.Sub(r.halfSince)
	return float64(r.before+r.since) / span.Seconds()
}

// roll begins a new half of the window when the last one has passed.
func (r *releaseRate) roll(now time.Time) {
	half := r.window / 2
	switch since := now.Sub(r.halfSince); {
	case since >= r.window:
		r.before, r.since, r.halfSince = 0, 0, now
	case since >= half:
		r.before, r.since, r.halfSince = r.since, 0, now
	}
}
