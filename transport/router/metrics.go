package router

import (
	"expvar"
	"time"

	"goldcrestport/protocol/outcome"
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

// metrics are published under /debug/vars.
type metrics struct {
	outcomes *expvar.Map
	reasons  *expvar.Map
	chunks   *expvar.Map
	settles  *expvar.Int
}

// published holds the metrics of this process; expvar names are process-wide.
var published = &metrics{
	outcomes: expvar.NewMap("router_outcomes"),
	reasons:  expvar.NewMap("router_reasons"),
	chunks:   expvar.NewMap("router_chunks_dropped"),
	settles:  expvar.NewInt("router_settles"),
}

func newMetrics() *metrics { return published }

func (m *metrics) ended(o outcome.Outcome, _ time.Duration) {
	m.outcomes.Add(string(o.Kind), 1)
	if o.Reason != "" {
		m.reasons.Add(string(o.Reason), 1)
	}
}

// dropped counts a part of an answer that was not relayed.
func (m *metrics) dropped(kind string) { m.chunks.Add(kind, 1) }
