package claims

import (
	"expvar"
	"time"

	"goldcrestport/coordination/claim"
)

// metrics counts what a Guard does.
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

// platform counts the results of platform calls that were not OK.
func (m *metrics) platform(r claim.CallResult) {
	switch r {
	case claim.Conflict:
		m.conflicts.Add(1)
	case claim.Refused:
		m.busy.Add(1)
	case claim.Lost:
		m.lost.Add(1)
	}
}

// waited counts a claim and the time that its request waited for it.
func (m *metrics) waited(since time.Time) {
	m.asked.Add(1)
	m.waitUS.Add(time.Since(since).Microseconds())
}
