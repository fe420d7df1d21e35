package dispatch

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAffinityIsBounded(t *testing.T) {
	c := qt.New(t)
	var a affinity
	a.record(0, "none")
	for i := range uint64(3 * maxPrefixes) {
		a.record(i+1, "s")
		a.record(i+1, "t")
	}
	c.Assert(len(a.last), qt.Equals, maxPrefixes)
	c.Assert(a.last[3*maxPrefixes], qt.Equals, "t")
	c.Assert(a.last[2*maxPrefixes], qt.Equals, "")
}
