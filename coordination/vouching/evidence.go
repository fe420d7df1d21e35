package vouching

import "time"

// Evidence is what is known of the process behind a connection after that may have been closed. Times
// are on the clock of Entry.
type Evidence struct {
	// Since is since when the process is known, as in Vouches, and Until when it was last known to
	// live: a connection to it was open then.
	Since, Until time.Duration
}

// Continued returns the evidence after a look at the server's connections: one is open at the time now
// whose process is known since the time open. Unless that is later than the process of the evidence
// was last known to live, it is the same one, and lives.
func (ev Evidence) Continued(open, now time.Duration) Evidence {
	if open > ev.Until {
		return ev
	}
	return Evidence{Since: min(ev.Since, open), Until: max(ev.Until, now)}
}

// Remaining returns how long it takes until the process is known that has served since the time, or a
// process that was doubted since then, if the store answers from now on. It reports false if that was
// to be long ago: those that could know it say nothing.
func (c Config) Remaining(s Confirmations, since, now time.Duration) (time.Duration, bool) {
	resumed := s.ResumedAt
	if now > s.ConfirmedAt+c.EntryLag/2 {
		resumed = now
	}
	end := max(since, resumed) + c.EntryLag + c.ConfirmEvery
	if now > end+c.EntryLag {
		return 0, false
	}
	return max(end-now, c.ConfirmEvery/4), true
}

// Settles reports whether the process is of the version that the entry names. It is if it lived when
// the entries were last confirmed, and had served so long by then that it would have written another
// one. One that ended before may never have written its own: the entry may be that of the process
// before or after it.
func (c Config) Settles(e Entry, ev Evidence) bool {
	return e.ConfirmedAt <= ev.Until && c.wouldShow(e, ev.Since)
}
