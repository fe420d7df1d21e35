package wire_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/wire"
)

func TestMillisStayWithinBounds(t *testing.T) {
	c := qt.New(t)
	c.Check(wire.Millis(1500), qt.Equals, 1500*time.Millisecond)
	for _, below := range []int64{0, -1, math.MinInt64} {
		c.Check(wire.Millis(below), qt.Equals, time.Duration(0))
	}
	for _, above := range []int64{math.MaxInt64, math.MaxInt64 / 1000, math.MaxInt64/1_000_000 + 1} {
		c.Check(wire.Millis(above) > 99*365*24*time.Hour, qt.IsTrue)
	}
}

func TestAmountIsFinite(t *testing.T) {
	c := qt.New(t)
	c.Check(wire.Amount(2.5), qt.Equals, 2.5)
	for _, bad := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		c.Check(wire.Amount(bad), qt.Equals, 0.0)
	}
}
