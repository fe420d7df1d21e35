package quarantine

import (
	"slices"
	"time"
)

// crash is one end of a server, by all that is known of it in the fleet.
type crash struct {
	server string
	at     time.Time
	// suspects are the contents that ran there, with the routers that said so.
	suspects map[Fingerprint][]string
	// explained tells that a refused request ran there: the others did not do it.
	explained bool
	// own tells that this router saw it.
	own bool
}

// Crash notes that the incarnation of a server ended without having announced it,
// by this router's own observation.
func (s *State) Crash(now time.Time, server string) {
	suspects := s.suspects(now, server)
	_, known := s.crashes[server]
	delete(s.hosts, server)
	if known && len(suspects) == 0 {
		return
	}
	if !known {
		s.emit(Event{Kind: Crashed, Server: server, Suspects: len(suspects)})
	}
	c := s.crash(now, server)
	c.own = true
	contents := make([]Fingerprint, 0, len(suspects))
	for content := range suspects {
		contents = append(contents, content)
	}
	s.learn(now, c, s.self, contents)
	s.news.add(c)
}

// crash returns what is known of the server's end, which was at the time by this
// word; of several the earliest holds.
func (s *State) crash(at time.Time, server string) *crash {
	c := s.crashes[server]
	if c == nil {
		c = &crash{server: server, at: at, suspects: make(map[Fingerprint][]string)}
		s.crashes[server] = c
		s.order = append(s.order, c)
		if len(s.order) > s.cfg.MostCrashes {
			s.drop(s.order[0])
			s.order = s.order[1:]
		}
		return c
	}
	if at.Before(c.at) {
		c.at = at
	}
	return c
}

// learn adds contents that ran there by the router's word, and judges them anew.
func (s *State) learn(now time.Time, c *crash, router string, contents []Fingerprint) {
	var added []Fingerprint
	for _, content := range contents {
		tellers, known := c.suspects[content]
		if !known && len(c.suspects) >= s.cfg.MostSuspects {
			continue
		}
		if !slices.Contains(tellers, router) {
			c.suspects[content] = append(tellers, router)
		}
		if known {
			continue
		}
		r := s.record(content)
		r.crashes = append(r.crashes, c)
		if !r.held.IsZero() {
			c.explained = true
		}
		added = append(added, content)
	}
	for _, content := range added {
		s.consider(now, content)
	}
	s.judgeDue(now)
}

// learnReasons adds that the refused content ran where it is refused for.
func (s *State) learnReasons(now time.Time, content Fingerprint, router string, reasons []Strike) {
	for _, reason := range reasons {
		c := s.crashes[reason.Server]
		if now.Sub(reason.At) > s.cfg.Memory || c == nil && len(s.order) >= s.cfg.MostCrashes {
			continue
		}
		if c == nil {
			c = s.crash(reason.At, reason.Server)
		}
		if c.suspects[content] == nil {
			s.learn(now, c, router, []Fingerprint{content})
		}
	}
}

func (s *State) record(content Fingerprint) *record {
	r := s.records[content]
	if r == nil {
		r = &record{}
		s.records[content] = r
	}
	return r
}

// clear forgets what speaks against the content up to the time.
func (s *State) clear(now, at time.Time, content Fingerprint, cause Cause) {
	r := s.records[content]
	if r == nil || !at.After(r.cleared) {
		return
	}
	counts := len(s.counted(r)) > 0 || !r.held.IsZero()
	r.cleared, r.clearedHere = at, cause != ByPeer
	if !r.held.IsZero() {
		if r.held.After(at) {
			// The word of others that it is refused since then must not come back.
			r.cleared = r.held
		}
		r.held, r.reasons = time.Time{}, nil
		delete(s.held, content)
		for _, c := range r.crashes {
			c.explained = s.hasHeld(c)
		}
	}
	if !counts {
		return
	}
	s.emit(Event{Kind: Cleared, Content: content, Cause: cause})
	if r.clearedHere {
		s.news.cleared = append(s.news.cleared, content)
	}
	for _, c := range r.crashes {
		for other := range c.suspects {
			// One that was only a tie away from being refused has no rival now.
			s.consider(now, other)
		}
	}
}

func (s *State) hasHeld(c *crash) bool {
	for content := range c.suspects {
		if s.held[content] != nil {
			return true
		}
	}
	return false
}

// forget drops crashes that are too old, and what they said of contents.
func (s *State) forget(now time.Time) {
	for len(s.order) > 0 && now.Sub(s.order[0].at) > s.cfg.Memory {
		s.drop(s.order[0])
		s.order = s.order[1:]
	}
	for content, r := range s.records {
		if len(r.crashes) == 0 && r.held.IsZero() && now.Sub(r.cleared) > s.cfg.Memory {
			delete(s.records, content)
		}
	}
}

func (s *State) drop(c *crash) {
	delete(s.crashes, c.server)
	s.news.remove(c)
	for content := range c.suspects {
		r := s.records[content]
		r.crashes = slices.DeleteFunc(r.crashes, func(other *crash) bool { return other == c })
		if len(r.crashes) == 0 && r.held.IsZero() && r.cleared.IsZero() {
			delete(s.records, content)
		}
	}
}

func (s *State) dropOldestHeld() {
	var oldest Fingerprint
	var since time.Time
	for content, r := range s.held {
		if since.IsZero() || r.held.Before(since) {
			oldest, since = content, r.held
		}
	}
	r := s.held[oldest]
	r.held, r.reasons = time.Time{}, nil
	delete(s.held, oldest)
	if len(r.crashes) == 0 {
		delete(s.records, oldest)
	}
}

func (s *State) emit(e Event) { s.events = append(s.events, e) }
