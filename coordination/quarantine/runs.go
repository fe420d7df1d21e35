package quarantine

import "time"

// Ending is how a run ended.
type Ending int

const (
	// NotRun: the server did not accept the request.
	NotRun Ending = iota
	// Complete: the server sent its whole answer, of whatever status.
	Complete
	// Broken: the connection ended before the answer was complete.
	Broken
	// Cancelled: the router cancelled the run, because its caller disconnected or its deadline
	// passed.
	Cancelled
)

// Run is one send of a request to a server.
type Run struct {
	fp     Fingerprint
	server string
	ending Ending
	ended  bool
	// probe is set if the request was refused when it was sent.
	probe bool
	// endedAt is when the run ended; until suspectUntil a crash of its server counts against
	// the request.
	endedAt, suspectUntil time.Time
}

// IsProbe reports whether the request was refused when it was sent.
func (r *Run) IsProbe() bool { return r.probe }

// incarnation holds the runs in flight and the recently ended ones of one incarnation of a
// server.
type incarnation struct {
	runs  map[*Run]struct{}
	ended []*Run
	// lastResponse is when the server last answered any request.
	lastResponse time.Time
}

// survived reports whether the server is known to have stayed up for the given time after the
// run.
func (inc *incarnation) survived(r *Run, by time.Duration) bool {
	return inc.lastResponse.Sub(r.endedAt) >= by
}

// Prepare records that the request is about to be sent to the server. A crash does not count against
// it before Begin: its connection may not be open yet.
func (s *State) Prepare(fp Fingerprint, server string) *Run {
	r := &Run{fp: fp, server: server}
	if known := s.records[fp]; known != nil {
		r.probe = !known.refusedAt.IsZero()
	}
	s.inFlight[fp]++
	return r
}

// Begin records that the first byte of the request is being written.
func (s *State) Begin(r *Run) {
	inc := s.incarnations[r.server]
	if inc == nil {
		inc = &incarnation{runs: make(map[*Run]struct{})}
		s.incarnations[r.server] = inc
	}
	inc.runs[r] = struct{}{}
}

// End records how the run ended. Only the first call for a run counts.
func (s *State) End(now time.Time, r *Run, how Ending) {
	if r.ended {
		return
	}
	r.ended, r.ending, r.endedAt = true, how, now
	if s.inFlight[r.fp]--; s.inFlight[r.fp] <= 0 {
		delete(s.inFlight, r.fp)
	}
	if known := s.records[r.fp]; r.probe && how != NotRun && known != nil {
		known.probes++
	}
	inc := s.incarnations[r.server]
	if inc == nil {
		// The run never began, or the server crashed meanwhile, and the run was one of its suspects.
		return
	}
	delete(inc.runs, r)
	switch how {
	case NotRun:
		return
	case Broken:
		r.suspectUntil = now.Add(s.cfg.CrashConfirmTimeout)
	case Complete:
		inc.lastResponse = now
		r.suspectUntil = now.Add(s.cfg.Settle)
	default:
		r.suspectUntil = now.Add(s.cfg.Settle)
	}
	inc.ended = append(inc.ended, r)
}

// Gone records that the store no longer has an entry of this incarnation, or has one of a
// later incarnation, although the server had not announced its shutdown. This counts as a
// crash only if an answer of the server was interrupted: otherwise it may still be running.
func (s *State) Gone(now time.Time, server string) {
	inc := s.incarnations[server]
	if inc == nil {
		return
	}
	for _, r := range inc.ended {
		if r.ending == Broken && r.suspectUntil.After(now) {
			clear(inc.runs)
			s.Crash(now, server)
			return
		}
	}
}

// Alive records that the server answers or accepts connections: earlier interrupted answers
// were cut off by the network, unless the server crashes right after.
func (s *State) Alive(now time.Time, server string) {
	inc := s.incarnations[server]
	if inc == nil {
		return
	}
	inc.lastResponse = now
	for _, r := range inc.ended {
		if until := now.Add(s.cfg.Settle); r.ending == Broken && r.suspectUntil.After(until) {
			r.suspectUntil = until
		}
	}
}

// settleRuns clears the requests of completed runs that the server survived, and drops runs
// whose time is over.
func (s *State) settleRuns(now time.Time) {
	for server, inc := range s.incarnations {
		keep := inc.ended[:0]
		for _, r := range inc.ended {
			expired := !r.suspectUntil.After(now)
			switch {
			case r.ending == Complete && (expired || inc.survived(r, s.cfg.Outlive)):
				s.successes.add(r.fp, r.endedAt)
				s.clear(now, r.endedAt.Add(s.cfg.SuccessTTL), r.fp, BySuccess)
			case !expired:
				keep = append(keep, r)
			}
		}
		clear(inc.ended[len(keep):])
		inc.ended = keep
		if len(inc.ended) == 0 && len(inc.runs) == 0 {
			delete(s.incarnations, server)
		}
	}
}

// suspects returns the requests that were running at the server, except those known to be
// harmless.
func (s *State) suspects(now time.Time, server string) map[Fingerprint]struct{} {
	inc := s.incarnations[server]
	if inc == nil {
		return nil
	}
	out := make(map[Fingerprint]struct{})
	add := func(fp Fingerprint) {
		if len(out) < s.cfg.MaxSuspects && !s.successes.since(fp, now.Add(-s.cfg.SuccessTTL)) {
			out[fp] = struct{}{}
		}
	}
	// Runs in flight and interrupted ones come first, as they are the likeliest cause.
	for r := range inc.runs {
		add(r.fp)
	}
	for _, r := range inc.ended {
		if r.ending == Broken && r.suspectUntil.After(now) {
			add(r.fp)
		}
	}
	for _, r := range inc.ended {
		if r.ending != Broken && r.suspectUntil.After(now) && !inc.survived(r, s.cfg.Outlive) {
			add(r.fp)
		}
	}
	return out
}

// successList holds the times of the latest successful runs, for a limited number of requests.
type successList struct {
	at   map[Fingerprint]time.Time
	ring []Fingerprint
	next int
}

func newSuccessList(capacity int) successList {
	return successList{at: make(map[Fingerprint]time.Time), ring: make([]Fingerprint, capacity)}
}

// add records a successful run at the given time.
func (l *successList) add(fp Fingerprint, at time.Time) {
	if _, known := l.at[fp]; !known {
		delete(l.at, l.ring[l.next])
		l.ring[l.next] = fp
		l.next = (l.next + 1) % len(l.ring)
	}
	l.at[fp] = at
}

// last returns when the request last ran successfully, or the zero time if that is not known.
func (l *successList) last(fp Fingerprint) time.Time { return l.at[fp] }

// since reports whether the request ran successfully at or after the given time.
func (l *successList) since(fp Fingerprint, from time.Time) bool {
	at, known := l.at[fp]
	return known && !at.Before(from)
}
