package claims

import "time"

// State is the state of a record.
type State uint8

const (
	// Claimed means that one attempt holds the claim and may run, is running or
	// has run.
	Claimed State = iota + 1
	// Finished means that the attempt ended with a known result.
	Finished
	// Unknown means that it cannot be determined whether the attempt ran.
	Unknown
)

// Executor is the router process that may dispatch the attempt.
type Executor struct {
	// Incarnation identifies one start of the process.
	Incarnation string `json:"i"`
	// Address is the IP:port at which other routers reach the process.
	Address string `json:"p"`
}

// Result is the result of an attempt.
type Result struct {
	// Outcome is a value of protocol/outcome.Kind.
	Outcome string `json:"o"`
	// Reason is a value of protocol/outcome.Reason, empty for completed.
	Reason string `json:"w,omitempty"`
	// Status is the HTTP status sent to the caller.
	Status int `json:"c"`
	// MediaType is the media type of the answer.
	MediaType string `json:"m,omitempty"`
	// Kept reports whether Body contains the complete answer.
	Kept bool   `json:"k,omitempty"`
	Body []byte `json:"b,omitempty"`
	// Length and Digest describe an answer whose body was not stored.
	Length int64  `json:"l,omitempty"`
	Digest string `json:"x,omitempty"`
}

// Record is the stored state of one key.
type Record struct {
	State State `json:"s"`
	// Digest is the digest of the request, from NewDigest.
	Digest string `json:"d"`
	// At is when the key was claimed, in Unix seconds.
	At int64 `json:"t"`
	// Attempt identifies the request that holds the claim; empty when finished.
	Attempt string `json:"a,omitempty"`
	// Executor is the process that runs the attempt; empty when finished.
	Executor Executor `json:"e,omitzero"`
	// Result is the result of the attempt; nil while claimed.
	Result *Result `json:"r,omitempty"`
}

// Expired reports whether the record may be deleted.
func (r Record) Expired(now time.Time, expiry time.Duration) bool {
	return now.Unix()-r.At > int64(expiry/time.Second)
}

// End returns the record that replaces r when its attempt has ended.
func (r Record) End(result Result) Record {
	state := Finished
	if result.Outcome == outcomeUnknown {
		state = Unknown
	}
	return Record{State: state, Digest: r.Digest, At: r.At, Result: &result}
}

// outcomeUnknown is protocol/outcome.Unknown.
const outcomeUnknown = "unknown"
