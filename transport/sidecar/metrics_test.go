package sidecar

import (
	"os"
	"testing"

	"github.com/frankban/quicktest"
)

func TestMetricsAreDocumented(t *testing.T) {
	c := quicktest.New(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	c.Assert(err, quicktest.IsNil)
	for _, name := range newMetrics(&Sidecar{}).vars.Names() {
		c.Check(string(page), quicktest.Contains, "`"+name+"`")
	}
}
