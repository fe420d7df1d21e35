package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestport/coordination/admission"
)

// Parts tracks which parts of prompts crash the backend servers that begin to answer on them. Requests of
// which no two are alike may share such a part. What is counted against a part, and when it is refused,
// are a State's decisions, as for whole requests; what runs at a server is kept as it comes, so that
// nothing is done for each part unless a server crashes or a crash is remembered.
//
// A run clears its parts once it has been answered for a while: a part crashes a server as the answer
// begins. A run that was queued, refused, or ended before says nothing of its parts.
type Parts struct {
	*State
	cfg     PartsConfig
	servers map[string]*partServer
	// arrivals counts the requests here with each part that was at a crash, since then.
	arrivals map[Fingerprint]int
}

// PartsConfig holds the times of a Parts.
type PartsConfig struct {
	Config
	// Lives is how long an answer goes on until its parts are known to be harmless. Default 1s: servers end
	// within some tenths of a second of the first token.
	Lives time.Duration
	// AccompanyBreak is how long after the last required crash a part is not refused yet while another one
	// explains the crashes better. Default 2s: if that one is refused, they do not count any more.
	AccompanyBreak time.Duration
}

// partTieBreak is the TieBreak of parts: those that always come together are not told apart by waiting.
const partTieBreak = 500 * time.Millisecond

// DefaultPartsConfig returns the documented defaults.
func DefaultPartsConfig() PartsConfig { return PartsConfigOf(DefaultConfig()) }

// PartsConfigOf returns the defaults with the thresholds and limits for whole requests.
func PartsConfigOf(c Config) PartsConfig {
	c.TieBreak = partTieBreak
	return PartsConfig{Config: c, Lives: time.Second, AccompanyBreak: 2 * time.Second}
}

// PartRun is one send of a request with shared parts to a server.
type PartRun struct {
	server, service string
	parts           []admission.Prefix
	// begunAt is when the answer began; zero before.
	begunAt time.Time
	// endedAt is when it ended and ending how, if ended.
	endedAt time.Time
	ending  Ending
	ended   bool
	// cleared is set once its parts are known to be harmless.
	cleared bool
}

// partServer holds the runs at one incarnation of a server.
type partServer struct{ runs map[*PartRun]struct{} }

// NewParts returns the state of a router without any crashes.
func NewParts(cfg PartsConfig, self string) *Parts {
	p := &Parts{State: New(cfg.Config, self), cfg: cfg, servers: make(map[string]*partServer), arrivals: make(map[Fingerprint]int)}
	p.isCommoner, p.accompanyBreak = p.comesMore, cfg.AccompanyBreak
	return p
}

// comesMore reports whether the first part comes more often here than the second, which comes.
func (p *Parts) comesMore(a, b Fingerprint) bool {
	return p.arrivals[b] > 0 && p.arrivals[a] > p.arrivals[b]
}

// PartOf returns the fingerprint of a part of the service's prompts.
func PartOf(service string, id uint64) Fingerprint {
	var d xxhash.Digest
	d.ResetWithSeed(id)
	_, _ = d.WriteString(service)
	return Fingerprint(d.Sum64())
}

// Check reports whether a request with the parts may be sent now.
func (p *Parts) Check(now time.Time, service string, parts []admission.Prefix) Verdict {
	if len(p.records) == 0 {
		return Pass
	}
	verdict := Pass
	for _, one := range parts {
		fp := PartOf(service, one.ID)
		if p.records[fp] != nil {
			p.arrivals[fp]++
		}
		if p.State.Check(now, fp) == Refuse {
			verdict = Refuse
		}
	}
	return verdict
}

// Begin records that a request with the parts is sent to the server; nil if it has none.
func (p *Parts) Begin(server, service string, parts []admission.Prefix) *PartRun {
	if len(parts) == 0 {
		return nil
	}
	at := p.servers[server]
	if at == nil {
		at = &partServer{runs: make(map[*PartRun]struct{})}
		p.servers[server] = at
	}
	r := &PartRun{server: server, service: service, parts: parts}
	at.runs[r] = struct{}{}
	p.countProbes(service, parts)
	return r
}

// countProbes counts a send of refused parts, which is a probe of each.
func (p *Parts) countProbes(service string, parts []admission.Prefix) {
	if len(p.refused) == 0 {
		return
	}
	for _, one := range parts {
		if known := p.refused[PartOf(service, one.ID)]; known != nil {
			known.probes++
		}
	}
}

// Answered records that the answer of the run has begun.
func (p *Parts) Answered(now time.Time, r *PartRun) {
	if r != nil && r.begunAt.IsZero() {
		r.begunAt = now
	}
}

// End records how the run ended.
func (p *Parts) End(now time.Time, r *PartRun, how Ending) {
	if r == nil || r.ended {
		return
	}
	r.ended, r.endedAt, r.ending = true, now, how
	if how == NotRun || how == Cancelled && r.begunAt.IsZero() {
		p.forget(r)
	}
}

func (p *Parts) forget(r *PartRun) {
	at := p.servers[r.server]
	if at == nil {
		return
	}
	delete(at.runs, r)
	if len(at.runs) == 0 {
		delete(p.servers, r.server)
	}
}

// lived reports whether the answer went on for long enough to clear the parts of the run, or is complete
// and its server has not ended for a while.
func (p *Parts) lived(now time.Time, r *PartRun) bool {
	switch {
	case r.begunAt.IsZero():
		return false
	case !r.ended:
		return now.Sub(r.begunAt) >= p.cfg.Lives
	case r.ending == Broken:
		return r.endedAt.Sub(r.begunAt) >= p.cfg.Lives
	default:
		return now.Sub(r.endedAt) >= p.cfg.Outlive
	}
}

// until returns until when a run that has ended is kept: a crash of its server may be known late.
func (p *Parts) until(r *PartRun) time.Time {
	if r.ending == Broken {
		return r.endedAt.Add(p.cfg.CrashConfirmTimeout)
	}
	return r.endedAt.Add(p.cfg.Settle)
}

// Crash records that this router knows that the server has ended without having announced it.
func (p *Parts) Crash(now time.Time, server string) {
	p.clearLived(now, p.servers)
	var suspects []Fingerprint
	if at := p.servers[server]; at != nil {
		suspects = p.suspects(now, at)
		delete(p.servers, server)
	}
	p.crashOf(now, server, suspects)
}

// suspects returns the parts of the runs at the server that are not known to be harmless.
func (p *Parts) suspects(now time.Time, at *partServer) []Fingerprint {
	seen := make(map[Fingerprint]bool)
	var out []Fingerprint
	for r := range at.runs {
		if r.cleared || p.lived(now, r) {
			continue
		}
		for _, one := range r.parts {
			fp := PartOf(r.service, one.ID)
			if !seen[fp] && len(out) < p.cfg.MaxSuspects && !p.successes.since(fp, now.Add(-p.cfg.SuccessTTL)) {
				seen[fp] = true
				out = append(out, fp)
			}
		}
	}
	return out
}

// clearLived clears the parts of runs that have lived.
func (p *Parts) clearLived(now time.Time, servers map[string]*partServer) {
	for _, at := range servers {
		for r := range at.runs {
			if r.cleared || !p.lived(now, r) {
				continue
			}
			r.cleared = true
			for _, one := range r.parts {
				p.succeeded(now, PartOf(r.service, one.ID))
			}
		}
	}
}

// Tick judges what is due, clears parts while crashes are remembered, and drops runs and data whose time
// is over.
func (p *Parts) Tick(now time.Time) {
	if len(p.crashOrder) > 0 || len(p.records) > 0 {
		p.clearLived(now, p.servers)
	}
	for _, at := range p.servers {
		for r := range at.runs {
			if r.ended && !now.Before(p.until(r)) {
				p.forget(r)
			}
		}
	}
	p.State.Tick(now)
	for fp := range p.arrivals {
		if p.records[fp] == nil {
			delete(p.arrivals, fp)
		}
	}
}

// crashOf records the crash of a server at which the suspects were running.
func (s *State) crashOf(now time.Time, server string, suspects []Fingerprint) {
	_, known := s.crashes[server]
	if known && len(suspects) == 0 {
		return
	}
	c := s.crash(now, server)
	c.observedHere = true
	s.addSuspects(now, c, s.self, suspects)
	s.unsent.add(c)
}

// succeeded records that something that may be refused ran well.
func (s *State) succeeded(now time.Time, fp Fingerprint) {
	s.successes.add(fp, now)
	s.clear(now, now.Add(s.cfg.SuccessTTL), fp, BySuccess)
}
