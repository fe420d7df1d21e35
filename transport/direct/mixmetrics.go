package direct

import (
	"expvar"
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/promptmix"
	"goldcrestport/transport/observe"
)

// mixMetrics counts the prompts of services whose prompts are treated by size.
type mixMetrics struct {
	// placed counts decisions by size and verdict. estimated and actual hold the times to
	// the first byte by size.
	placed            *expvar.Map
	estimated, actual *observe.Times
}

func newMixMetrics(v *observe.Vars) mixMetrics {
	return mixMetrics{
		placed:    v.Map("direct_prompts_by_size"),
		estimated: v.Times("direct_prompt_first_estimated_us"),
		actual:    v.Times("direct_prompt_first_us"),
	}
}

// decided counts a decision.
func (m *mixMetrics) decided(d admission.Decision) {
	if d.Size == promptmix.Any {
		return
	}
	verdict := "refused"
	if d.Verdict == admission.Send {
		verdict = "sent"
	}
	m.placed.Add(d.Size.String()+"_"+verdict, 1)
}

// started records the time to the first byte of an attempt that was placed at decidedAt.
func (m *mixMetrics) started(now, decidedAt time.Time, d admission.Decision) {
	if d.Size == promptmix.Any {
		return
	}
	m.estimated.Record(d.Size.String(), now, d.Estimate)
	m.actual.Record(d.Size.String(), now, now.Sub(decidedAt))
}
