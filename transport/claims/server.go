package claims

import (
	"context"
	"time"

	"goldcrestport/protocol/wire"
	"goldcrestport/state/claims"
)

// Apply implements wire.DRPCClaimsServer. Any router may be asked to write
// any shard: compare-and-swap keeps two writers apart.
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
	fate, result := g.ownFate(m.Attempt)
	return &wire.ClaimFateResponse{Fate: wire.ClaimFate(fate), Result: resultToWire(result)}, nil
}
