// Package direct runs a router that calls backend servers itself: it finds the
// route and the team of a request, decides with coordination/admission where it
// goes or that it is refused, and relays the answer.
//
// cmd/goldcrestd calls it. What callers, backend servers and the store speak
// comes in through the interfaces Dialect and Source.
package direct

import (
	"context"
	"net/http"
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/coordination/roster"
	"goldcrestport/state/routing"
)

// Meta is what a caller says of its request beside method, path and body.
type Meta struct {
	// ID names this attempt of the caller.
	ID string
	// Key of the team; empty for none.
	Key string
	// TimeLeft is how long the caller waits; 0 when it does not say.
	TimeLeft time.Duration
	// Prompt and Output are the tokens to read and the bound of those to
	// generate.
	Prompt, Output int
	// Shared are the parts of the prompt that other requests may have.
	Shared []admission.Part
	// LastEvent is the event after which a caller resumes; empty for none.
	LastEvent string
}

// Call is what the router adds for one server.
type Call struct {
	// Server is the id of the server that is to run the request and no other.
	Server string
	// Team whose request it is; empty on public routes without a key.
	Team     string
	TimeLeft time.Duration
	// ResumeAfter is the last event that the caller has; empty for the start.
	ResumeAfter string
	// FetchFrom is the address of a server from whose memory this one may take
	// shared parts of the prompt; empty for none.
	FetchFrom string
}

// Reply is what the head of an answer says of the run.
type Reply struct {
	// NotRun tells that the server did not run the request and will not.
	NotRun bool
	// OtherServer tells that another server has the address.
	OtherServer bool
	// Marked tells that the answer bears the server's mark, without which a
	// success is not the server's.
	Marked bool
	// Load is the server's own load; Slots is 0 when it did not say.
	Load admission.Load
	// Leaving tells that the server is about to end and wants no new requests.
	Leaving bool
	// RetryAfter is for how long a server that turned the request away wants none
	// from this router; 0 when it does not say.
	RetryAfter time.Duration
	// Invalid is what the server said of itself and cannot be read, for the log;
	// empty for nothing.
	Invalid string
}

// Dialect reads and writes the headers that callers and backend servers use.
type Dialect interface {
	// Meta reads the caller's headers.
	Meta(h http.Header) Meta
	// Outgoing returns the headers for the server. It must not change h.
	Outgoing(h http.Header, call Call) http.Header
	// Own reports whether the head of an answer belongs to the attempt.
	Own(h http.Header, id string) bool
	// Reply reads the head of an answer.
	Reply(status int, h http.Header) Reply
	// Incoming returns the headers for the caller. It must not change h.
	Incoming(h http.Header) http.Header
}

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

// Source is the store as a router needs it. Implementations are safe for
// concurrent use.
type Source interface {
	// Load reads everything, from the newest state of the store.
	Load(ctx context.Context) (Snapshot, error)
	// Changes waits up to the time for changes after the revision. It returns
	// platform.ErrCompacted when they are not known any more.
	Changes(ctx context.Context, after uint64, wait time.Duration) (Delta, error)
	// Register enters this router under a lease, or keeps its entry; lease is
	// the one returned before, or empty.
	Register(ctx context.Context, id, address, lease string, ttl time.Duration) (string, error)
	// Unregister ends the lease.
	Unregister(ctx context.Context, lease string) error
	// Keep enters a refused request for the life, or enters it anew.
	Keep(ctx context.Context, one quarantine.Entry, life time.Duration) error
	// Drop removes the entry of a request that is not refused any more.
	Drop(ctx context.Context, content quarantine.Fingerprint) error
}
