package quarantine

import (
	"slices"
	"time"
)

// crash is the crash of a server, merged from all reports of the fleet.
type crash struct {
	server string
	at     time.Time
	// suspects maps the requests that were running there to the routers that reported them.
	suspects map[Fingerprint][]string
	// explained is set if a refused request was running there, or if Explain named it: the crash does
	// not count against the others.
	explained bool
	// explainedByOther is set if Explain named it.
	explainedByOther bool
	// observedHere is set if this router observed the crash itself.
	observedHere bool
}

// Crash records that this router observed the incarnation of a server end without having
// announced its shutdown.
func (s *State) Crash(now time.Time, server string) {
	suspects := s.suspects(now, server)
	_, known := s.crashes[server]
	delete(s.incarnations, server)
	if known && len(suspects) == 0 {
		return
	}
	if !known {
		s.emit(Event{Kind: Crashed, Server: server, Suspects: len(suspects)})
	}
	c := s.crash(now, server)
	c.observedHere = true
	fps := make([]Fingerprint, 0, len(suspects))
	for fp := range suspects {
		fps = append(fps, fp)
	}
	s.addSuspects(now, c, s.self, fps)
	s.unsent.add(c)
}

// crash returns the crash of the server, adding it if necessary; of several reported times the
// earliest wins.
func (s *State) crash(at time.Time, server string) *crash {
	c := s.crashes[server]
	if c == nil {
		c = &crash{server: server, at: at, suspects: make(map[Fingerprint][]string)}
		s.crashes[server] = c
		s.crashOrder = append(s.crashOrder, c)
		if len(s.crashOrder) > s.cfg.MaxCrashes {
			s.removeCrash(s.crashOrder[0])
			s.crashOrder = s.crashOrder[1:]
		}
		return c
	}
	if at.Before(c.at) {
		c.at = at
	}
	return c
}

// addSuspects adds requests that were running there according to the router, and schedules
// their judgement.
func (s *State) addSuspects(now time.Time, c *crash, router string, fps []Fingerprint) {
	var added []Fingerprint
	for _, fp := range fps {
		reporters, known := c.suspects[fp]
		if !known && len(c.suspects) >= s.cfg.MaxSuspects {
			continue
		}
		if !slices.Contains(reporters, router) {
			c.suspects[fp] = append(reporters, router)
		}
		if known {
			continue
		}
		r := s.record(fp)
		r.crashes = append(r.crashes, c)
		if !r.refusedAt.IsZero() {
			c.explained = true
		}
		added = append(added, fp)
	}
	for _, fp := range added {
		s.scheduleJudgement(now, fp)
	}
	s.judgeDue(now)
}

// addReasons adds the refused request to the suspects of the crashes that its refusal is based
// on.
func (s *State) addReasons(now time.Time, fp Fingerprint, router string, reasons []Strike) {
	for _, reason := range reasons {
		c := s.crashes[reason.Server]
		if now.Sub(reason.At) > s.cfg.CrashTTL || c == nil && len(s.crashOrder) >= s.cfg.MaxCrashes {
			continue
		}
		if c == nil {
			c = s.crash(reason.At, reason.Server)
		}
		if c.suspects[fp] == nil {
			s.addSuspects(now, c, router, []Fingerprint{fp})
		}
	}
}

func (s *State) record(fp Fingerprint) *record {
	r := s.records[fp]
	if r == nil {
		r = &record{}
		s.records[fp] = r
	}
	return r
}

// clear discards the crashes up to the given time that count against the request.
func (s *State) clear(now, at time.Time, fp Fingerprint, cause Cause) {
	r := s.records[fp]
	if r == nil || !at.After(r.clearedAt) {
		return
	}
	counted := len(s.countedCrashes(r)) > 0 || !r.refusedAt.IsZero()
	r.clearedAt, r.clearedLocally = at, cause != ByPeer
	if !r.refusedAt.IsZero() {
		if r.refusedAt.After(at) {
			// Reports of others that the request is refused since then must not refuse it
			// again.
			r.clearedAt = r.refusedAt
		}
		r.refusedAt, r.reasons = time.Time{}, nil
		delete(s.refused, fp)
		for _, c := range r.crashes {
			c.explained = c.explainedByOther || s.hasRefused(c)
		}
	}
	if !counted {
		return
	}
	s.emit(Event{Kind: Cleared, Content: fp, Cause: cause})
	if r.clearedLocally {
		s.unsent.cleared = append(s.unsent.cleared, fp)
	}
	for _, c := range r.crashes {
		for other := range c.suspects {
			// A request that was not refused only because of a tie may have no rival now.
			s.scheduleJudgement(now, other)
		}
	}
}

func (s *State) hasRefused(c *crash) bool {
	for fp := range c.suspects {
		if s.refused[fp] != nil {
			return true
		}
	}
	return false
}

// expire drops crashes that are too old, and the records that depend on them.
func (s *State) expire(now time.Time) {
	for len(s.crashOrder) > 0 && now.Sub(s.crashOrder[0].at) > s.cfg.CrashTTL {
		s.removeCrash(s.crashOrder[0])
		s.crashOrder = s.crashOrder[1:]
	}
	for fp, r := range s.records {
		if len(r.crashes) == 0 && r.refusedAt.IsZero() && now.Sub(r.clearedAt) > s.cfg.CrashTTL {
			delete(s.records, fp)
		}
	}
}

func (s *State) removeCrash(c *crash) {
	delete(s.crashes, c.server)
	s.unsent.remove(c)
	for fp := range c.suspects {
		r := s.records[fp]
		r.crashes = slices.DeleteFunc(r.crashes, func(other *crash) bool { return other == c })
		if len(r.crashes) == 0 && r.refusedAt.IsZero() && r.clearedAt.IsZero() {
			delete(s.records, fp)
		}
	}
}

func (s *State) evictOldestRefusal() {
	var oldest Fingerprint
	var since time.Time
	for fp, r := range s.refused {
		if since.IsZero() || r.refusedAt.Before(since) {
			oldest, since = fp, r.refusedAt
		}
	}
	r := s.refused[oldest]
	r.refusedAt, r.reasons = time.Time{}, nil
	delete(s.refused, oldest)
	if len(r.crashes) == 0 {
		delete(s.records, oldest)
	}
}

func (s *State) emit(e Event) { s.events = append(s.events, e) }
