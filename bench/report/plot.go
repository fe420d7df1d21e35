package report

import (
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Size of one panel and the space between panels.
const (
	panelWidth  = 12 * vg.Centimeter
	panelHeight = 10 * vg.Centimeter
	panelPad    = 4 * vg.Millimeter
)

// Plot writes a PNG file with one panel per trial: the service per share of
// each saturating team over time, in cost units.
func Plot(path string, trials []*Trial) error {
	row := make([]*plot.Plot, len(trials))
	for i, t := range trials {
		p, err := panel(t)
		if err != nil {
			return errors.Wrapf(err, "panel of %s", t.Policy)
		}
		row[i] = p
	}
	width := vg.Length(len(row)) * panelWidth
	canvas := vgimg.New(width, panelHeight)
	tiles := draw.Tiles{Rows: 1, Cols: len(row), PadX: panelPad, PadLeft: panelPad, PadRight: panelPad, PadTop: panelPad, PadBottom: panelPad}
	for i, c := range plot.Align([][]*plot.Plot{row}, tiles, draw.New(canvas))[0] {
		row[i].Draw(c)
	}
	return write(path, vgimg.PngCanvas{Canvas: canvas})
}

func write(path string, canvas vgimg.PngCanvas) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "plot folder")
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "plot file")
	}
	_, err = canvas.WriteTo(f)
	return errors.CombineErrors(err, f.Close())
}

func panel(t *Trial) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = t.Policy
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "service per share, cost units"
	p.Legend.Top, p.Legend.Left = true, true
	samples := t.window(t.To.Sub(t.From))
	var lines []any
	for _, team := range t.Teams {
		if team.Saturating() {
			lines = append(lines, team.Name, points(samples, team.Name, team.Share, t.From))
		}
	}
	return p, plotutil.AddLines(p, slices.Clip(lines)...)
}

func points(samples []TeamSample, team string, share float64, from time.Time) plotter.XYs {
	out := make(plotter.XYs, len(samples))
	for i, s := range samples {
		out[i].X = s.At.Sub(from).Seconds()
		out[i].Y = (s.Cost[team] - samples[0].Cost[team]) / share
	}
	return out
}
