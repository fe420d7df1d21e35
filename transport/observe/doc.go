// Package observe sets up what a process shows of itself: logs, metrics,
// traces and health.
//
// Routers, sidecars and cmd/goldcrestd call it. Every set-up belongs to one
// process value, not to the program, so that tests may hold many.
package observe
