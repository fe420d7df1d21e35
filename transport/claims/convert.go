package claims

import (
	"time"

	"goldcrestport/coordination/claim"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/claims"
)

// toWire encodes a call. Kinds, verdicts and fates have the same numeric values
// in the core and on the wire; TestNumbersAgree checks this.
func toWire(c claim.Call, wait time.Duration) *wire.ClaimCall {
	m := &wire.ClaimCall{
		Kind:     wire.ClaimKind(c.Kind),
		Key:      string(c.Key),
		Digest:   c.Digest,
		Attempt:  c.Attempt,
		Executor: executorToWire(c.Executor),
		Over:     c.Over,
		Fresh:    c.Fresh,
		WaitMs:   wait.Milliseconds(),
	}
	if c.Kind == claim.Finish {
		m.Result = resultToWire(&c.Result)
	}
	return m
}

func fromWire(m *wire.ClaimCall, now time.Time) claim.Call {
	c := claim.Call{
		Kind:     claim.Kind(m.Kind),
		Key:      claims.Key(m.Key),
		Digest:   m.Digest,
		Attempt:  m.Attempt,
		Executor: executorFromWire(m.Executor),
		Over:     m.Over,
		Fresh:    m.Fresh,
		Deadline: now.Add(wire.Millis(m.WaitMs)),
	}
	if m.Result != nil {
		c.Result = *resultFromWire(m.Result)
	}
	return c
}

func answerToWire(a claim.Answer) *wire.ClaimAnswer {
	return &wire.ClaimAnswer{
		Verdict:  wire.ClaimVerdict(a.Verdict),
		Attempt:  a.Record.Attempt,
		Executor: executorToWire(a.Record.Executor),
		Result:   resultToWire(a.Record.Result),
	}
}

func answerFromWire(m *wire.ClaimAnswer) claim.Answer {
	return claim.Answer{
		Verdict: claim.Verdict(m.Verdict),
		Record: claims.Record{
			Attempt:  m.Attempt,
			Executor: executorFromWire(m.Executor),
			Result:   resultFromWire(m.Result),
		},
	}
}

func executorToWire(e claims.Executor) *wire.ClaimExecutor {
	return &wire.ClaimExecutor{Incarnation: e.Incarnation, Address: e.Address}
}

func executorFromWire(m *wire.ClaimExecutor) claims.Executor {
	return claims.Executor{Incarnation: m.GetIncarnation(), Address: m.GetAddress()}
}

func resultToWire(r *claims.Result) *wire.ClaimResult {
	if r == nil {
		return nil
	}
	return &wire.ClaimResult{
		Outcome:   r.Outcome,
		Reason:    r.Reason,
		Status:    int32(r.Status),
		MediaType: r.MediaType,
		Kept:      r.Kept,
		Body:      r.Body,
		Length:    r.Length,
		Digest:    r.Digest,
	}
}

func resultFromWire(m *wire.ClaimResult) *claims.Result {
	if m == nil {
		return nil
	}
	return &claims.Result{
		Outcome:   m.Outcome,
		Reason:    m.Reason,
		Status:    int(m.Status),
		MediaType: m.MediaType,
		Kept:      m.Kept,
		Body:      m.Body,
		Length:    m.Length,
		Digest:    m.Digest,
	}
}
