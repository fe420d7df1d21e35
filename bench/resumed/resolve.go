package resumed

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"goldcrestport/coordination/continuation"
	"goldcrestport/coordination/versions"
)

// resolve decides where the stream of a caller that comes back may go on, and refuses it or goes on.
func (c *call) resolve(goOn func()) {
	known, isKnown := c.r.table.Lookup(c.w.wall(), c.stream.id)
	s := continuation.Stream{Services: []string{service}}
	if isKnown {
		c.knownBy, c.isConflicting, s.Origin = known.By, known.Conflicting, known.Origin
		c.conclude(s, knowledgeOf(known.Uncertain), goOn)
		return
	}
	c.r.ask(c.stream.id, c.r.isMixed(service), c.askLimit(), func(got *asking) {
		if c.ended {
			return
		}
		s.MixedElsewhere = got.mixed
		switch {
		case got.isKnown:
			c.knownBy, c.isConflicting, s.Origin = got.known.By, got.known.Conflicting, got.known.Origin
			c.conclude(s, knowledgeOf(got.known.Uncertain), goOn)
		case got.answered < got.asked:
			c.orStored(s, continuation.Unanswered, goOn)
		default:
			s.IsCurrent = got.asked > 0
			var conclusion versions.Conclusion
			s.Proven, conclusion = got.conclude(c.r.says(c.r))
			if conclusion == versions.OutOfStep {
				c.orStored(s, continuation.Unanswered, goOn)
				return
			}
			c.orStored(s, continuation.Unknown, goOn)
		}
	})
}

// askLimit returns how long answers of other routers are awaited.
func (c *call) askLimit() time.Duration {
	left := c.stream.bornAt + c.stream.route.deadline - c.w.now
	return cmp.Or(c.w.set.Mends.AskLimit, min(max(left/askShare, minAskLimit), maxAskLimit))
}

// orStored concludes by what the store says of the stream, if it is read and says anything.
func (c *call) orStored(s continuation.Stream, otherwise continuation.Knowledge, goOn func()) {
	if !c.w.set.Mends.ReadStore || c.w.store.away {
		c.conclude(s, otherwise, goOn)
		return
	}
	c.w.after(c.w.between(storeReadMin, storeReadMax), func() {
		c.r.do(smallCost, func() {
			if c.ended {
				return
			}
			for _, key := range slices.Sorted(maps.Keys(c.w.store.origins)) {
				c.r.stored(c.w.store.origins[key].Stored)
			}
			known, isStored := c.r.table.Lookup(c.w.wall(), c.stream.id)
			if !isStored {
				c.conclude(s, otherwise, goOn)
				return
			}
			c.knownBy, c.isConflicting, s.Origin = known.By, known.Conflicting, known.Origin
			c.conclude(s, knowledgeOf(known.Uncertain), goOn)
		})
	})
}

// storeReadMin and storeReadMax bound the time of a reading call of the store.
const storeReadMin, storeReadMax = 2 * time.Millisecond, 10 * time.Millisecond

func knowledgeOf(uncertain bool) continuation.Knowledge {
	if uncertain {
		return continuation.Uncertain
	}
	return continuation.Known
}

// conclude decides by what is known.
func (c *call) conclude(s continuation.Stream, k continuation.Knowledge, goOn func()) {
	s.Knowledge = k
	s.Serving, s.Recent = c.r.versions.Serving(service), c.r.versions.Recent(c.w.wall(), service)
	isStale := c.w.now-c.r.confirmations.ConfirmedAt > isStaleAfter
	s.IsCurrent = s.IsCurrent && c.r.storeAway || !isStale
	d := continuation.Decide(s)
	c.bound, c.isStrict = d.Bound, d.IsStrict
	if d.Reason == continuation.ReasonNone {
		c.isBound, c.certain = true, true
		goOn()
		return
	}
	door, after := string(d.Reason), time.Duration(0)
	if d.Reason == continuation.ReasonUncertain {
		door = doorDoubted
		if c.isConflicting {
			door = doorConflicting
		}
	}
	mayEnd := d.Reason == continuation.ReasonUncertain && c.w.set.Mends.ComeBack
	if d.Reason.Helps() || mayEnd {
		after = resumeRetryAfter
	}
	c.refuse(door, after)
}

// resumeRetryAfter is the time after which the caller of a stream is asked to come back.
const resumeRetryAfter = 250 * time.Millisecond
