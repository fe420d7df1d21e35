package claims

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"goldcrestport/coordination/claim"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/claims"
)

// TestNumbersAgree checks that kinds, verdicts and fates have the same numeric
// values in the core and on the wire, since they are converted by a cast.
func TestNumbersAgree(t *testing.T) {
	c := quicktest.New(t)
	for core, w := range map[claim.Kind]wire.ClaimKind{
		claim.Acquire: wire.ClaimKind_CLAIM_KIND_ACQUIRE,
		claim.Finish:  wire.ClaimKind_CLAIM_KIND_FINISH,
		claim.Release: wire.ClaimKind_CLAIM_KIND_RELEASE,
	} {
		c.Check(wire.ClaimKind(core), quicktest.Equals, w)
	}
	for core, w := range map[claim.Verdict]wire.ClaimVerdict{
		claim.Granted:     wire.ClaimVerdict_CLAIM_VERDICT_GRANTED,
		claim.Held:        wire.ClaimVerdict_CLAIM_VERDICT_HELD,
		claim.Replayed:    wire.ClaimVerdict_CLAIM_VERDICT_REPLAYED,
		claim.Reused:      wire.ClaimVerdict_CLAIM_VERDICT_REUSED,
		claim.Done:        wire.ClaimVerdict_CLAIM_VERDICT_DONE,
		claim.Unavailable: wire.ClaimVerdict_CLAIM_VERDICT_UNAVAILABLE,
		claim.Full:        wire.ClaimVerdict_CLAIM_VERDICT_FULL,
	} {
		c.Check(wire.ClaimVerdict(core), quicktest.Equals, w)
	}
	for core, w := range map[claims.Fate]wire.ClaimFate{
		claims.FateNotRun:  wire.ClaimFate_CLAIM_FATE_NOT_RUN,
		claims.FateRunning: wire.ClaimFate_CLAIM_FATE_RUNNING,
		claims.FateEnded:   wire.ClaimFate_CLAIM_FATE_ENDED,
		claims.FateGone:    wire.ClaimFate_CLAIM_FATE_GONE,
	} {
		c.Check(wire.ClaimFate(core), quicktest.Equals, w)
	}
}

func TestCallsAndAnswersRoundTrip(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_800_000_000, 0)
	result := claims.Result{Outcome: "completed", Reason: "r", Status: 201, MediaType: "m", Kept: true, Body: []byte("b"), Length: 3, Digest: "x"}
	call := claim.Call{
		Kind: claim.Finish, Key: "k", Digest: "d", Attempt: "a", Executor: claims.Executor{Incarnation: "i", Address: "p"},
		Over: "o", Fresh: true, Result: result, Deadline: now.Add(time.Second),
	}
	c.Check(fromWire(toWire(call, time.Second), now), quicktest.DeepEquals, call)
	answer := claim.Answer{Verdict: claim.Held, Record: claims.Record{
		Attempt: "a", Executor: claims.Executor{Incarnation: "i", Address: "p"}, Result: &result,
	}}
	c.Check(answerFromWire(answerToWire(answer)), quicktest.DeepEquals, answer)
}
