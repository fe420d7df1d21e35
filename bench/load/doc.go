// Package load makes the seeded workload of the measurements: teams with
// their callers, the requests they send and the record of how each ended.
//
// bench/experiment runs it against a fleet. It knows only the callers' HTTP
// interface of the routers.
package load
