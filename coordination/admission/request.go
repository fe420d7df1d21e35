package admission

import (
	"time"

	"goldcrestport/coordination/enginememory"
	"goldcrestport/coordination/promptmix"
	"goldcrestport/coordination/roster"
)

// Prefix is a part of a prompt that other requests may share.
type Prefix struct {
	ID     uint64
	Tokens int
}

// Request is what a router knows of a request before it is sent.
type Request struct {
	Service string
	Team    string
	// Class groups requests of similar length, such as those of one route.
	Class string
	// Prompt is the number of prompt tokens; 0 for plain services.
	Prompt int
	// Output is the maximum number of tokens to generate.
	Output int
	// SharedPrefixes are the parts of the prompt, in order, that other requests may
	// have in common with it. The request's own last part is not among them.
	SharedPrefixes []Prefix
	// Objective is the time within which the first token has its full value; 0:
	// unknown.
	Objective time.Duration
	// Elapsed is the time since the caller's first attempt. If it is above 0, the
	// request was refused before.
	Elapsed time.Duration
	// Avoid names servers at which the request already failed.
	Avoid []string
	// Homes are lists of regions; the request may only go to servers whose region is
	// in each of them.
	Homes [][]string
	// Bound, if it is not nil, limits the request to servers that may go on with its stream.
	Bound *Bound
	// Isolation, if it is not nil, limits the request to few servers, as it may crash them.
	Isolation *Isolation
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Sent is set if the request was sent before and is already counted.
	Sent bool
	// Counted is set if the request was counted towards its team's demand when it
	// came.
	Counted bool
	// MayHaveRun is set if a server may have run the request: it is then sent to a
	// further one whatever the wait.
	MayHaveRun bool
}

// Bound limits a request to servers of one software version.
type Bound struct {
	Version roster.Version
	// Resumes means that the caller came back for the rest of a stream that is known to have begun:
	// it can go to no other servers, and what it has of the stream is lost otherwise.
	Resumes bool
	// Trusts reports whether the process behind the server's entry is known to be of its version.
	Trusts func(identity string) bool
	// TrustedIn returns how long it takes until it is, for a server whose process is not; 0: unknown.
	TrustedIn func(identity string) time.Duration
}

// allows reports whether the request may go to the server.
func (b *Bound) allows(srv *server) bool { return b == nil || srv.version == b.Version }

// resumes reports whether the caller came back for the rest of a stream.
func (b *Bound) resumes() bool { return b != nil && b.Resumes }

// trusts reports whether the process behind the server's entry is known well enough.
func (b *Bound) trusts(srv *server) bool { return b == nil || b.Trusts(srv.identity) }

// trustedIn returns how long it takes until it is known; 0: unknown.
func (b *Bound) trustedIn(srv *server) time.Duration {
	if b.TrustedIn == nil {
		return 0
	}
	return b.TrustedIn(srv.identity)
}

// Verdict says what happens to a request.
type Verdict int

// Verdicts.
const (
	// Send the request to the server of the decision.
	Send Verdict = iota
	// Refuse the request: no server can serve it in time.
	Refuse
	// NoServer says that the service has no usable server.
	NoServer
)

// Decision is the result of Place, with the inputs that led to it.
type Decision struct {
	Verdict Verdict
	Run     *Run
	// Server is the id of the chosen server, or of the best one if the request was
	// refused.
	Server string
	// Wait is the estimated wait for the first token there.
	Wait time.Duration
	// Limit is the wait up to which the request was admissible.
	Limit time.Duration
	// RetryAfter is the time after which a refused caller should come back.
	RetryAfter time.Duration
	// Size is the size class by which its prompt is treated.
	Size promptmix.Size
	// Estimate is the estimated time to its first token at the server.
	Estimate time.Duration
	// Unread is the number of the request's own prompt tokens that the server would
	// prefill.
	Unread int
	// QueueTokens and QueueRuns are the estimated numbers of prompt tokens and of
	// generations that the server had before this request.
	QueueTokens, QueueRuns int
	// Source is the id of a server from whose cache the chosen one may fetch shared
	// prefixes; empty for none.
	Source string
	// Rank is the rank of the server for the request's last shared prefix, from 0.
	Rank int
	// Standing is what the team received in relation to its max-min fair share of
	// the configured capacity; 0 while the total demand fits into it.
	Standing float64
	// Served is what the team received in relation to its max-min fair share of what
	// all teams received; 0 while nearly all of the demand is served.
	Served float64
	// Throttled is set if the team has received more than the least served team that
	// demands more, and has used up its rate at this router.
	Throttled bool
	// Cold is set if the chosen server is cold or, for a refusal, if only cold
	// servers are left and their rates are used up.
	Cold bool
	// BackingOff is the number of servers of the service that requested a back-off
	// which still lasts.
	BackingOff int
	// Fitness says why servers were excluded.
	Fitness Fitness
	// SinceBackoff is the time since the chosen server last requested a back-off, if
	// it has accepted no request since; else -1ms.
	SinceBackoff time.Duration
	// Reason is the reason of a refusal, for logs and metrics.
	Reason string
}

// Reasons of refusals.
const (
	ReasonWait     = "estimated_wait"
	ReasonNoServer = "no_server"
	ReasonCold     = "cold"
	// ReasonBackoff: all servers requested a back-off.
	ReasonBackoff = "backoff"
	// ReasonMemory: the request fits into no engine's memory beside what runs there. ReasonTooLarge: it fits
	// into none even when empty.
	ReasonMemory   = "engine_memory"
	ReasonTooLarge = "too_large_for_engine"
)

// Run is a request that was sent to a server. It is owned by the State.
type Run struct {
	server        *server
	class         string
	output        int
	prefillTokens float64
	healthProbe   bool
	// backoffProbe is set if the run is the first request after its server's
	// back-off.
	backoffProbe bool
	// sentAt is when the request was sent. estimate is the expected time to its
	// first token without the server's slowdown; 0: unknown.
	sentAt   time.Time
	estimate time.Duration
	// prefill is what the time to its first token is made of, and slowdown the factor that its
	// server reported with the answer; 0: none.
	prefill   prefill
	slowdown  float64
	started   bool
	startedAt time.Time
	ended     bool
	// sendBy is the time by which the request must have been sent; zero: no limit.
	sendBy time.Time
	// need is what the run occupies in its server's memory, if holdsMemory is set.
	need        enginememory.Need
	holdsMemory bool
}

// SendBy returns the time by which the request must have been sent to its server,
// which is cold; zero: no limit.
func (r *Run) SendBy() time.Time { return r.sendBy }

// Server returns the id of the run's server.
func (r *Run) Server() string { return r.server.id }

// Service returns the service of the run's server.
func (r *Run) Service() string { return r.server.service }

// Incarnation returns the incarnation of the run's server.
func (r *Run) Incarnation() roster.Incarnation { return r.server.incarnation }
