package router

import (
	"expvar"
	"time"

	"goldcrestport/protocol/outcome"
)

// metrics are published under /debug/vars.
type metrics struct {
	outcomes *expvar.Map
	reasons  *expvar.Map
}

func newMetrics() *metrics {
	return &metrics{
		outcomes: expvar.NewMap("router_outcomes"),
		reasons:  expvar.NewMap("router_reasons"),
	}
}

func (m *metrics) ended(o outcome.Outcome, _ time.Duration) {
	m.outcomes.Add(string(o.Kind), 1)
	if o.Reason != "" {
		m.reasons.Add(string(o.Reason), 1)
	}
}
