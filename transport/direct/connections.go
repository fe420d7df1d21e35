package direct

import "goldcrestport/protocol/settings"

// Limits for the callers' connections.
const (
	// connectionBytes is the memory of an open connection: two buffers, stacks and kernel
	// memory.
	connectionBytes = 24 << 10
	// connectionShare is the share of the process's memory for connections; beyond it the
	// garbage collector would run continuously.
	connectionShare = 0.25
	// freeShare of the maximum number of connections is kept free for new callers by closing
	// idle ones.
	freeShare = 1.0 / 16
	// crowdedShare of the maximum number is where connections get short idle timeouts.
	crowdedShare = 0.25
)

// maxConnections is the maximum number of callers' connections.
func maxConnections(set settings.Direct) int {
	byMemory := int(connectionShare * float64(set.Memory.Bytes()) / connectionBytes)
	return min(set.Callers.Connections, byMemory)
}

// maxKeptConnections is the number of connections above which idle ones are closed: a caller whose
// connection is not accepted waits unread.
func maxKeptConnections(set settings.Direct) int {
	most := maxConnections(set)
	return most - max(int(freeShare*float64(most)), 1)
}

// isFull reports whether the maximum number of callers' connections is open.
func (r *Router) isFull() bool { return r.callers.Open() >= maxConnections(r.set) }

// crowded reports whether connections should get a short idle timeout.
func (r *Router) crowded() bool {
	return float64(r.callers.Open()) > crowdedShare*float64(maxConnections(r.set))
}
