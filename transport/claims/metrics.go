package claims

import (
	"expvar"
	"time"

	"goldcrestport/coordination/claim"
)

// metrics holds the counters of a Guard.
type metrics struct {
	vars      *expvar.Map
	asked     expvar.Int
	granted   expvar.Int
	duplicate expvar.Int
	replayed  expvar.Int
	reused    expvar.Int
	takenOver expvar.Int
	refused   expvar.Int
	released  expvar.Int
	waitUS    expvar.Int
	reads     expvar.Int
	writes    expvar.Int
	bytes     expvar.Int
	grouped   expvar.Int
	conflicts expvar.Int
	busy      expvar.Int
	lost      expvar.Int
	readBacks expvar.Int
	suspects  expvar.Int
	sealed    expvar.Int
}

func newMetrics() *metrics {
	m := &metrics{vars: new(expvar.Map)}
	for name, v := range map[string]expvar.Var{
		"asked":           &m.asked,
		"granted":         &m.granted,
		"duplicate":       &m.duplicate,
		"replayed":        &m.replayed,
		"reused":          &m.reused,
		"taken_over":      &m.takenOver,
		"refused":         &m.refused,
		"released":        &m.released,
		"wait_us":         &m.waitUS,
		"platform_reads":  &m.reads,
		"platform_writes": &m.writes,
		"platform_bytes":  &m.bytes,
		"grouped":         &m.grouped,
		"conflicts":       &m.conflicts,
		"busy":            &m.busy,
		"lost":            &m.lost,
		"read_backs":      &m.readBacks,
		"suspects":        &m.suspects,
		"sealed":          &m.sealed,
	} {
		m.vars.Set(name, v)
	}
	return m
}

// countFailure counts a platform call that failed, by kind of failure.
func (m *metrics) countFailure(r claim.CallResult) {
	switch r {
	case claim.Conflict:
		m.conflicts.Add(1)
	case claim.Refused:
		m.busy.Add(1)
	case claim.Lost:
		m.lost.Add(1)
	}
}

// observeWait counts a claim and the time that its request has waited since the given
// start.
func (m *metrics) observeWait(since time.Time) {
	m.asked.Add(1)
	m.waitUS.Add(time.Since(since).Microseconds())
}
