// Package latency measures what the path through a router and a sidecar adds
// to a call of the backend server: the time, its parts per hop, the routers'
// throughput and the processor time of a request.
//
// bench/cmd/latency calls it. It uses bench/fleet for the processes.
package latency
