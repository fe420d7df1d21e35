package main

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"goldcrestport/protocol/losses"
)

// Size of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// plotLosses plots the requests that ended in each second; the file extension selects
// the format.
func plotLosses(t *losses.Tally, file string) error {
	p := plot.New()
	p.Title.Text = "Requests by second and outcome"
	p.X.Label.Text = "seconds since the first line"
	p.Y.Label.Text = "requests"
	p.Legend.Top = true
	err := plotutil.AddLines(p,
		"in time", secondSeries(t, func(s *losses.Second) int { return s.Served }),
		"late", secondSeries(t, func(s *losses.Second) int { return s.Late }),
		"refused", secondSeries(t, func(s *losses.Second) int { return s.Refused }),
		"failed, cut or left", secondSeries(t, func(s *losses.Second) int { return s.Lost }),
	)
	if err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}

// secondSeries returns a value for each second; seconds without a request count as 0.
func secondSeries(t *losses.Tally, value func(*losses.Second) int) plotter.XYs {
	var out plotter.XYs
	for _, s := range t.Second {
		x := s.At.Sub(t.Second[0].At).Seconds()
		if n := len(out); n > 0 && x > out[n-1].X+1 {
			out = append(out, plotter.XY{X: out[n-1].X + 1}, plotter.XY{X: x - 1})
		}
		out = append(out, plotter.XY{X: x, Y: float64(value(s))})
	}
	return out
}
