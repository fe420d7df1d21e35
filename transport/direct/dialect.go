// Package direct implements a router that calls backend servers itself: it finds the route and
// the team of a request, decides with coordination/admission where it goes or whether it is
// refused, and relays the answer.
//
// cmd/goldcrestd calls it. The protocols of callers, backend servers and the store are
// supplied through the interfaces Dialect and Source.
package direct

import (
	"context"
	"net/http"
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/partquarantine"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/coordination/repeats"
	"goldcrestport/coordination/versions"
)

// Meta is what a caller's headers say about its request.
type Meta struct {
	// ID identifies this attempt of the caller.
	ID string
	// Key of the team; empty for none.
	Key string
	// TimeLeft is how long the caller waits; 0 if it does not say.
	TimeLeft time.Duration
	// Prompt is the number of prompt tokens, and Output the limit of generated tokens.
	Prompt, Output int
	// Shared are the prompt prefixes that other requests may share.
	Shared []admission.Prefix
	// LastEvent is the event after which a caller resumes; empty for none.
	LastEvent string
	// Resumes is the id of the caller's attempt that brought the first event of the stream
	// that this one resumes; empty for none.
	Resumes string
}

// Call is what the router adds to a request for one server.
type Call struct {
	// Server is the id of the only server that may run the request.
	Server string
	// Team whose request it is; empty on public routes without a key.
	Team     string
	TimeLeft time.Duration
	// ResumeAfter is the last event that the caller has; empty for the start.
	ResumeAfter string
	// FetchFrom is the address of a server from whose memory this one may fetch shared prompt
	// prefixes; empty for none.
	FetchFrom string
}

// Reply is what the head of an answer says about the run.
type Reply struct {
	// NotRun means that the server did not run the request and will not.
	NotRun bool
	// OtherServer means that a different server has the address.
	OtherServer bool
	// Marked means that the answer carries the server's mark, without which a success is not
	// the server's.
	Marked bool
	// Load is the server's own load; Slots is 0 if the server did not report it.
	Load admission.Load
	// Leaving means that the server is shutting down and accepts no new requests.
	Leaving bool
	// RetryAfter is the back-off that a server which refused the request asks of this router;
	// 0 if it does not say.
	RetryAfter time.Duration
	// Invalid is information about the server that cannot be parsed, for the log; empty for
	// none.
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

// Source is the store as a router needs it. Implementations are safe for concurrent use.
type Source interface {
	// Load reads everything, from the newest state of the store.
	Load(ctx context.Context) (mirror.Snapshot, error)
	// Changes waits up to the given time for changes after the revision. It returns
	// platform.ErrCompacted if they are no longer available.
	Changes(ctx context.Context, after uint64, wait time.Duration) (mirror.Delta, error)
	// Register creates this router's entry, or renews it; life is the one returned before, which
	// identifies this process, or 0.
	Register(ctx context.Context, id, address string, life versions.Life, ttl time.Duration) (versions.Life, error)
	// Unregister ends the entry.
	Unregister(ctx context.Context, life versions.Life) error
	// KeepHandedOver writes that the process of the router ends and that others know what it knew of
	// streams. That ends with its entry.
	KeepHandedOver(ctx context.Context, router string, life versions.Life) error
	// Keep writes the entry of a refused request with the given lifetime, or renews it.
	Keep(ctx context.Context, one quarantine.Entry, life time.Duration) error
	// Drop removes the entry of a request that is no longer refused.
	Drop(ctx context.Context, content quarantine.Fingerprint) error
	// KeepParts writes the entry of a refused set of parts of prompts with the given lifetime, or
	// renews it.
	KeepParts(ctx context.Context, one partquarantine.Entry, life time.Duration) error
	// DropParts removes the entry of a set that is no longer refused.
	DropParts(ctx context.Context, set partquarantine.SetID) error
	// KeepServed writes the record of versions that served lately, with the given lifetime; 0: until it is
	// replaced.
	KeepServed(ctx context.Context, record versions.Served, life time.Duration) error
	// KeepFleet writes the number of routers that share retries. The entry outlives the leases of
	// all routers.
	KeepFleet(ctx context.Context, record repeats.FleetRecord) error
	// KeepOrigins writes the origins of streams that began at the router, under the lease that was
	// returned before for the segment, or under a new one of the given lifetime if it is empty.
	KeepOrigins(ctx context.Context, router string, segment origin.Segment, lease string, life time.Duration) (string, error)
}
