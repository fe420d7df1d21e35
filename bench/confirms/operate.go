package confirms

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/bench/history"
	"goldcrestport/protocol/operator"
	"goldcrestport/transport/operatorclient"
)

// repeats bounds how often a confirmation is sent again.
const repeats = 5

// operate plans and confirms until enough was accepted in all.
func (r *run) operate(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(n)+1))
	for i := 0; ctx.Err() == nil && r.accepted.Load() < int64(r.opts.Accepted); i++ {
		share := float64(2 + n + i*r.opts.Operators)
		p, err := r.client(rng, operatorToken).Plan(ctx, wish(share), nil)
		if err != nil {
			continue
		}
		r.confirm(ctx, rng, n, confirmOf(p))
	}
}

// confirm sends one plan until its fate is known, and records what was told.
func (r *run) confirm(ctx context.Context, rng *rand.Rand, n int, ask operator.ConfirmRequest) {
	c := history.Change{Operator: fmt.Sprint("operator-", n), Base: ask.BaseRevision, Sent: time.Now(), Result: history.ChangeUnknown}
	for try := 0; try <= repeats && c.Result == history.ChangeUnknown && ctx.Err() == nil; try++ {
		if try > 0 {
			r.repeated.Add(1)
		}
		done, err := r.client(rng, operatorToken).Confirm(ctx, ask)
		c.Result = resultOf(err)
		if err == nil {
			c.Revision = done.Revision
			r.tell(done.Revision, ask.Digest)
		}
	}
	c.Ended = time.Now()
	r.history.Add(c)
}

func resultOf(err error) history.ChangeResult {
	var p *operatorclient.ProblemError
	switch {
	case err == nil:
		return history.ChangeAccepted
	case errors.As(err, &p) && p.Status == http.StatusConflict:
		return history.ChangeStale
	default:
		// Also "nothing was changed by this call": a call before it, at a
		// router that was killed, may have changed something.
		return history.ChangeUnknown
	}
}

// tell keeps what an operator was told.
func (r *run) tell(revision uint64, digest string) {
	r.accepted.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, known := r.told[revision]; known && old != digest {
		r.violate("two plans were told to be revision %d: %s and %s", revision, old, digest)
	}
	r.told[revision] = digest
}

func (r *run) violate(format string, args ...any) {
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
}
