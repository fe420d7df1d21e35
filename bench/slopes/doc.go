// Package slopes measures what each role costs as the fleet, the load and the
// configuration grow, fits a line to each cost, and works out the values at the
// size to design for.
//
// It starts real processes on loopback, a few hundred at most, and ends by
// itself. The tables go into docs/CAPACITY-SIDECARS.md.
package slopes
