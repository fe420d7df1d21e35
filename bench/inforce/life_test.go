package inforce

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestParseLine(t *testing.T) {
	c := qt.New(t)
	m, ok := parseLine("ts=2026-01-01T00:00:00.5Z role=router id=r event=config_in_force revision=7")
	c.Assert(ok, qt.IsTrue)
	c.Assert(m, qt.Equals, moment{at: at(500), revision: 7})
	_, ok = parseLine("ts=x event=config_in_force revision=7")
	c.Assert(ok, qt.IsFalse)
	_, ok = parseLine("ts=2026-01-01T00:00:00.5Z event=serving revision=7")
	c.Assert(ok, qt.IsFalse)
}

func TestReached(t *testing.T) {
	bound := 3 * time.Second
	tests := map[string]struct {
		life  life
		want  time.Duration
		count bool
	}{
		"in time":         {life{inForce: []moment{{at(10), 1}, {at(150), 3}}}, 50 * time.Millisecond, true},
		"never":           {life{inForce: []moment{{at(10), 1}}}, bound, true},
		"ended before":    {life{end: at(200)}, 0, false},
		"ended late":      {life{end: at(9000)}, bound, true},
		"started later":   {life{start: at(1000), inForce: []moment{{at(1300), 2}}}, 300 * time.Millisecond, true},
		"knew it already": {life{inForce: []moment{{at(90), 2}}}, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, count := test.life.reached(change{revision: 2, at: at(100)}, bound)
			qt.Assert(t, count, qt.Equals, test.count)
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

func TestFalls(t *testing.T) {
	l := life{inForce: []moment{{at(1), 1}, {at(2), 3}, {at(3), 2}}}
	qt.Assert(t, l.falls(), qt.Equals, 1)
}
