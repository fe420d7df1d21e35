package versions

import (
	"maps"
	"time"
)

// Life identifies one process of a router, from its registration to its end. Zero is a process of which nothing is
// known.
type Life uint64

// lives tracks the processes of routers that ended. Its zero value knows of none.
type lives struct {
	// accounted are those whose streams are known to others, or to this router, since when that is known.
	accounted map[Life]time.Time
	// lost are those that ended without a word, and when that was noticed; lastLost is when the last of those was that
	// can no longer be accounted for.
	lost     map[Life]time.Time
	lastLost time.Time
}

// end records that the process ended.
func (l *lives) end(now time.Time, one Life) {
	if one == 0 {
		l.lastLost = now
		return
	}
	if _, is := l.accounted[one]; is {
		return
	}
	if l.lost == nil {
		l.lost = make(map[Life]time.Time)
	}
	l.lost[one] = now
}

// account records that the streams of the process are known elsewhere, whether or not it has ended yet.
func (l *lives) account(now time.Time, one Life) {
	if one == 0 {
		return
	}
	if l.accounted == nil {
		l.accounted = make(map[Life]time.Time)
	}
	l.accounted[one] = now
	delete(l.lost, one)
}

// lastLoss returns when a process was last noticed to have ended without a word; zero for never.
func (l *lives) lastLoss() time.Time {
	last := l.lastLost
	for _, at := range l.lost {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// tick forgets the names of processes that ended long ago, and keeps that some were lost.
func (l *lives) tick(now time.Time) {
	maps.DeleteFunc(l.lost, func(_ Life, at time.Time) bool {
		if now.Sub(at) < Horizon {
			return false
		}
		if at.After(l.lastLost) {
			l.lastLost = at
		}
		return true
	})
	maps.DeleteFunc(l.accounted, func(_ Life, at time.Time) bool { return now.Sub(at) >= Horizon })
}

// RouterEnded records that a process of a router ended, or may have. What only it knew is lost, unless it is accounted for.
func (h *History) RouterEnded(now time.Time, one Life) { h.lives.end(now, one) }

// RouterGone records that a router is registered no more, however its last process ended. A next one may begin streams
// before this router knows of it, and is not asked then.
func (h *History) RouterGone(now time.Time) { h.lives.end(now, 0) }

// Account records that what the process of a router knows of streams is not lost with it: it has handed that over to
// others, or is this router's own. It may come before the end of the process or after it.
func (h *History) Account(now time.Time, one Life) { h.lives.account(now, one) }

// IsAccounted reports whether the process is accounted for.
func (h *History) IsAccounted(one Life) bool {
	_, is := h.lives.accounted[one]
	return is
}

// Accounted returns the processes that are accounted for.
func (h *History) Accounted() []Life {
	out := make([]Life, 0, len(h.lives.accounted))
	for one := range h.lives.accounted {
		out = append(out, one)
	}
	return out
}
