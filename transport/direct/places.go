package direct

import "goldcrestport/protocol/settings"

// Figures of the callers' connections.
const (
	// connectionBytes is what an open connection takes: two buffers, stacks
	// and what the kernel holds.
	connectionBytes = 24 << 10
	// connectionShare is the part of the process's memory for connections;
	// past it the collector would run without end.
	connectionShare = 0.25
	// freeShare of the greatest number of connections is kept free for new
	// callers, by closing idle ones.
	freeShare = 1.0 / 16
	// crowdedShare of the greatest number is where connections get short
	// lives.
	crowdedShare = 0.25
)

// mostConnections is the greatest number of callers' connections.
func mostConnections(set settings.Direct) int {
	byMemory := int(connectionShare * float64(set.Memory.Bytes()) / connectionBytes)
	return min(set.Callers.Connections, byMemory)
}

// mostKept is the number of connections beyond which idle ones are closed: a
// caller that finds no place waits unheard.
func mostKept(set settings.Direct) int {
	most := mostConnections(set)
	return most - max(int(freeShare*float64(most)), 1)
}

// full reports whether no place is left for a new caller.
func (r *Router) full() bool { return r.callers.Open() >= mostConnections(r.set) }

// crowded reports whether connections should be short-lived.
func (r *Router) crowded() bool {
	return float64(r.callers.Open()) > crowdedShare*float64(mostConnections(r.set))
}
