package partquarantine

import (
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/quarantine"
)

// Run is one send of a request with shared prefixes to a server.
type Run struct {
	server, service string
	prefixes        []admission.Prefix
	begunAt         time.Time
	endedAt         time.Time
	ending          quarantine.Ending
	ended, settled  bool
	isolated        bool
	// shownAt is when the run was last counted as one that survives.
	shownAt time.Time
	group   *group
	probes  []*refusal
}

// serverRuns holds the runs at one incarnation of a server.
type serverRuns struct {
	runs map[*Run]struct{}
	// lastAnswer is when the server last answered any request.
	lastAnswer time.Time
}

// Prepare records that a request is about to be sent to the server; nil if it has no shared prefixes. A
// crash does not count against its parts before Begin: its connection may not be open yet.
func (s *State) Prepare(server, service string, prefixes []admission.Prefix) *Run {
	if len(prefixes) == 0 {
		return nil
	}
	r := &Run{server: server, service: service, prefixes: prefixes}
	if !s.isIdle() {
		s.markSuspect(r)
	}
	return r
}

// Begin records that the first byte of the request is being written.
func (s *State) Begin(r *Run) {
	if r == nil {
		return
	}
	at := s.servers[r.server]
	if at == nil {
		at = &serverRuns{runs: make(map[*Run]struct{})}
		s.servers[r.server] = at
	}
	at.runs[r] = struct{}{}
}

// markSuspect counts the run with its group, and as a probe.
func (s *State) markSuspect(r *Run) {
	parts := s.partsOf(r.service, r.prefixes)
	if key, found := s.groupOf(parts); found {
		r.isolated, r.group = true, s.group(key, parts)
		r.group.inFlight++
	}
	for _, one := range s.refusals {
		has := countIn(one.parts, parts)
		if has == 0 {
			continue
		}
		if has < len(one.parts) {
			one.partial++
		} else {
			one.probes++
		}
		one.inFlight++
		r.probes = append(r.probes, one)
		s.unsent.refusals = append(s.unsent.refusals, one)
	}
}

// Probing returns the refused parts that the run probes; none for a nil run.
func (r *Run) Probing() []Part {
	if r == nil {
		return nil
	}
	var out []Part
	for _, one := range r.probes {
		out = append(out, one.parts...)
	}
	return out
}

// settle records that it is known whether the run survived, or that it did not run.
func (s *State) settle(r *Run) {
	if r.settled {
		return
	}
	r.settled = true
	if r.group != nil {
		r.group.inFlight--
	}
	for _, one := range r.probes {
		one.inFlight--
	}
}

// Answered records that a successful answer to the run has started.
func (s *State) Answered(now time.Time, r *Run) {
	if r != nil && r.begunAt.IsZero() {
		r.begunAt = now
	}
}

// Alive records that the server answers or accepts connections: earlier interrupted answers were
// cut off by the network, unless it crashes right after.
func (s *State) Alive(now time.Time, server string) {
	at := s.servers[server]
	if at == nil {
		return
	}
	at.lastAnswer = now
}

// Gone records that the store has no entry of the server any more, although it had not announced
// its shutdown. This counts as a crash only if an answer was interrupted.
func (s *State) Gone(now time.Time, server string) {
	at := s.servers[server]
	if at == nil {
		return
	}
	for r := range at.runs {
		if r.ended && r.ending == quarantine.Broken && now.Before(s.expires(at, r)) {
			s.Crash(now, server)
			return
		}
	}
}

// End records how the run ended. Only the first call counts.
func (s *State) End(now time.Time, r *Run, how quarantine.Ending) {
	if r == nil || r.ended {
		return
	}
	r.ended, r.endedAt, r.ending = true, now, how
	at := s.servers[r.server]
	switch {
	case how == quarantine.NotRun:
		s.settle(r)
		s.forget(r)
	case how == quarantine.Complete && at != nil:
		at.lastAnswer = now
	}
}

// forget drops a run that no crash of its server may count against any more.
func (s *State) forget(r *Run) {
	at := s.servers[r.server]
	if at == nil {
		return
	}
	delete(at.runs, r)
	if len(at.runs) == 0 {
		delete(s.servers, r.server)
	}
}

// survives reports whether the run is known to have crashed nothing.
func (s *State) survives(now time.Time, at *serverRuns, r *Run) bool {
	switch {
	case r.begunAt.IsZero():
		return false
	case at.lastAnswer.Sub(r.begunAt) >= s.cfg.Survival:
		return true
	case !r.ended || r.ending != quarantine.Complete:
		return false
	default:
		return at.lastAnswer.Sub(r.endedAt) >= s.cfg.Outlive || now.Sub(r.endedAt) >= s.cfg.Settle
	}
}

// isDoubtful reports whether the run had been answered for so long that it hardly crashed its server.
func (s *State) isDoubtful(at *serverRuns, r *Run) bool {
	return !r.begunAt.IsZero() && at.lastAnswer.Sub(r.begunAt) >= s.cfg.Doubt
}

// expires returns until when a run that has ended is kept.
func (s *State) expires(at *serverRuns, r *Run) time.Time {
	if r.ending == quarantine.Broken && !at.lastAnswer.After(r.endedAt) {
		return r.endedAt.Add(s.cfg.CrashConfirmTimeout)
	}
	return r.endedAt.Add(s.cfg.Settle)
}

// Crash records that this router knows that the server ended without having announced it.
func (s *State) Crash(now time.Time, server string) {
	at := s.servers[server]
	if at == nil {
		return
	}
	delete(s.servers, server)
	s.clearSurvivors(now)
	var found []runParts
	for r := range at.runs {
		s.settle(r)
		if s.survives(now, at, r) {
			s.countSurvivor(now, r)
			continue
		}
		found = append(found, runParts{parts: s.partsOf(r.service, r.prefixes), isolated: r.isolated, doubtful: s.isDoubtful(at, r), own: true})
	}
	c := s.crash(now, server)
	c.observedHere = true
	s.addRuns(c, found)
	s.unsent.addCrash(c)
	s.refresh(now)
}

// Tick clears, judges and drops what is due. It must be called several times a second.
func (s *State) Tick(now time.Time) {
	if !s.isIdle() {
		s.clearSurvivors(now)
	}
	for _, at := range s.servers {
		for r := range at.runs {
			if r.ended && !now.Before(s.expires(at, r)) {
				s.settle(r)
				s.forget(r)
			}
		}
	}
	s.expire(now)
	s.refresh(now)
}
