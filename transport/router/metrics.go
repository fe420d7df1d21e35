package router

import (
	"expvar"

	"goldcrestport/transport/observe"
)

// Kinds of answer parts that were dropped.
const (
	// chunkCrossed belongs to another attempt or incarnation.
	chunkCrossed = "crossed"
	// chunkRepeated was relayed before.
	chunkRepeated = "repeated"
	// chunkMissing tells that a part before it did not come.
	chunkMissing = "missing"
	// answerMismatch is an end that does not fit the relayed bytes.
	answerMismatch = "mismatch"
)

// metrics are published under /debug/vars; docs/METRICS.md explains them.
type metrics struct {
	vars        *observe.Vars
	outcomes    *expvar.Map
	reasons     *expvar.Map
	latency     *observe.Times
	firstByte   *observe.Times
	queueWait   *observe.Times
	connections *expvar.Int
	refusedConn *expvar.Int
	bodies      *expvar.Int
	lost        *expvar.Int
	chunks      *expvar.Map
	settles     *expvar.Int
}

func newMetrics() *metrics {
	v := observe.NewVars()
	return &metrics{
		vars:        v,
		outcomes:    v.Map("router_outcomes"),
		reasons:     v.Map("router_reasons"),
		latency:     v.Times("router_latency_us"),
		firstByte:   v.Times("router_first_byte_us"),
		queueWait:   v.Times("router_queue_wait_us"),
		connections: v.Int("router_connections"),
		refusedConn: v.Int("router_connections_refused"),
		bodies:      v.Int("router_body_bytes"),
		lost:        v.Int("log_lines_dropped"),
		chunks:      v.Map("router_chunks_dropped"),
		settles:     v.Int("router_settles"),
	}
}

// dropped counts a part of an answer that was not relayed.
func (m *metrics) dropped(kind string) { m.chunks.Add(kind, 1) }
