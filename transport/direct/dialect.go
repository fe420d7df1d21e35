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
	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/quarantine"
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
	Shared []admission.Prefix
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

// Source is the store as a router needs it. Implementations are safe for
// concurrent use.
type Source interface {
	// Load reads everything, from the newest state of the store.
	Load(ctx context.Context) (mirror.Snapshot, error)
	// Changes waits up to the time for changes after the revision. It returns
	// platform.ErrCompacted when they are not known any more.
	Changes(ctx context.Context, after uint64, wait time.Duration) (mirror.Delta, error)
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
