package quarantine

import (
	"slices"
	"time"
)

// CrashReport tells which contents ran at a server that crashed.
type CrashReport struct {
	Server   string
	Age      time.Duration
	Suspects []Fingerprint
}

// HeldReport tells that a content is refused, since when and why.
type HeldReport struct {
	Content Fingerprint
	Age     time.Duration
	// Trials is the number of sends that were allowed since.
	Trials  int
	Reasons []StrikeReport
}

// StrikeReport is one crash that a content is refused for.
type StrikeReport struct {
	Server string
	Age    time.Duration
}

// ClearedReport tells up to how long ago crashes do not count against a content;
// the age is negative where the content is known to be sound.
type ClearedReport struct {
	Content Fingerprint
	Age     time.Duration
}

// Report is what a router tells the others. Times are ages, so that no clocks are
// compared.
type Report struct {
	Crashes []CrashReport
	Held    []HeldReport
	Cleared []ClearedReport
}

// Bounds of a report, so that it fits one packet of 1,400 bytes, and of the
// reports of one telling.
const (
	reportBytes   = 1200
	reportsAtOnce = 8
	// suspectsTogether and reasonsTold bound one part of a report.
	suspectsTogether = 64
	reasonsTold      = 5
	// heldTogether is the number of refused contents in one telling; the others
	// come with later ones.
	heldTogether = 64
	// Sizes of the parts, about as they are written, in bytes.
	crashBytes       = 8
	fingerprintBytes = 8
	heldBytes        = 16
	reasonBytes      = 6
	clearedBytes     = 12
)

// news is what was not told yet.
type news struct {
	crashes       []*crash
	held, cleared []Fingerprint
}

func (n *news) add(c *crash) {
	if !slices.Contains(n.crashes, c) {
		n.crashes = append(n.crashes, c)
	}
}

func (n *news) remove(c *crash) {
	n.crashes = slices.DeleteFunc(n.crashes, func(other *crash) bool { return other == c })
}

// HasNews reports whether there is something to tell at once.
func (s *State) HasNews() bool {
	return len(s.news.crashes) > 0 || len(s.news.held) > 0 || len(s.news.cleared) > 0
}

// News returns what is new, for all others at once.
func (s *State) News(now time.Time) []Report {
	var p packer
	for _, c := range s.news.crashes {
		s.packCrash(&p, now, c, s.ownSuspects(c))
	}
	for _, content := range s.news.held {
		s.packHeld(&p, now, content)
	}
	for _, content := range s.news.cleared {
		s.packCleared(&p, now, content)
	}
	s.news = news{}
	return p.done()
}

// Standing returns what is told again and again, for those who missed it or
// started since: what is new to this router, what speaks against contents that
// met several crashes, and what is refused.
func (s *State) Standing(now time.Time) []Report {
	var p packer
	for _, c := range s.order {
		if c.own && now.Sub(c.at) <= s.cfg.News {
			s.packCrash(&p, now, c, s.ownSuspects(c))
		}
	}
	s.packRepeated(&p, now)
	s.packLasting(&p, now)
	return p.done()
}

// packRepeated tells the crashes of contents that met several, whoever saw them.
func (s *State) packRepeated(p *packer, now time.Time) {
	repeated := make(map[*crash][]Fingerprint)
	for content, r := range s.records {
		if len(r.crashes) < strikesAlone || !r.held.IsZero() {
			continue
		}
		for _, c := range s.counted(r) {
			if !c.own || now.Sub(c.at) > s.cfg.News {
				repeated[c] = append(repeated[c], content)
			}
		}
	}
	for _, c := range s.order {
		if contents := repeated[c]; len(contents) > 0 {
			s.packCrash(p, now, c, contents)
		}
	}
}

// packLasting tells what is refused, and what was cleared just now.
func (s *State) packLasting(p *packer, now time.Time) {
	refused := s.List()
	for i := range min(len(refused), heldTogether) {
		s.packHeld(p, now, refused[(s.turn+i)%len(refused)].Content)
	}
	s.turn += heldTogether
	for content, r := range s.records {
		if r.clearedHere && now.Sub(r.cleared) <= s.cfg.News {
			s.packCleared(p, now, content)
		}
	}
}

// ownSuspects are the contents that this router named.
func (s *State) ownSuspects(c *crash) []Fingerprint {
	out := make([]Fingerprint, 0, len(c.suspects))
	for content, tellers := range c.suspects {
		if slices.Contains(tellers, s.self) {
			out = append(out, content)
		}
	}
	slices.Sort(out)
	return out
}

func (s *State) packCrash(p *packer, now time.Time, c *crash, contents []Fingerprint) {
	for first := true; first || len(contents) > 0; first = false {
		n := min(len(contents), suspectsTogether)
		p.room(crashBytes + len(c.server) + n*fingerprintBytes)
		p.report.Crashes = append(p.report.Crashes, CrashReport{Server: c.server, Age: now.Sub(c.at), Suspects: contents[:n]})
		contents = contents[n:]
	}
}

func (s *State) packHeld(p *packer, now time.Time, content Fingerprint) {
	r := s.records[content]
	if r == nil || r.held.IsZero() {
		return
	}
	one := HeldReport{Content: content, Age: now.Sub(r.held), Trials: r.trials}
	size := heldBytes
	for _, strike := range r.reasons[:min(len(r.reasons), reasonsTold)] {
		one.Reasons = append(one.Reasons, StrikeReport{Server: strike.Server, Age: now.Sub(strike.At)})
		size += reasonBytes + len(strike.Server)
	}
	p.room(size)
	p.report.Held = append(p.report.Held, one)
}

func (s *State) packCleared(p *packer, now time.Time, content Fingerprint) {
	r := s.records[content]
	if r == nil || r.cleared.IsZero() {
		return
	}
	p.room(clearedBytes)
	p.report.Cleared = append(p.report.Cleared, ClearedReport{Content: content, Age: now.Sub(r.cleared)})
}

// packer fills reports.
type packer struct {
	report Report
	used   int
	full   []Report
}

// room begins a further report when the current one cannot take the bytes.
func (p *packer) room(bytes int) {
	if p.used > 0 && p.used+bytes > reportBytes {
		p.full = append(p.full, p.report)
		p.report, p.used = Report{}, 0
	}
	p.used += bytes
}

// done returns the reports, up to their greatest number: what is beyond it in a storm
// of crashes is told by other routers, or not at all.
func (p *packer) done() []Report {
	if p.used > 0 {
		p.full = append(p.full, p.report)
	}
	return p.full[:min(len(p.full), reportsAtOnce)]
}

// Told takes another router's report.
func (s *State) Told(now time.Time, router string, report Report) {
	for _, one := range report.Cleared {
		s.clear(now, now.Add(-one.Age), one.Content, ByPeer)
	}
	for _, one := range report.Crashes {
		if one.Age > s.cfg.Memory {
			continue
		}
		s.learn(now, s.crash(now.Add(-one.Age), one.Server), router, s.unvouched(now, one))
	}
	for _, one := range report.Held {
		s.toldHeld(now, router, one)
	}
}

// unvouched leaves out what this router knows to be sound, and tells that.
func (s *State) unvouched(now time.Time, one CrashReport) []Fingerprint {
	return slices.DeleteFunc(slices.Clone(one.Suspects), func(content Fingerprint) bool {
		return s.vouch(now, now.Add(-one.Age), content)
	})
}

// vouch tells the others that the content was sound at the time, if it ran well here
// shortly before. It reports whether it did.
func (s *State) vouch(now, at time.Time, content Fingerprint) bool {
	until := s.sound.last(content).Add(s.cfg.SoundFor)
	if until.Before(at) {
		return false
	}
	r := s.record(content)
	before := r.cleared
	s.clear(now, until, content, BySuccess)
	if r.cleared.After(before) && !slices.Contains(s.news.cleared, content) {
		s.news.cleared = append(s.news.cleared, content)
	}
	return true
}

// heldSkew is by how much routers may differ on since when a content is refused:
// each judges when it hears of the last crash.
const heldSkew = 2 * time.Second

// toldHeld refuses what another router refuses, unless it was cleared since.
func (s *State) toldHeld(now time.Time, router string, one HeldReport) {
	since := now.Add(-one.Age)
	if s.vouch(now, since, one.Content) {
		return
	}
	r := s.records[one.Content]
	if r != nil && !r.cleared.IsZero() && !since.After(r.cleared.Add(heldSkew)) {
		return
	}
	r = s.record(one.Content)
	if r.held.IsZero() {
		s.hold(now, since, one.Content, r, ByPeer, told(now, router, one.Reasons))
	}
	// They explain these crashes for who begins, too.
	s.learnReasons(now, one.Content, router, told(now, router, one.Reasons))
	// The earlier time and the greater number hold, so that trials are alike
	// everywhere.
	if since.Before(r.held) {
		r.held = since
	}
	r.trials = max(r.trials, one.Trials)
}

// told are the reasons by another router's word.
func told(now time.Time, router string, reasons []StrikeReport) []Strike {
	out := make([]Strike, 0, len(reasons))
	for _, reason := range reasons {
		out = append(out, Strike{Server: reason.Server, At: now.Add(-reason.Age), Told: []string{router}})
	}
	slices.SortFunc(out, func(a, b Strike) int { return a.At.Compare(b.At) })
	return out
}
