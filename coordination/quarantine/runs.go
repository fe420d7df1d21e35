package quarantine

import "time"

// Ending is how a run ended.
type Ending int

// Endings of a run.
const (
	// NotRun: the server did not take the request.
	NotRun Ending = iota
	// Complete: the server gave its whole answer, of whatever status.
	Complete
	// Broken: the connection ended before the answer was whole.
	Broken
	// Left: the router ended it, as its caller left or its time was over.
	Left
)

// Run is one send of a request to a server.
type Run struct {
	content Fingerprint
	server  string
	ending  Ending
	ended   bool
	// trial tells that the content was refused when it was sent.
	trial bool
	// at is when it ended, and until how long a crash of its server counts.
	at, until time.Time
}

// host is what runs, or ran just now, at one incarnation of a server.
type host struct {
	runs map[*Run]struct{}
	past []*Run
	// alive is when it last answered anybody.
	alive time.Time
}

// outlived reports whether the server is known to have outlived the run.
func (h *host) outlived(r *Run, by time.Duration) bool { return h.alive.Sub(r.at) >= by }

// Begin notes that the request is sent to the server.
func (s *State) Begin(content Fingerprint, server string) *Run {
	h := s.hosts[server]
	if h == nil {
		h = &host{runs: make(map[*Run]struct{})}
		s.hosts[server] = h
	}
	r := &Run{content: content, server: server}
	if known := s.records[content]; known != nil {
		r.trial = !known.held.IsZero()
	}
	h.runs[r] = struct{}{}
	s.inFlight[content]++
	return r
}

// End notes how the run ended. Only its first end counts.
func (s *State) End(now time.Time, r *Run, how Ending) {
	if r.ended {
		return
	}
	r.ended, r.ending, r.at = true, how, now
	if s.inFlight[r.content]--; s.inFlight[r.content] <= 0 {
		delete(s.inFlight, r.content)
	}
	if known := s.records[r.content]; r.trial && how != NotRun && known != nil {
		known.trials++
	}
	h := s.hosts[r.server]
	if h == nil {
		// Its server crashed meanwhile, and the run counted as one of its.
		return
	}
	delete(h.runs, r)
	switch how {
	case NotRun:
		return
	case Broken:
		r.until = now.Add(s.cfg.Doubt)
	case Complete:
		h.alive = now
		r.until = now.Add(s.cfg.Settle)
	default:
		r.until = now.Add(s.cfg.Settle)
	}
	h.past = append(h.past, r)
}

// Gone notes that the store has no entry of the server any more, or one of a later
// incarnation, though it had not announced that it leaves. Only answers that broke
// off there tell that it crashed: others may still run.
func (s *State) Gone(now time.Time, server string) {
	h := s.hosts[server]
	if h == nil {
		return
	}
	for _, r := range h.past {
		if r.ending == Broken && r.until.After(now) {
			clear(h.runs)
			s.Crash(now, server)
			return
		}
	}
}

// Alive notes that the server answers or takes connections: what broke off before was
// cut on its way, unless it crashes right now.
func (s *State) Alive(now time.Time, server string) {
	h := s.hosts[server]
	if h == nil {
		return
	}
	h.alive = now
	for _, r := range h.past {
		if until := now.Add(s.cfg.Settle); r.ending == Broken && r.until.After(until) {
			r.until = until
		}
	}
}

// settle looks at runs whose servers outlived them.
func (s *State) settle(now time.Time) {
	for server, h := range s.hosts {
		keep := h.past[:0]
		for _, r := range h.past {
			past := !r.until.After(now)
			switch {
			case r.ending == Complete && (past || h.outlived(r, s.cfg.Outlive)):
				s.sound.add(r.content, r.at)
				s.clear(now, r.at.Add(s.cfg.SoundFor), r.content, BySuccess)
			case !past:
				keep = append(keep, r)
			}
		}
		clear(h.past[len(keep):])
		h.past = keep
		if len(h.past) == 0 && len(h.runs) == 0 {
			delete(s.hosts, server)
		}
	}
}

// suspects returns the contents that ran at the server, but those that are known
// to be sound.
func (s *State) suspects(now time.Time, server string) map[Fingerprint]struct{} {
	h := s.hosts[server]
	if h == nil {
		return nil
	}
	out := make(map[Fingerprint]struct{})
	add := func(content Fingerprint) {
		if len(out) < s.cfg.MostSuspects && !s.sound.since(content, now.Add(-s.cfg.SoundFor)) {
			out[content] = struct{}{}
		}
	}
	// Those that broke off come first, as they are the likeliest.
	for r := range h.runs {
		add(r.content)
	}
	for _, r := range h.past {
		if r.ending == Broken && r.until.After(now) {
			add(r.content)
		}
	}
	for _, r := range h.past {
		if r.ending != Broken && r.until.After(now) && !h.outlived(r, s.cfg.Outlive) {
			add(r.content)
		}
	}
	return out
}

// soundList holds the contents that ran well last, a bounded number.
type soundList struct {
	at   map[Fingerprint]time.Time
	ring []Fingerprint
	next int
}

func newSoundList(most int) soundList {
	return soundList{at: make(map[Fingerprint]time.Time), ring: make([]Fingerprint, most)}
}

// add notes that the content ran well at the time.
func (l *soundList) add(content Fingerprint, at time.Time) {
	if _, known := l.at[content]; !known {
		delete(l.at, l.ring[l.next])
		l.ring[l.next] = content
		l.next = (l.next + 1) % len(l.ring)
	}
	l.at[content] = at
}

// last returns when the content ran well last; the zero time when that is not
// known.
func (l *soundList) last(content Fingerprint) time.Time { return l.at[content] }

// since reports whether the content ran well at or after the time.
func (l *soundList) since(content Fingerprint, from time.Time) bool {
	at, known := l.at[content]
	return known && !at.Before(from)
}
