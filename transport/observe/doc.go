// Package observe sets up the observability of a process: logs, metrics, traces
// and health checks.
//
// Routers, sidecars and cmd/goldcrestd use it. Its state belongs to a process
// value rather than to the program, so that a test can run several of them.
package observe
