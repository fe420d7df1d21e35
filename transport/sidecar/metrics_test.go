package sidecar

import (
	"os"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"goldcrestport/protocol/settings"
)

func newTestSidecar() *Sidecar {
	return New(settings.DefaultSidecar(), newSlotStore(), nil, log.NewNopLogger())
}

func TestMetricsAreDocumented(t *testing.T) {
	c := quicktest.New(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	c.Assert(err, quicktest.IsNil)
	for _, name := range newTestSidecar().metrics.vars.Names() {
		c.Check(string(page), quicktest.Contains, "`"+name+"`")
	}
}

// Two sidecars in one process have separate metrics.
func TestMetricsArePerSidecar(t *testing.T) {
	c := quicktest.New(t)
	one, other := newTestSidecar(), newTestSidecar()
	one.recordStart()
	c.Check(one.metrics.starts.Value(), quicktest.Equals, int64(1))
	c.Check(one.metrics.lastStart.Value() > 0, quicktest.IsTrue)
	c.Check(other.metrics.starts.Value(), quicktest.Equals, int64(0))
	c.Check(other.metrics.lastStart.Value(), quicktest.Equals, int64(0))
}
