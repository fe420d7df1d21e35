package confirms

import (
	"context"
	"math/rand/v2"

	"goldcrestport/bench/history"
	"goldcrestport/state/config"
	"goldcrestport/transport/operatorclient"
)

// check looks for breaches in what was told and in what is kept.
func (r *run) check(ctx context.Context) error {
	for _, c := range r.history.Changes {
		switch c.Result {
		case history.ChangeAccepted:
			r.report.Accepted++
		case history.ChangeStale:
			r.report.Stale++
		default:
			r.report.Unknown++
		}
	}
	for _, res := range history.Check(&r.history, history.DefaultBounds()) {
		if res.Promise == history.LinearChanges {
			r.report.Violations = append(r.report.Violations, res.Violations...)
		}
	}
	for _, router := range r.routers {
		if err := r.fleet.WaitHTTP(ctx, router.Ops, "/healthz"); err != nil {
			return err
		}
	}
	return r.checkKept(ctx)
}

// maxHistory is what one call gives at most.
const maxHistory = 500

// checkKept compares the kept history with what operators were told, and goes
// back to some revisions.
func (r *run) checkKept(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 100))
	client := r.client(rng, operatorToken)
	kept, err := client.History(ctx, maxHistory)
	if err != nil {
		return err
	}
	next := kept.Entries[0].Revision
	r.report.Revisions = next
	for _, e := range kept.Entries {
		if e.Revision != next {
			r.violate("revision %d follows %d in the history", next, e.Revision)
		}
		if digest, known := r.told[e.Revision]; known && digest != e.Digest {
			r.violate("revision %d is kept as %s and was told as %s", e.Revision, e.Digest, digest)
		}
		next--
	}
	if next != 0 && len(kept.Entries) < maxHistory {
		r.violate("the history ends before revision %d", next)
	}
	for range 10 {
		e := kept.Entries[rng.IntN(len(kept.Entries))]
		if err := r.checkContent(ctx, client, e.Revision, e.Digest); err != nil {
			return err
		}
	}
	return nil
}

// checkContent computes the digest of an older revision's content again.
func (r *run) checkContent(ctx context.Context, client *operatorclient.Client, revision uint64, digest string) error {
	p, err := client.RollbackPlan(ctx, revision)
	if err != nil {
		return err
	}
	found, err := config.PlanDigest(revision-1, p.Intent.Document())
	if err == nil && found != digest {
		r.violate("the content of revision %d has digest %s, not %s", revision, found, digest)
	}
	return err
}
