package dispatch

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAffinityIsBounded(t *testing.T) {
	c := qt.New(t)
	var a affinity
	a.note(0, "none")
	for i := range uint64(3 * keptPrefixes) {
		a.note(i+1, "s")
		a.note(i+1, "t")
	}
	c.Assert(len(a.last), qt.Equals, keptPrefixes)
	c.Assert(a.last[3*keptPrefixes], qt.Equals, "t")
	c.Assert(a.last[2*keptPrefixes], qt.Equals, "")
}
