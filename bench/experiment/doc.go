// Package experiment runs the seeded workload against a fleet of real
// processes, once per policy, and observes it.
//
// bench/cmd/measure calls it. It uses bench/fleet for the processes,
// bench/load for the callers, bench/observe for the samples and bench/report
// for the figures.
package experiment
