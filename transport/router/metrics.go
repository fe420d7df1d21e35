package router

import (
	"expvar"

	"goldcrestport/transport/observe"
)

// Reasons for dropping a part of an answer; keys of router_chunks_dropped.
const (
	// chunkForeign: the part belongs to another attempt or incarnation.
	chunkForeign = "crossed"
	// chunkRepeated: the part was already relayed.
	chunkRepeated = "repeated"
	// chunkMissing: an earlier part of the answer is missing.
	chunkMissing = "missing"
	// answerMismatch: the length or checksum in the end message does not match
	// the relayed bytes, or the status is not valid in HTTP.
	answerMismatch = "mismatch"
)

// metrics are published under /debug/vars; docs/METRICS.md describes them.
type metrics struct {
	vars            *observe.Vars
	outcomes        *expvar.Map
	reasons         *expvar.Map
	latency         *observe.Times
	firstByte       *observe.Times
	queueWait       *observe.Times
	connections     *expvar.Int
	refusedConn     *expvar.Int
	bodies          *expvar.Int
	logLinesDropped *expvar.Int
	chunksDropped   *expvar.Map
	settleQueries   *expvar.Int
}

func newMetrics() *metrics {
	v := observe.NewVars()
	return &metrics{
		vars:            v,
		outcomes:        v.Map("router_outcomes"),
		reasons:         v.Map("router_reasons"),
		latency:         v.Times("router_latency_us"),
		firstByte:       v.Times("router_first_byte_us"),
		queueWait:       v.Times("router_queue_wait_us"),
		connections:     v.Int("router_connections"),
		refusedConn:     v.Int("router_connections_refused"),
		bodies:          v.Int("router_body_bytes"),
		logLinesDropped: v.Int("log_lines_dropped"),
		chunksDropped:   v.Map("router_chunks_dropped"),
		settleQueries:   v.Int("router_settles"),
	}
}

// dropped counts one part of an answer that was not relayed.
func (m *metrics) dropped(kind string) { m.chunksDropped.Add(kind, 1) }
