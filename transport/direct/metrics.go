package direct

import (
	"expvar"
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/pace"
	"goldcrestport/coordination/partquarantine"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/transport/observe"
)

// metrics are the counters and histograms of one router, see docs/METRICS.md.
type metrics struct {
	vars     *observe.Vars
	requests *expvar.Int
	outcomes *expvar.Map
	repeats  *expvar.Int
	// retries counts the decisions of the retry budget by service, cause and verdict; probesSent the
	// sends of what is refused otherwise.
	retries     *expvar.Map
	probesSent  *expvar.Int
	storeErrors *expvar.Int
	// storeCalls counts the calls to the store by kind and result.
	storeCalls      *expvar.Map
	dropped         *expvar.Int
	peerErrors      *expvar.Int
	peerReads       *expvar.Int
	attachedApplied *expvar.Int
	forwarded       *expvar.Int
	closedIdle      *expvar.Int
	// bodyBytes is the memory in use by the callers' bodies.
	bodyBytes *expvar.Int
	invalid   *expvar.Int
	// configUnreadable is 1 while the configuration in the store cannot be read.
	configUnreadable *expvar.Int
	shed             *expvar.Int
	// backoffs counts refusals by which a server requested a back-off.
	backoffs *expvar.Int
	// invalidAnswers counts answers with information about their server that cannot be parsed.
	invalidAnswers *expvar.Int
	crashes        *expvar.Int
	confirmed      *expvar.Int
	cleared        *expvar.Int
	// partsRefused counts the sets of parts of prompts that came to be refused, partsCleared the
	// parts against which nothing counts any more.
	partsRefused, partsCleared *expvar.Int
	latency                    *observe.Times
	// abandoned counts attempts abandoned after their first byte, abandonedUnacked those among
	// them with unacknowledged bytes; infoAge holds the age of the router's information
	// about draining servers at first bytes.
	abandoned        *expvar.Int
	abandonedUnacked *expvar.Int
	infoAge          *observe.Times
	// answers counts servers' answers by framing, end and verdict.
	answers *expvar.Map
	// resumed counts streams that go on at a server, or were to, by what became of them.
	resumed *expvar.Map
	// doors counts resumed streams by why they did not go on.
	doors *expvar.Map
	// returns counts the requests of callers that came back, by the first decision.
	returns *expvar.Map
	// originsTold counts the origins of streams that were announced to other routers, originsStored the
	// entries with such origins that were written to the store, and originAskTime
	// holds the times for which others were asked.
	originsTold   *expvar.Int
	originsStored *expvar.Int
	originAskTime *observe.Times
	// firstTokenError holds by how much first tokens came sooner or later than estimated from the
	// servers' pace.
	firstTokenError *observe.Times
	mix             mixMetrics
}

func newMetrics(r *Router) *metrics {
	v := observe.NewVars()
	m := &metrics{
		vars:             v,
		requests:         v.Int("direct_requests"),
		outcomes:         v.Map("direct_outcomes"),
		repeats:          v.Int("direct_repeats"),
		retries:          v.Map("direct_retries"),
		probesSent:       v.Int("direct_quarantine_probes"),
		storeErrors:      v.Int("direct_store_errors"),
		storeCalls:       v.Map("direct_store_calls"),
		dropped:          v.Int("log_lines_dropped"),
		peerReads:        v.Int("direct_peer_reads"),
		attachedApplied:  v.Int("direct_changes_passed"),
		forwarded:        v.Int("direct_messages_passed_on"),
		peerErrors:       v.Int("direct_peer_errors"),
		closedIdle:       v.Int("direct_idle_closed"),
		bodyBytes:        v.Int("direct_body_bytes"),
		invalid:          v.Int("direct_invalid_entries"),
		configUnreadable: v.Int("direct_configuration_unreadable"),
		shed:             v.Int("direct_shed"),
		backoffs:         v.Int("direct_backoffs"),
		invalidAnswers:   v.Int("direct_invalid_answers"),
		crashes:          v.Int("direct_server_crashes"),
		confirmed:        v.Int("direct_quarantine_confirmed"),
		cleared:          v.Int("direct_quarantine_cleared"),
		partsRefused:     v.Int("direct_part_quarantine_refused"),
		partsCleared:     v.Int("direct_part_quarantine_cleared"),
		latency:          v.Times("direct_latency_us"),

		abandoned:        v.Int("direct_attempts_abandoned"),
		abandonedUnacked: v.Int("direct_attempts_abandoned_unacked"),
		infoAge:          v.Times("direct_knowledge_age_us"),
		answers:          v.Map("direct_answers"),
		resumed:          v.Map("direct_streams_resumed"),
		doors:            v.Map("direct_streams_resumed_doors"),
		returns:          v.Map("direct_returns"),
		originsTold:      v.Int("direct_origins_told"),
		originsStored:    v.Int("direct_origins_stored"),
		originAskTime:    v.Times("direct_origin_ask_us"),
		firstTokenError:  v.Times("direct_first_token_error_us"),
		mix:              newMixMetrics(v),
	}
	r.rates.register(m)
	r.registerGauges(v)
	r.registerServerGauges(v)
	return m
}

// registerGauges registers the gauges of the router itself.
func (r *Router) registerGauges(v *observe.Vars) {
	v.Func("direct_quarantine_suspects", func() any { return r.inQuarantine((*quarantine.State).Suspects) })
	v.Func("direct_quarantine_held", func() any { return r.inQuarantine((*quarantine.State).RefusedCount) })
	v.Func("direct_part_quarantine_suspects", func() any { return r.inPartQuarantine((*partquarantine.State).Suspects) })
	v.Func("direct_part_quarantine_held", func() any { return r.inPartQuarantine((*partquarantine.State).RefusedCount) })
	v.Func("direct_origins", func() any {
		r.origins.mu.Lock()
		defer r.origins.mu.Unlock()
		return r.origins.table.Len()
	})
	v.Func("direct_pace_rates", func() any { return r.paceByService(func(one pace.Summary) float64 { return one.Rate }) })
	v.Func("direct_pace_servers", func() any { return r.paceByService(func(one pace.Summary) float64 { return float64(one.Learnt) }) })
	v.Func("direct_away", func() any {
		if r.load.outOfRotation.Load() {
			return 1
		}
		return 0
	})
	v.Func("direct_held", func() any { return r.inFlight.Load() })
	v.Func("direct_caller_connections", func() any { return r.callers.Open() })
	v.Func("direct_body_bytes_limit", func() any { return r.bodies.Stats().Limit })
	v.Func("direct_bodies_unfinished", func() any { return r.bodies.Stats().Unfinished })
	v.Func("direct_bodies_ended", func() any { return r.bodies.Stats().Ended })
	v.Func("direct_dials", func() any { return r.pool.Dials() })
	v.Func("direct_configuration_version", func() any {
		if t := r.table.Load(); t != nil {
			return t.Version()
		}
		return 0
	})
}

// registerServerGauges registers the gauges of backend servers by their state and of what they sent.
func (r *Router) registerServerGauges(v *observe.Vars) {
	v.Func("direct_cold_servers", func() any {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.warmup.Cold(time.Now())
	})
	v.Func("direct_backing_off_servers", func() any {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.admission.BackingOff(time.Now())
	})
	v.Func("direct_leaving_servers", func() any {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.roster.Drained()
	})
	v.Func("direct_servers_in_grace", func() any {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.roster.Missing()
	})
	v.Func("direct_answer_memory_bytes", func() any { return r.answerMemory.Used() })
	v.Func("direct_answer_memory_refused", func() any { return r.answerMemory.Refused() })
	v.Func("direct_software_versions", func() any {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.versions.Counts()
	})
}

// inQuarantine reads a count from the quarantine state.
func (r *Router) inQuarantine(number func(*quarantine.State) int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return number(r.quarantine)
}

// CountLost registers a metric for log lines that were lost because the reader of the log
// stalled. It must be called before Serve.
func (r *Router) CountLost(lost func() int64) {
	r.metrics.vars.Func("log_lines_lost", func() any { return lost() })
}

// completed counts an answer that was relayed whole.
func (m *metrics) completed(c *call) {
	m.outcomes.Add("completed", 1)
	m.latency.Record(c.service, time.Now(), time.Since(c.received))
}

// placed counts the first decision on a request whose caller came back.
func (m *metrics) placed(elapsed time.Duration, d admission.Decision) {
	switch {
	case elapsed <= 0:
	case d.Verdict == admission.Send:
		m.returns.Add("sent", 1)
	default:
		m.returns.Add("refused", 1)
	}
}
