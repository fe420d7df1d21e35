package admission

import (
	"time"

	"goldcrestport/coordination/pace"
)

// serverSpeed is how fast a server works at the moment.
type serverSpeed struct {
	// rate is its usual prefill rate and serviceRate that of its service, in tokens per millisecond.
	rate, serviceRate float64
	// factor is how much longer than at its usual rate work takes there now.
	factor float64
}

// speedOf returns how fast the server works: at its own pace where that is in use, otherwise at the configured
// rate.
func (s *State) speedOf(now time.Time, srv *server) serverSpeed {
	factor := srv.slowdown.factor(now)
	if !srv.pace.InUse(now) {
		return serverSpeed{rate: s.cfg.PrefillRate, serviceRate: s.cfg.PrefillRate, factor: factor}
	}
	return serverSpeed{
		rate: 1 / srv.pace.TokenTime(now), serviceRate: 1 / srv.pace.ServiceTokenTime(now),
		factor: suddenSlowdown(factor) * srv.pace.Slowdown(now),
	}
}

// minSudden is the factor from which a server counts as slower than its own pace. Below it, the times of the last
// seconds depend more on queues that this router did not know.
const minSudden = 2

// suddenSlowdown returns the slowdown of the last seconds of a server whose own pace is known.
func suddenSlowdown(factor float64) float64 {
	if factor < minSudden {
		return 1
	}
	return factor
}

// prefillTimeAt returns the time in which the server prefills the tokens now.
func (s *State) prefillTimeAt(now time.Time, srv *server, tokens float64) time.Duration {
	speed := s.speedOf(now, srv)
	return scaled(prefillTime(tokens, speed.rate), speed.factor)
}

// prefill is what the time to the first token of a run is made of.
type prefill struct {
	// queue and own are the prompt tokens that wait before it and its own ones. uncertain is the part
	// of own that may have been cached.
	queue, own, uncertain float64
	// expected is the estimated time to the first token; 0: the time says nothing about the server.
	expected time.Duration
}

// expect records what the time to the run's first token is made of. The time says nothing about a server if the
// run waits for a slot or a fetch, if the server is cold, if the request was sent before, and if the queue is not
// known.
func (s *State) expect(now time.Time, req Request, r *Run, c candidate) {
	srv := c.server
	if c.estimate == 0 || c.fetched > 0 || srv.cold != nil || req.Sent || req.MayHaveRun || !s.knowsQueues() || !srv.pace.InUse(now) {
		return
	}
	tokens := c.queue.pendingTokens + c.prefillTokens
	r.estimate = prefillTime(tokens, 1/srv.pace.TokenTime(now)) + srv.pace.Overhead()
	r.prefill = prefill{
		queue: c.queue.pendingTokens, own: c.prefillTokens, uncertain: c.uncertain,
		expected: s.prefillTimeAt(now, srv, tokens) + srv.pace.Overhead(),
	}
}

// minReporting is the share of the routers whose digests make the queues known.
const minReporting = 0.9

// knowsQueues reports whether this router knows what the others sent.
func (s *State) knowsQueues() bool {
	return !s.isLate && !s.isImpaired && float64(1+len(s.peers)) >= minReporting*float64(s.routers)
}

// observeFirstToken records how long the first token of the run took.
func (s *State) observeFirstToken(now time.Time, r *Run) {
	took, srv := now.Sub(r.sentAt), r.server
	if !srv.pace.InUse(now) {
		srv.slowdown.observe(now, r.estimate, took)
		return
	}
	if r.prefill.expected == 0 || s.isLate || s.isImpaired {
		return
	}
	srv.pace.Estimated(r.prefill.expected, took)
	srv.slowdown.observe(now, r.estimate, withoutSlowdown(took, r.slowdown))
	srv.pace.Observe(now, pace.Observation{
		Own: r.prefill.own, Queue: r.prefill.queue, Uncertain: r.prefill.uncertain, Slowdown: r.slowdown, Took: took,
	})
}

// withoutSlowdown returns how long something would usually have taken that took the given time at a reported slowdown.
func withoutSlowdown(took time.Duration, slowdown float64) time.Duration {
	if slowdown <= 0 {
		return took
	}
	return scaled(took, 1/slowdown)
}

// FirstTokenError returns by how much the first token of the run came later than estimated; false: there was no
// estimate of the server's pace.
func (r *Run) FirstTokenError() (time.Duration, bool) {
	if r.prefill.expected == 0 || !r.started {
		return 0, false
	}
	return r.startedAt.Sub(r.sentAt) - r.prefill.expected, true
}

// SetPaceMode sets for which services the estimated pace of servers is used.
func (s *State) SetPaceMode(mode pace.Mode) { s.pace.SetMode(mode) }

// TakePaceReport returns what this router learnt of the servers' pace since the last report.
func (s *State) TakePaceReport(now time.Time) pace.Report { return s.pace.TakeReport(now) }

// ReceivePaceReport records what another router learnt of the servers' pace.
func (s *State) ReceivePaceReport(now time.Time, r pace.Report) { s.pace.Merge(now, r) }

// PaceSummaries returns what is known of the pace of services, for logs and metrics.
func (s *State) PaceSummaries(now time.Time) []pace.Summary { return s.pace.Summaries(now) }
