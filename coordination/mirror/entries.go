package mirror

import (
	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/partquarantine"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/coordination/repeats"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/versions"
	"goldcrestport/state/routing"
)

// InvalidEntry is an entry of the store that its owner cannot have written: what it names
// is not used, while the other entries stay valid.
type InvalidEntry struct {
	// Key of the entry, and the Revision at which it was written.
	Key      string
	Revision uint64
	// Server is the id of the backend server that the key names; empty for entries of
	// another kind.
	Server string
	// IsConfig means that the entry is the operators' configuration: the one before it stays in force.
	IsConfig bool
	// Reason for the log.
	Reason string
}

// Name returns the server's id, or the key of an entry of another kind.
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
	// Life identifies the process that wrote the entry; 0 if that is not known.
	Life versions.Life
}

// Snapshot is everything that operators and backend servers have written to the store.
type Snapshot struct {
	// Config is the newest configuration; nil if there is none yet.
	Config  *routing.Config
	Servers []roster.Server
	// Invalid are entries in the store that cannot be used.
	Invalid []InvalidEntry
	// Routers are the registered routers by their ids.
	Routers map[string]Registration
	// Evacuated are the data centres whose servers get no requests.
	Evacuated []string
	// Refused are the requests that crash servers.
	Refused []quarantine.Entry
	// RefusedParts are the sets of parts of prompts that crash servers.
	RefusedParts []partquarantine.Entry
	// Served are the records of versions that served side by side.
	Served []versions.Served
	// HandedOver are processes of routers that ended as planned: others know what they knew of streams.
	HandedOver []versions.Life
	// Fleet is the number of routers that share retries; nil if there is none.
	Fleet *repeats.FleetRecord
	// Origins are those of streams that routers wrote for routers that begin; they are not passed on
	// from router to router.
	Origins []origin.Stored `json:"-"`
	// Revision after which to ask for changes.
	Revision uint64
}

// Delta is what changed after a revision.
type Delta struct {
	// Config is the newest configuration; nil if it did not change.
	Config  *routing.Config
	Servers []roster.Server
	// Removed are the ids of servers that no longer have an entry.
	Removed []string
	// Invalid are entries that changed and cannot be used.
	Invalid []InvalidEntry
	// Refused are requests that crash servers and were added.
	Refused []quarantine.Entry
	// RefusedParts are sets of parts of prompts that crash servers and were added or changed, and
	// ReleasedParts those that were removed.
	RefusedParts  []partquarantine.Entry
	ReleasedParts []partquarantine.SetID
	// Served are records of versions that were written.
	Served []versions.Served
	// HandedOver are processes of routers that ended as planned: others know what they knew of streams. Ended
	// are those that registered and ended within the change.
	HandedOver, Ended []versions.Life
	// Fleet is the number of routers that share retries; nil if it did not change.
	Fleet *repeats.FleetRecord
	// Origins are those of streams that routers wrote; they are not passed on from router to router.
	Origins []origin.Stored `json:"-"`
	// Joined and Left are the routers that registered, and those whose registration ended.
	Joined map[string]Registration
	Left   []string
	// Evacuated are data centres whose servers get no requests from now on, and Returned
	// those whose evacuation was revoked.
	Evacuated []string
	Returned  []string
	Revision  uint64
}
