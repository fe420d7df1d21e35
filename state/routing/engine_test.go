package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Hand-computed: 370,000 Mbit/s are 46.25 MB in a millisecond, and a token of
// 18,432 bytes is one of 2,509 in it. Without either figure nothing is passed on.
func TestFetchRateIsTokensInAMillisecond(t *testing.T) {
	rate := Engine{TokenBytes: 18432, LinkMbps: 370000}.FetchRate()
	qt.Check(t, rate > 2509 && rate < 2510, qt.IsTrue, qt.Commentf("%v", rate))
	qt.Check(t, Engine{TokenBytes: 18432}.FetchRate(), qt.Equals, 0.0)
	qt.Check(t, Engine{LinkMbps: 370000}.FetchRate(), qt.Equals, 0.0)
}
