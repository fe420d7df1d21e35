// Package resumed models, in virtual time, what becomes of streams that callers take up again, beside
// what becomes of new ones: a fleet of routers, backend servers of two software versions, callers,
// and pairs of troubles.
//
// Each decision is the product's own: coordination/origin, continuation, vouching, versions, roster
// and admission with its throttle. The model plays what lies between them: messages with delay and
// loss, connections, the store, engines, and the processor time of routers. A seed plays the same way
// each time, but for sums of fractions in the order of a map.
package resumed
