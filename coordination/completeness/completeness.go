// Package completeness decides whether a response of a backend server is complete. It is
// complete only if there is positive evidence: reading it without an error is not enough.
//
// The package does no I/O. Direct routers and sidecars use it.
package completeness

// Framing is how a response delimits its body.
type Framing int

// Framings of HTTP/1.1.
const (
	// NoBody is a response without a body, by its method or status.
	NoBody Framing = iota
	// Length is a body with a Content-Length.
	Length
	// Chunks is a body in chunked transfer coding, which ends with an empty chunk.
	Chunks
	// Connection is a body that ends when its connection is closed.
	Connection
)

// String implements fmt.Stringer.
func (f Framing) String() string {
	return [...]string{"none", "length", "chunks", "connection"}[f]
}

// End is how reading a response ended.
type End int

const (
	// Marked means that the framing marked the end of the body.
	Marked End = iota
	// Closed means that the connection was closed cleanly (FIN).
	Closed
	// Reset means that the connection was reset or the server became unreachable.
	Reset
	// Invalid means that the received bytes are not a valid response.
	Invalid
	// GivenUp means that the reader abandoned the response before its end.
	GivenUp
)

// String implements fmt.Stringer.
func (e End) String() string {
	return [...]string{"marked", "closed", "reset", "invalid", "given-up"}[e]
}

// Answer describes a response at its end.
type Answer struct {
	Framing Framing
	End     End
	// IsStream reports whether the body is an event stream.
	IsStream bool
	// Events is the number of complete events.
	Events int
	// IsInside reports whether the body ended inside an event.
	IsInside bool
	// Continues reports whether the stream continues an interrupted one.
	Continues bool
}

// Verdict is the decision about the completeness of a response.
type Verdict int

const (
	// Whole means that the response is complete.
	Whole Verdict = iota
	// Broken means that the response is incomplete.
	Broken
	// Unmarked means that the response alone does not show whether it is complete. The
	// caller must check whether the server is still alive and pass the result to Settle.
	Unmarked
)

// String implements fmt.Stringer.
func (v Verdict) String() string { return [...]string{"whole", "broken", "unmarked"}[v] }

// Judge decides whether the response is complete.
func Judge(a Answer) Verdict {
	switch {
	case a.End == Reset || a.End == Invalid || a.End == GivenUp:
		return Broken
	case a.End == Closed && a.Framing != Connection:
		return Broken
	case a.IsStream && a.IsInside:
		return Broken
	case a.IsStream && a.Continues && a.Events == 0:
		// The interrupted stream was incomplete, so an empty continuation doesn't complete it.
		return Broken
	case a.Framing != Connection:
		return Whole
	case a.IsStream && a.Events == 0:
		return Broken
	default:
		return Unmarked
	}
}

// Sign is the observed state of the server right after the end of a response.
type Sign int

const (
	// Silent means that the server's state is unknown. It is also used for a server that is
	// known to be shutting down, whose refused connections are no sign of a crash.
	Silent Sign = iota
	// Takes means that the server accepts connections.
	Takes
	// Refuses means that the server refuses connections and is not known to be shutting down.
	Refuses
)

// String implements fmt.Stringer.
func (s Sign) String() string { return [...]string{"", "takes", "refuses"}[s] }

// Settle resolves an Unmarked verdict by the state of the server right after the response.
func (v Verdict) Settle(s Sign) Verdict {
	switch {
	case v != Unmarked:
		return v
	case s == Refuses:
		return Broken
	default:
		return Whole
	}
}
