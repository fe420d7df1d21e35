package quarantine

import (
	"slices"
	"time"
)

// CrashReport lists the requests that were running at a server that crashed.
type CrashReport struct {
	Server   string
	Age      time.Duration
	Suspects []Fingerprint
}

// RefusalReport states that a request is refused, since when and why.
type RefusalReport struct {
	Content Fingerprint
	Age     time.Duration
	// Trials is the number of probe requests since the refusals started.
	Trials  int
	Reasons []StrikeReport
}

// StrikeReport is one crash that a refusal is based on.
type StrikeReport struct {
	Server string
	Age    time.Duration
}

// ClearedReport states up to how long ago crashes do not count against a request; the age is
// negative if the request is known to be harmless for some time to come.
type ClearedReport struct {
	Content Fingerprint
	Age     time.Duration
}

// Report is a message from one router to the others. Times are sent as ages, so that clocks
// need not be synchronized.
type Report struct {
	Crashes  []CrashReport
	Refusals []RefusalReport
	Cleared  []ClearedReport
}

// Limits of a report, so that it fits one packet of 1,400 bytes, and of the number of reports
// sent at once.
const (
	maxReportBytes = 1200
	maxReports     = 8
	// maxReportSuspects and maxReportReasons limit one entry of a report.
	maxReportSuspects = 64
	maxReportReasons  = 5
	// refusalsPerRound is the number of refusals in one periodic report; the others follow in
	// later ones.
	refusalsPerRound = 64
	// Approximate encoded sizes of the entries, in bytes.
	crashBytes       = 8
	fingerprintBytes = 8
	refusalBytes     = 16
	reasonBytes      = 6
	clearedBytes     = 12
)

// unsentChanges is what has not been reported yet.
type unsentChanges struct {
	crashes          []*crash
	refused, cleared []Fingerprint
}

func (n *unsentChanges) add(c *crash) {
	if !slices.Contains(n.crashes, c) {
		n.crashes = append(n.crashes, c)
	}
}

func (n *unsentChanges) remove(c *crash) {
	n.crashes = slices.DeleteFunc(n.crashes, func(other *crash) bool { return other == c })
}

// HasUnsent reports whether there are changes to report at once.
func (s *State) HasUnsent() bool {
	return len(s.unsent.crashes) > 0 || len(s.unsent.refused) > 0 || len(s.unsent.cleared) > 0
}

// UnsentReports returns the unsent changes, to be sent to all other routers at once.
func (s *State) UnsentReports(now time.Time) []Report {
	var p packer
	for _, c := range s.unsent.crashes {
		s.packCrash(&p, now, c, s.observedSuspects(c))
	}
	for _, fp := range s.unsent.refused {
		s.packRefusal(&p, now, fp)
	}
	for _, fp := range s.unsent.cleared {
		s.packCleared(&p, now, fp)
	}
	s.unsent = unsentChanges{}
	return p.done()
}

// PeriodicReports returns what is reported periodically, for routers that missed it or started
// since: what this router observed recently, what counts against requests with several
// crashes, and what is refused.
func (s *State) PeriodicReports(now time.Time) []Report {
	var p packer
	for _, c := range s.crashOrder {
		if c.observedHere && now.Sub(c.at) <= s.cfg.ResendFor {
			s.packCrash(&p, now, c, s.observedSuspects(c))
		}
	}
	s.packRepeatedSuspects(&p, now)
	s.packRefusedAndCleared(&p, now)
	return p.done()
}

// packRepeatedSuspects adds the crashes of requests that ran during several, whichever router
// observed them.
func (s *State) packRepeatedSuspects(p *packer, now time.Time) {
	repeated := make(map[*crash][]Fingerprint)
	for fp, r := range s.records {
		if len(r.crashes) < strikesToSerialize || !r.refusedAt.IsZero() {
			continue
		}
		for _, c := range s.countedCrashes(r) {
			if !c.observedHere || now.Sub(c.at) > s.cfg.ResendFor {
				repeated[c] = append(repeated[c], fp)
			}
		}
	}
	for _, c := range s.crashOrder {
		if fps := repeated[c]; len(fps) > 0 {
			s.packCrash(p, now, c, fps)
		}
	}
}

// packRefusedAndCleared adds what is refused, and what was cleared recently.
func (s *State) packRefusedAndCleared(p *packer, now time.Time) {
	refused := s.List()
	for i := range min(len(refused), refusalsPerRound) {
		s.packRefusal(p, now, refused[(s.nextRefusal+i)%len(refused)].Content)
	}
	s.nextRefusal += refusalsPerRound
	for fp, r := range s.records {
		if r.clearedLocally && now.Sub(r.clearedAt) <= s.cfg.ResendFor {
			s.packCleared(p, now, fp)
		}
	}
}

// observedSuspects returns the requests that this router reported for the crash.
func (s *State) observedSuspects(c *crash) []Fingerprint {
	out := make([]Fingerprint, 0, len(c.suspects))
	for fp, reporters := range c.suspects {
		if slices.Contains(reporters, s.self) {
			out = append(out, fp)
		}
	}
	slices.Sort(out)
	return out
}

func (s *State) packCrash(p *packer, now time.Time, c *crash, fps []Fingerprint) {
	for first := true; first || len(fps) > 0; first = false {
		n := min(len(fps), maxReportSuspects)
		p.reserve(crashBytes + len(c.server) + n*fingerprintBytes)
		p.report.Crashes = append(p.report.Crashes, CrashReport{Server: c.server, Age: now.Sub(c.at), Suspects: fps[:n]})
		fps = fps[n:]
	}
}

func (s *State) packRefusal(p *packer, now time.Time, fp Fingerprint) {
	r := s.records[fp]
	if r == nil || r.refusedAt.IsZero() {
		return
	}
	refusal := RefusalReport{Content: fp, Age: now.Sub(r.refusedAt), Trials: r.probes}
	size := refusalBytes
	for _, strike := range r.reasons[:min(len(r.reasons), maxReportReasons)] {
		refusal.Reasons = append(refusal.Reasons, StrikeReport{Server: strike.Server, Age: now.Sub(strike.At)})
		size += reasonBytes + len(strike.Server)
	}
	p.reserve(size)
	p.report.Refusals = append(p.report.Refusals, refusal)
}

func (s *State) packCleared(p *packer, now time.Time, fp Fingerprint) {
	r := s.records[fp]
	if r == nil || r.clearedAt.IsZero() {
		return
	}
	p.reserve(clearedBytes)
	p.report.Cleared = append(p.report.Cleared, ClearedReport{Content: fp, Age: now.Sub(r.clearedAt)})
}

// packer splits entries over reports of limited size.
type packer struct {
	report Report
	used   int
	full   []Report
}

// reserve starts another report if the current one has no space for the bytes.
func (p *packer) reserve(bytes int) {
	if p.used > 0 && p.used+bytes > maxReportBytes {
		p.full = append(p.full, p.report)
		p.report, p.used = Report{}, 0
	}
	p.used += bytes
}

// done returns the reports, limited to maxReports: what exceeds it when very many servers
// crash is reported by other routers, or not at all.
func (p *packer) done() []Report {
	if p.used > 0 {
		p.full = append(p.full, p.report)
	}
	return p.full[:min(len(p.full), maxReports)]
}

// Merge merges another router's report.
func (s *State) Merge(now time.Time, router string, report Report) {
	for _, cleared := range report.Cleared {
		s.clear(now, now.Add(-cleared.Age), cleared.Content, ByPeer)
	}
	for _, crash := range report.Crashes {
		if crash.Age > s.cfg.CrashTTL {
			continue
		}
		s.addSuspects(now, s.crash(now.Add(-crash.Age), crash.Server), router, s.dropHarmless(now, crash))
	}
	for _, refusal := range report.Refusals {
		s.mergeRefusal(now, router, refusal)
	}
}

// dropHarmless removes the suspects that this router knows to be harmless, and reports that to
// the others.
func (s *State) dropHarmless(now time.Time, crash CrashReport) []Fingerprint {
	return slices.DeleteFunc(slices.Clone(crash.Suspects), func(fp Fingerprint) bool {
		return s.clearIfHarmless(now, now.Add(-crash.Age), fp)
	})
}

// clearIfHarmless clears the request if a successful run ended here shortly before the given
// time, and has that reported to the others. It reports whether there was one.
func (s *State) clearIfHarmless(now, at time.Time, fp Fingerprint) bool {
	until := s.successes.last(fp).Add(s.cfg.SuccessTTL)
	if until.Before(at) {
		return false
	}
	r := s.record(fp)
	before := r.clearedAt
	s.clear(now, until, fp, BySuccess)
	if r.clearedAt.After(before) && !slices.Contains(s.unsent.cleared, fp) {
		s.unsent.cleared = append(s.unsent.cleared, fp)
	}
	return true
}

// refusalSkew is how much routers may differ on when the refusals of a request started: each
// judges when it receives the report of the last crash.
const refusalSkew = 2 * time.Second

// mergeRefusal refuses what another router refuses, unless it was cleared since.
func (s *State) mergeRefusal(now time.Time, router string, refusal RefusalReport) {
	since := now.Add(-refusal.Age)
	if s.clearIfHarmless(now, since, refusal.Content) {
		return
	}
	r := s.records[refusal.Content]
	if r != nil && !r.clearedAt.IsZero() && !since.After(r.clearedAt.Add(refusalSkew)) {
		return
	}
	r = s.record(refusal.Content)
	if r.refusedAt.IsZero() {
		s.refuse(now, since, refusal.Content, r, ByPeer, strikesFrom(now, router, refusal.Reasons))
	}
	// The reasons explain these crashes also to a router that started later.
	s.addReasons(now, refusal.Content, router, strikesFrom(now, router, refusal.Reasons))
	// The earlier time and the greater number win, so that all routers allow the same probes.
	if since.Before(r.refusedAt) {
		r.refusedAt = since
	}
	r.probes = max(r.probes, refusal.Trials)
}

// strikesFrom converts the reasons reported by another router.
func strikesFrom(now time.Time, router string, reasons []StrikeReport) []Strike {
	out := make([]Strike, 0, len(reasons))
	for _, reason := range reasons {
		out = append(out, Strike{Server: reason.Server, At: now.Add(-reason.Age), ReportedBy: []string{router}})
	}
	slices.SortFunc(out, func(a, b Strike) int { return a.At.Compare(b.At) })
	return out
}
