package partquarantine

import (
	"slices"
	"time"
)

// CrashReport lists the parts of the runs that were at a server that crashed.
type CrashReport struct {
	Server string
	Age    time.Duration
	Runs   []RunReport
}

// RunReport is the parts of a run.
type RunReport struct {
	Parts []Part
	// Isolated and Doubtful say that such a run was sent as a suspect, and that it had been answered
	// for a while.
	Isolated, Doubtful bool
}

// HarmlessReport states how long ago a run with the part was known to have survived.
type HarmlessReport struct {
	Part Part
	Age  time.Duration
}

// RefusalReport is a refused set.
type RefusalReport struct {
	Parts           []Part
	Age             time.Duration
	Probes, Partial int
	Servers         []string
}

// Report is a message from one router to the others. Times are sent as ages, so that clocks need
// not be synchronized.
type Report struct {
	Crashes  []CrashReport
	Harmless []HarmlessReport
	Refusals []RefusalReport
}

// Limits of a report, so that it fits one packet, and of the number of reports sent at once.
const (
	maxReportBytes = 1200
	maxReports     = 8
	// maxEntryCrashes and maxEntryRefusals limit a periodic round.
	maxEntryCrashes  = 24
	maxEntryRefusals = 32
	// Approximate encoded sizes, in bytes.
	entryBytes = 16
	partBytes  = 8
)

// unsentChanges is what has not been reported yet.
type unsentChanges struct {
	crashes  []*crash
	harmless []Part
	refusals []*refusal
}

func (u *unsentChanges) addCrash(c *crash) {
	if !slices.Contains(u.crashes, c) {
		u.crashes = append(u.crashes, c)
	}
}

func (u *unsentChanges) addHarmless(p Part) {
	if !slices.Contains(u.harmless, p) {
		u.harmless = append(u.harmless, p)
	}
}

// HasUnsent reports whether there are changes to report at once.
func (s *State) HasUnsent() bool {
	return len(s.unsent.crashes) > 0 || len(s.unsent.harmless) > 0 || len(s.unsent.refusals) > 0
}

// UnsentReports returns the unsent changes, to be sent to all other routers at once.
func (s *State) UnsentReports(now time.Time) []Report {
	var p packer
	for _, one := range s.unsent.refusals {
		p.refusal(now, one)
	}
	for _, part := range s.unsent.harmless {
		p.harmless(now, part, s.harmless[part])
	}
	for _, c := range s.unsent.crashes {
		p.crash(now, c, false)
	}
	s.unsent = unsentChanges{}
	return p.done()
}

// PeriodicReports returns what is reported periodically, for routers that missed it or started
// since: what is refused, the crashes that this router observed lately, and those that count
// against suspects, whichever router observed them.
func (s *State) PeriodicReports(now time.Time) []Report {
	if s.isIdle() {
		return nil
	}
	s.refresh(now)
	var p packer
	for _, one := range s.refusals[max(len(s.refusals)-maxEntryRefusals, 0):] {
		p.refusal(now, one)
	}
	for _, c := range s.crashOrder[max(len(s.crashOrder)-maxEntryCrashes, 0):] {
		recent := now.Sub(c.at) <= s.cfg.ResendFor
		if counted := s.countsAgainstSuspect(c); counted || recent && c.observedHere {
			p.crash(now, c, counted)
		}
		if recent {
			s.packHarmless(&p, now, c)
		}
	}
	return p.done()
}

// countsAgainstSuspect reports whether the crash counts against a part whose requests are isolated.
func (s *State) countsAgainstSuspect(c *crash) bool {
	return !s.isExplained(c) && slices.ContainsFunc(c.runs, func(r runParts) bool {
		return slices.ContainsFunc(r.parts, s.isSuspect)
	})
}

// packHarmless adds the parts of the crash that are known to be harmless.
func (s *State) packHarmless(p *packer, now time.Time, c *crash) {
	for _, r := range c.runs {
		for _, part := range r.parts {
			if at, known := s.harmless[part]; known && !s.countsAgainst(c, part) {
				p.harmless(now, part, at)
			}
		}
	}
}

// packer splits entries over reports of limited size.
type packer struct {
	report Report
	used   int
	full   []Report
	// packed are the harmless parts in the reports.
	packed []Part
}

func (p *packer) reserve(bytes int) {
	if p.used > 0 && p.used+bytes > maxReportBytes {
		p.full = append(p.full, p.report)
		p.report, p.used = Report{}, 0
	}
	p.used += bytes
}

// crash adds the runs that this router sent, or all.
func (p *packer) crash(now time.Time, c *crash, all bool) {
	p.reserve(entryBytes + len(c.server))
	report := CrashReport{Server: c.server, Age: now.Sub(c.at)}
	for _, r := range c.runs {
		if !r.own && !all {
			continue
		}
		size := partBytes * (len(r.parts) + 1)
		if p.used+size > maxReportBytes {
			p.report.Crashes = append(p.report.Crashes, report)
			report.Runs = nil
			p.reserve(maxReportBytes - p.used + 1)
			p.used = entryBytes + len(c.server)
		}
		p.used += size
		report.Runs = append(report.Runs, RunReport{Parts: r.parts, Isolated: r.isolated, Doubtful: r.doubtful})
	}
	p.report.Crashes = append(p.report.Crashes, report)
}

func (p *packer) harmless(now time.Time, part Part, at time.Time) {
	if slices.Contains(p.packed, part) {
		return
	}
	p.packed = append(p.packed, part)
	p.reserve(entryBytes)
	p.report.Harmless = append(p.report.Harmless, HarmlessReport{Part: part, Age: now.Sub(at)})
}

func (p *packer) refusal(now time.Time, one *refusal) {
	if len(one.parts) == 0 {
		return
	}
	size := entryBytes + partBytes*len(one.parts)
	for _, server := range one.servers {
		size += 1 + len(server)
	}
	p.reserve(size)
	p.report.Refusals = append(p.report.Refusals, RefusalReport{Parts: slices.Clone(one.parts), Age: now.Sub(one.since), Probes: one.probes, Partial: one.partial, Servers: one.servers})
}

func (p *packer) done() []Report {
	if p.used > 0 {
		p.full = append(p.full, p.report)
	}
	return p.full[:min(len(p.full), maxReports)]
}

// Merge merges another router's report.
func (s *State) Merge(now time.Time, report Report) {
	if len(report.Crashes) > 0 {
		s.clearSurvivors(now)
	}
	for _, one := range report.Harmless {
		s.mergeHarmless(now.Add(-max(one.Age, 0)), one.Part)
	}
	for _, one := range report.Crashes {
		if one.Age > s.cfg.CrashTTL {
			continue
		}
		c := s.crash(now.Add(-max(one.Age, 0)), one.Server)
		runs := make([]runParts, 0, len(one.Runs))
		for _, r := range one.Runs {
			s.reportHarmless(c, r.Parts)
			parts := slices.Clone(r.Parts[:min(len(r.Parts), s.cfg.MaxParts)])
			slices.Sort(parts)
			runs = append(runs, runParts{parts: parts, isolated: r.Isolated, doubtful: r.Doubtful})
		}
		s.addRuns(c, runs)
	}
	for _, one := range report.Refusals {
		s.mergeRefusal(now, one)
	}
	s.refresh(now)
}

// mergeHarmless records what another router knows to be harmless.
func (s *State) mergeHarmless(at time.Time, p Part) {
	if known, is := s.harmless[p]; is && !at.After(known) || !is && len(s.harmless) >= s.cfg.MaxHarmless {
		return
	}
	s.harmless[p] = at
	if s.counts(p) {
		s.cleared(at, p)
	}
}

// reportHarmless lists for the next reports those of the parts that this router knows to be harmless.
func (s *State) reportHarmless(c *crash, parts []Part) {
	for _, p := range parts {
		if !s.countsAgainst(c, p) {
			s.unsent.addHarmless(p)
		}
	}
}

// mergeRefusal refuses what another router refuses, without the parts that are known to be
// harmless.
func (s *State) mergeRefusal(now time.Time, report RefusalReport) {
	since := now.Add(-max(report.Age, 0))
	parts := slices.DeleteFunc(slices.Sorted(slices.Values(report.Parts)), func(p Part) bool {
		at, known := s.harmless[p]
		isHarmless := known && !at.Add(s.cfg.HarmlessTTL).Before(since)
		if isHarmless {
			// Who refuses it may have it from an entry of the store that is to be removed.
			s.unsent.addHarmless(p)
		}
		return isHarmless
	})
	if len(parts) == 0 {
		return
	}
	at := slices.IndexFunc(s.refusals, func(one *refusal) bool { return slices.Equal(one.parts, parts) })
	if at < 0 {
		s.refuse(&refusal{parts: parts, since: since, probes: report.Probes, partial: report.Partial, servers: report.Servers}, true)
		return
	}
	// The earlier time and the greater numbers win, so that all routers allow the same probes.
	one := s.refusals[at]
	if since.Before(one.since) {
		one.since = since
	}
	one.probes, one.partial = max(one.probes, report.Probes), max(one.partial, report.Partial)
}
