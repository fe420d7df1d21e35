package slopes

import (
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFit(t *testing.T) {
	c := qt.New(t)
	s := Series{Points: []Point{{X: 1, Y: 5}, {X: 2, Y: 7}, {X: 4, Y: 11}}}
	f := s.Fit()
	c.Assert(math.Abs(f.Slope-2) < 1e-9, qt.IsTrue)
	c.Assert(math.Abs(f.At(10)-23) < 1e-9, qt.IsTrue)
	c.Assert(math.Abs(f.R2-1) < 1e-9, qt.IsTrue)
	c.Assert(Fit{Slope: -1}.At(5), qt.Equals, 0.0)
	c.Assert(Series{Points: []Point{{X: 1, Y: 5}}}.Fit().Intercept, qt.Equals, 5.0)
}

func TestWindows(t *testing.T) {
	p := windows(3, []float64{1, 5, 3})
	qt.Assert(t, p, qt.Equals, Point{X: 3, Y: 3, Spread: 2})
}

func TestSpliceReplacesOnlyBetweenTheMarks(t *testing.T) {
	c := qt.New(t)
	got, err := splice("a\n"+markBegin+"\nold\n"+markEnd+"\nb\n", "new\n")
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "a\n"+markBegin+"\nnew\n"+markEnd+"\nb\n")
	_, err = splice("no marks", "new")
	c.Assert(err, qt.IsNotNil)
}

func TestEveryBudgetLineHasAVerdict(t *testing.T) {
	c := qt.New(t)
	rows := budget(&set{}, Target)
	c.Assert(len(rows) > 10, qt.IsTrue)
	for _, r := range rows {
		c.Assert(r.verdict(), qt.Not(qt.Equals), "", qt.Commentf("%+v", r))
	}
	c.Assert(strings.Contains(renderBudget(rows), "not measured"), qt.IsTrue)
}
