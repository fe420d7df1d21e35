package admission

import (
	"slices"
	"time"

	"goldcrestport/coordination/health"
)

func (s *State) start(now time.Time, one *server, unread float64, shared []Part) *Run {
	r := &Run{server: one, unread: unread, sent: now}
	if one.health.Ejected() {
		one.health.ProbeSent()
		r.probe = true
	}
	if one.cold != nil {
		r.sendBy = s.takeCold(now, one)
	}
	r.trial = one.backoff.Send(now, s.cfg.Backoff)
	one.awaiting++
	one.unread += unread
	s.use(now, one, shared)
	return r
}

// runTimeGain is the weight of one run in the mean time of runs.
const runTimeGain = 0.02

// Refused notes that the server did not take the run. The server is left alone
// for a moment, and for longer with each refusal in a row.
func (s *State) Refused(now time.Time, r *Run) {
	one := r.server
	pause := s.cfg.RefusedPause << min(one.refusals, maxRefusals)
	one.refusals++
	one.refusedUntil = now.Add(min(pause, s.cfg.RefusedLongest))
}

// maxRefusals bounds the doublings of a pause; the longest one is reached
// before.
const maxRefusals = 10

// FirstByte notes that the answer of the run began. It reports whether its server,
// which had asked for no requests, takes all again.
func (s *State) FirstByte(now time.Time, r *Run) (resumed bool) {
	if r.first || r.ended {
		return false
	}
	r.server.refusals, r.server.refusedUntil = 0, time.Time{}
	if r.trial {
		r.trial = false
		resumed = s.backoffOf(r.server).ProbeAccepted(now)
	}
	r.server.pace.observe(now, r.estimate, now.Sub(r.sent))
	s.begun(now, r)
	return resumed
}

// begun counts the run as one that is no longer awaited.
func (s *State) begun(now time.Time, r *Run) {
	if r.first {
		return
	}
	r.first, r.began = true, now
	r.server.unread -= r.unread
	r.server.awaiting--
	r.server.running++
}

// Ended notes that the run ended. It reports whether the server was ejected or
// taken in again.
func (s *State) Ended(now time.Time, r *Run, result health.Result) (changed bool) {
	if r.ended {
		return false
	}
	s.begun(now, r)
	r.ended = true
	if r.trial {
		r.trial = false
		s.backoffOf(r.server).Ended()
	}
	if result == health.Success {
		p := s.pool(r.server.service)
		p.runTime += time.Duration(runTimeGain * float64(now.Sub(r.began)-p.runTime))
	}
	r.server.running--
	before := r.server.health.Ejected()
	s.record(now, r, result)
	return r.server.health.Ejected() != before
}

// Generated notes the tokens of a complete answer.
func (s *State) Generated(r *Run, tokens int) { s.outputs.learn(r.class, r.output, float64(tokens)) }

// Reported takes the server's own word on its load.
func (s *State) Reported(now time.Time, r *Run, load Load) {
	r.server.load, r.server.loadAt = load, now
	if load.Slots > 0 {
		r.server.slots = load.Slots
	}
}

func (s *State) record(now time.Time, r *Run, result health.Result) {
	one := r.server
	if !s.blames(now, one, result) {
		result = health.NoResult
	}
	if r.probe {
		one.health.ProbeEnded(now, result)
		return
	}
	one.health.Record(result)
	if one.health.Suspect() && s.mayEject(one) {
		one.health.Eject(now)
		one.ejectedAt = now
	}
}

// mayEject bounds the share of ejected servers.
func (s *State) mayEject(one *server) bool {
	p := s.pool(one.service)
	ejected := 1
	for _, other := range p.servers {
		if other != one && other.health.Ejected() {
			ejected++
		}
	}
	return float64(ejected) <= s.cfg.EjectShare*float64(len(p.servers))
}

// Ejected returns the ids of the ejected servers, sorted.
func (s *State) Ejected() []string {
	var out []string
	for id, one := range s.servers {
		if one.health.Ejected() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
