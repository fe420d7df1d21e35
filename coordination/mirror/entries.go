package mirror

import (
	"goldcrestport/coordination/quarantine"
	"goldcrestport/coordination/roster"
	"goldcrestport/state/routing"
)

// InvalidEntry is an entry of the store that its owner cannot have written: what
// it names is not used, and the other entries hold.
type InvalidEntry struct {
	// Key of the entry, and the Revision at which it was written.
	Key      string
	Revision uint64
	// Server is the id of the backend server that the key names; empty for
	// entries of another kind.
	Server string
	// Reason for the log.
	Reason string
}

// Name is the server's id, or the key of an entry of another kind.
func (e InvalidEntry) Name() string {
	if e.Server != "" {
		return e.Server
	}
	return e.Key
}

// Registration is a router's entry in the store.
type Registration struct {
	// Address at which other routers reach it.
	Address string
	// Since is the store's revision of the entry's creation.
	Since uint64
}

// Snapshot is everything that operators and backend servers wrote.
type Snapshot struct {
	// Config is the newest configuration; nil if there is none yet.
	Config  *routing.Config
	Servers []roster.Server
	// Invalid are entries that stand in the store and cannot be used.
	Invalid []InvalidEntry
	// Routers are the registered routers by their ids.
	Routers map[string]Registration
	// Evacuated are the data centres whose servers are to get nothing.
	Evacuated []string
	// Refused are the requests that crash servers.
	Refused []quarantine.Entry
	// Revision to ask for changes after.
	Revision uint64
}

// Delta is what changed after a revision.
type Delta struct {
	// Config is the newest configuration; nil if it did not change.
	Config  *routing.Config
	Servers []roster.Server
	// Removed are the ids of servers without an entry now.
	Removed []string
	// Invalid are entries that changed and cannot be used.
	Invalid []InvalidEntry
	// Refused are requests that crash servers and were entered.
	Refused []quarantine.Entry
	// Joined and Left are changes of the registered routers.
	Joined map[string]Registration
	Left   []string
	// Evacuated are data centres whose servers are to get nothing from now on,
	// and Returned those of which that was taken back.
	Evacuated []string
	Returned  []string
	Revision  uint64
}

// IsEmpty reports whether nothing of what routers follow changed.
func (d *Delta) IsEmpty() bool {
	return d.Config == nil && len(d.Servers)+len(d.Removed)+len(d.Invalid)+len(d.Joined)+len(d.Left)+len(d.Evacuated)+len(d.Returned) == 0
}
