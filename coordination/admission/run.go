package admission

import (
	"slices"
	"time"

	"goldcrestport/coordination/health"
)

func (s *State) startRun(now time.Time, srv *server, prefillTokens float64, prefixes []Prefix) *Run {
	r := &Run{server: srv, prefillTokens: prefillTokens, sentAt: now}
	if srv.health.Ejected() {
		srv.health.ProbeSent()
		r.healthProbe = true
	}
	if srv.cold != nil {
		r.sendBy = s.takeCold(now, srv)
	}
	r.backoffProbe = srv.backoff.Send(now, s.cfg.Backoff)
	srv.awaiting++
	srv.pendingTokens += prefillTokens
	s.recordPrefixes(now, srv, prefixes)
	return r
}

// runTimeGain is the weight of one run in the mean run time.
const runTimeGain = 0.02

// Refused records that the server did not accept the run. While others accept
// requests, the server gets none for a pause, which becomes longer with each
// consecutive refusal.
func (s *State) Refused(now time.Time, r *Run) {
	srv := r.server
	pause := s.cfg.RefusalPause << min(srv.refusals, maxRefusalDoublings)
	srv.refusals++
	srv.refusedUntil = now.Add(min(pause, s.cfg.RefusalPauseMax))
}

// maxRefusalDoublings limits the number of times that a pause is doubled; the
// longest pause is reached before.
const maxRefusalDoublings = 10

// FirstByte records that the answer of the run started. It reports whether this
// ended a back-off of the server.
func (s *State) FirstByte(now time.Time, r *Run) (resumed bool) {
	if r.started || r.ended {
		return false
	}
	r.server.refusals, r.server.refusedUntil = 0, time.Time{}
	if r.backoffProbe {
		r.backoffProbe = false
		resumed = s.backoffOf(r.server).ProbeAccepted(now)
	}
	s.observeFirstToken(now, r)
	s.markStarted(now, r)
	return resumed
}

// markStarted moves the run from the awaiting to the running ones.
func (s *State) markStarted(now time.Time, r *Run) {
	if r.started {
		return
	}
	r.started, r.startedAt = true, now
	r.server.pendingTokens -= r.prefillTokens
	r.server.awaiting--
	r.server.running++
}

// Ended records that the run ended. It reports whether the server was ejected or
// readmitted.
func (s *State) Ended(now time.Time, r *Run, result health.Result) (changed bool) {
	if r.ended {
		return false
	}
	s.markStarted(now, r)
	r.ended = true
	s.releaseMemory(r)
	if r.backoffProbe {
		r.backoffProbe = false
		s.backoffOf(r.server).Ended()
	}
	if result == health.Success {
		p := s.pool(r.server.service)
		p.runTime += time.Duration(runTimeGain * float64(now.Sub(r.startedAt)-p.runTime))
	}
	r.server.running--
	before := r.server.health.Ejected()
	s.recordResult(now, r, result)
	return r.server.health.Ejected() != before
}

// Generated records the number of tokens of a complete answer.
func (s *State) Generated(r *Run, tokens int) { s.outputs.observe(r.class, r.output, float64(tokens)) }

// Reported records the load that the server reported. It is to be called before FirstByte for the same answer.
func (s *State) Reported(now time.Time, r *Run, load Load) {
	r.server.load, r.server.loadAt = load, now
	if load.SlowdownPercent > 0 {
		r.slowdown = float64(load.SlowdownPercent) / 100
		r.server.pace.Reported(now, r.slowdown)
		s.pool(r.server.service).reportsSlowdown = true
	}
	if load.Slots > 0 {
		r.server.slots = load.Slots
	}
}

func (s *State) recordResult(now time.Time, r *Run, result health.Result) {
	srv := r.server
	if !s.countsAgainst(now, srv, result) {
		result = health.NoResult
	}
	if r.healthProbe {
		srv.health.ProbeEnded(now, result)
		return
	}
	srv.health.Record(result)
	if srv.health.Suspect() && s.mayEject(srv) {
		srv.health.Eject(now)
		srv.ejectedAt = now
	}
}

// mayEject limits the share of ejected servers.
func (s *State) mayEject(srv *server) bool {
	p := s.pool(srv.service)
	ejected := 1
	for _, other := range p.servers {
		if other != srv && other.health.Ejected() {
			ejected++
		}
	}
	return float64(ejected) <= s.cfg.EjectShare*float64(len(p.servers))
}

// Ejected returns the ids of the ejected servers, sorted.
func (s *State) Ejected() []string {
	var out []string
	for id, srv := range s.servers {
		if srv.health.Ejected() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
