package claims

import (
	"context"
	"time"

	"goldcrestport/protocol/wire"
	"goldcrestport/state/claims"
)

// Apply implements wire.DRPCClaimsServer. Any router accepts writes to any shard:
// compare-and-swap keeps concurrent writers from overwriting each other.
func (g *Guard) Apply(ctx context.Context, m *wire.ClaimCall) (*wire.ClaimAnswer, error) {
	c := fromWire(m, time.Now())
	ctx, cancel := context.WithDeadline(ctx, c.Deadline.Add(2*tickEvery))
	defer cancel()
	return answerToWire(g.writer.ask(ctx, c)), nil
}

// Fate implements wire.DRPCClaimsServer.
func (g *Guard) Fate(_ context.Context, m *wire.ClaimFateRequest) (*wire.ClaimFateResponse, error) {
	if m.Incarnation != g.executor.Incarnation {
		return &wire.ClaimFateResponse{Fate: wire.ClaimFate(claims.FateGone)}, nil
	}
	fate, result := g.localFate(m.Attempt)
	return &wire.ClaimFateResponse{Fate: wire.ClaimFate(fate), Result: resultToWire(result)}, nil
}
