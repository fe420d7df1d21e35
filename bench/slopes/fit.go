package slopes

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measured cost at one size.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
	// Spread is half the distance between the least and the greatest window.
	Spread float64 `json:"spread"`
}

// Series is one cost of one role over one quantity.
type Series struct {
	Role string `json:"role"`
	// Cost names what was measured, with its unit.
	Cost string `json:"cost"`
	// Per names the quantity that was varied.
	Per    string  `json:"per"`
	Points []Point `json:"points"`
}

// Fit is the line through the points of a series.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// R2 is the part of the variation that the line explains.
	R2 float64 `json:"r2"`
}

// Fit returns the least-squares line.
func (s Series) Fit() Fit {
	var x, y []float64
	for _, p := range s.Points {
		x = append(x, p.X)
		y = append(y, p.Y)
	}
	if len(x) < 2 {
		return Fit{Intercept: mean(y)}
	}
	a, b := stat.LinearRegression(x, y, nil, false)
	r2 := stat.RSquared(x, y, nil, a, b)
	if math.IsNaN(r2) {
		r2 = 0
	}
	return Fit{Slope: b, Intercept: a, R2: r2}
}

// At returns the value of the line. A measured cost is never below zero.
func (f Fit) At(x float64) float64 { return max(f.Intercept+f.Slope*x, 0) }

func mean(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	return stat.Mean(v, nil)
}

// windows sums up repeated readings at one size.
func windows(x float64, y []float64) Point {
	if len(y) == 0 {
		return Point{X: x}
	}
	least, most := y[0], y[0]
	for _, v := range y {
		least, most = min(least, v), max(most, v)
	}
	return Point{X: x, Y: mean(y), Spread: (most - least) / 2}
}

// set collects series by role, cost and quantity, in the order of arrival.
type set struct {
	order []*Series
}

// add adds a point to its series.
func (s *set) add(role, cost, per string, p Point) {
	for _, have := range s.order {
		if have.Role == role && have.Cost == cost && have.Per == per {
			have.Points = append(have.Points, p)
			return
		}
	}
	s.order = append(s.order, &Series{Role: role, Cost: cost, Per: per, Points: []Point{p}})
}

// find returns the series, empty if it was not measured.
func (s *set) find(role, cost, per string) Series {
	for _, have := range s.order {
		if have.Role == role && have.Cost == cost && have.Per == per {
			return *have
		}
	}
	return Series{Role: role, Cost: cost, Per: per}
}
