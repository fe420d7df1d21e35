// Package completeness decides whether the answer of a backend server is whole. It is whole
// only if something says so: that nothing failed while it was read is no proof.
//
// It is pure. Direct routers and sidecars use it.
package completeness

// Framing is how an answer tells where its body ends.
type Framing int

// Framings of HTTP/1.1.
const (
	// NoBody is an answer that has none, by its method or status.
	NoBody Framing = iota
	// Length is a body of an announced length.
	Length
	// Chunks is a body in chunks, the last of which is empty.
	Chunks
	// Connection is a body that ends with its connection.
	Connection
)

// String implements fmt.Stringer.
func (f Framing) String() string {
	return [...]string{"none", "length", "chunks", "connection"}[f]
}

// End is how the reading of an answer ended.
type End int

// Ends.
const (
	// Marked: the framing marked the end of the body.
	Marked End = iota
	// Closed: the connection was closed in good order.
	Closed
	// Reset: the connection was reset, or the way to the server was lost.
	Reset
	// Invalid: bytes came that are no answer.
	Invalid
	// GivenUp: whoever read it gave it up before its end.
	GivenUp
)

// String implements fmt.Stringer.
func (e End) String() string {
	return [...]string{"marked", "closed", "reset", "invalid", "given-up"}[e]
}

// Answer is what is known of an answer at its end.
type Answer struct {
	Framing Framing
	End     End
	// IsStream tells that the body is a stream of events.
	IsStream bool
	// Events is the number of whole events.
	Events int
	// IsInside tells that the body ended inside an event.
	IsInside bool
	// Continues tells that the stream goes on where another one broke off.
	Continues bool
}

// Verdict is what the end of an answer means.
type Verdict int

// Verdicts.
const (
	// Whole: something says that the answer is whole.
	Whole Verdict = iota
	// Broken: something says that it is not.
	Broken
	// Unmarked: nothing says either. The server is to be asked whether it is alive.
	Unmarked
)

// String implements fmt.Stringer.
func (v Verdict) String() string { return [...]string{"whole", "broken", "unmarked"}[v] }

// Judge decides what the end of the answer means.
func Judge(a Answer) Verdict {
	switch {
	case a.End == Reset || a.End == Invalid || a.End == GivenUp:
		return Broken
	case a.End == Closed && a.Framing != Connection:
		return Broken
	case a.IsStream && a.IsInside:
		return Broken
	case a.IsStream && a.Continues && a.Events == 0:
		// More was to come, and nothing says that there is nothing more.
		return Broken
	case a.Framing != Connection:
		return Whole
	case a.IsStream && a.Events == 0:
		return Broken
	default:
		return Unmarked
	}
}

// Sign is what the server shows right after the end of an answer.
type Sign int

// Signs.
const (
	// Silent: nothing that tells. A server that is known to leave shows nothing else.
	Silent Sign = iota
	// Takes: it takes connections.
	Takes
	// Refuses: it takes none, though it is not known to leave.
	Refuses
)

// String implements fmt.Stringer.
func (s Sign) String() string { return [...]string{"", "takes", "refuses"}[s] }

// Settle decides on an unmarked end by what the server shows right after it.
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
