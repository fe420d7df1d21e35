package claims

import "time"

// State of a record.
type State uint8

const (
	// Claimed means that one attempt may run, is running or has run.
	Claimed State = iota + 1
	// Finished means that the attempt ended with a known result.
	Finished
	// Unknown means that nobody can tell whether the attempt ran.
	Unknown
)

// Executor is the router process that may dispatch the attempt.
type Executor struct {
	// Incarnation is new with each start of a process.
	Incarnation string `json:"i"`
	// Address of the process for other routers, IP:port.
	Address string `json:"p"`
}

// Result is how an attempt ended.
type Result struct {
	// Outcome is a value of protocol/outcome.Kind.
	Outcome string `json:"o"`
	// Reason is a value of protocol/outcome.Reason, empty for completed.
	Reason string `json:"w,omitempty"`
	// Status is the HTTP status that the caller got.
	Status int `json:"c"`
	// MediaType of the answer.
	MediaType string `json:"m,omitempty"`
	// Kept tells that Body is the whole answer.
	Kept bool   `json:"k,omitempty"`
	Body []byte `json:"b,omitempty"`
	// Length and Digest describe an answer that was not kept.
	Length int64  `json:"l,omitempty"`
	Digest string `json:"x,omitempty"`
}

// Record is what is known of one key.
type Record struct {
	State State `json:"s"`
	// Digest of the request, from NewDigest.
	Digest string `json:"d"`
	// At is when the key was claimed, in Unix seconds.
	At int64 `json:"t"`
	// Attempt is the request that holds the claim; empty when finished.
	Attempt string `json:"a,omitempty"`
	// Executor of the attempt; empty when finished.
	Executor Executor `json:"e,omitzero"`
	// Result of the attempt; nil while claimed.
	Result *Result `json:"r,omitempty"`
}

// Expired reports whether the record may be dropped.
func (r Record) Expired(now time.Time, expiry time.Duration) bool {
	return now.Unix()-r.At > int64(expiry/time.Second)
}

// End returns the record of the attempt after it ended.
func (r Record) End(result Result) Record {
	state := Finished
	if result.Outcome == outcomeUnknown {
		state = Unknown
	}
	return Record{State: state, Digest: r.Digest, At: r.At, Result: &result}
}

// outcomeUnknown is protocol/outcome.Unknown.
const outcomeUnknown = "unknown"
