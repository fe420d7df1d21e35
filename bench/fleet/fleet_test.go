package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestParseStat(t *testing.T) {
	c := qt.New(t)
	u, err := parseStat("12 (a b) c) S 1 1 1 0 -1 0 0 0 0 0 150 50 0 0 20 0 9 0 100 1000 7 0")
	c.Assert(err, qt.IsNil)
	c.Assert(u.CPU, qt.Equals, 2*time.Second)
	c.Assert(u.RSS > 0, qt.IsTrue)
	_, err = parseStat("12 (a")
	c.Assert(err, qt.IsNotNil)
}

func TestAddressesDiffer(t *testing.T) {
	c := qt.New(t)
	a, err := Address()
	c.Assert(err, qt.IsNil)
	b, err := Address()
	c.Assert(err, qt.IsNil)
	c.Assert(a, qt.Not(qt.Equals), b)
}
