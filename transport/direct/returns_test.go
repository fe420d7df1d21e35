package direct

import (
	"expvar"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/admission"
)

// Only callers that are known to come back count, by what was decided on them.
func TestReturnsAreCounted(t *testing.T) {
	m := &metrics{returns: new(expvar.Map)}
	m.placed(0, admission.Decision{Verdict: admission.Refuse})
	m.placed(0, admission.Decision{Verdict: admission.Send})
	m.placed(time.Second, admission.Decision{Verdict: admission.Send})
	m.placed(time.Second, admission.Decision{Verdict: admission.Refuse})
	m.placed(time.Second, admission.Decision{Verdict: admission.NoServer})
	qt.Check(t, m.returns.String(), qt.Equals, `{"refused": 2, "sent": 1}`)
}
