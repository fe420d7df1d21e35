// Package report turns what was observed in a trial into figures, medians over
// repeated trials and a plot.
//
// bench/experiment calls it; it reads no clock and no process.
package report
