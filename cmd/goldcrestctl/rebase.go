package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/plan"
	"goldcrestport/protocol/intent"
	"goldcrestport/protocol/operator"
	"goldcrestport/state/config"
	"goldcrestport/transport/operatorclient"
)

// rebaseAttempts bounds how often a plan is rebased onto a newer revision.
const rebaseAttempts = 8

func isStale(err error) bool {
	var p *operatorclient.ProblemError
	return errors.As(err, &p) && p.Status == http.StatusConflict
}

// confirmRebased confirms the plan. After concurrent changes it rebases the plan onto
// the newest revision, unless the changes conflict.
func (a *app) confirmRebased(ctx context.Context, request operator.ConfirmRequest, confirm func(operator.ConfirmRequest) error) error {
	planned, err := parseDocument(request.Intent)
	if err != nil {
		return err
	}
	if err = confirm(request); !isStale(err) {
		return err
	}
	base, err := a.documentAt(ctx, request.BaseRevision)
	if err != nil {
		return err
	}
	for range rebaseAttempts {
		err = a.rebaseOnce(ctx, base, planned, confirm)
		if !isStale(err) {
			return err
		}
	}
	return err
}

// rebaseOnce plans the changes from base to planned against the newest revision, prints
// the plan and confirms it.
func (a *app) rebaseOnce(ctx context.Context, base, planned *config.Document, confirm func(operator.ConfirmRequest) error) error {
	newest, err := a.client().Config(ctx)
	if err != nil {
		return err
	}
	merged, conflicts := plan.Rebase(base, planned, newest.Intent.Document())
	if len(conflicts) > 0 {
		return errors.Wrapf(errConflict, "others changed %s too; plan again", strings.Join(conflicts, ", "))
	}
	data, err := json.Marshal(intent.FromDocument(merged))
	if err != nil {
		return err
	}
	p, err := a.client().Plan(ctx, data, &newest.Revision)
	if err != nil {
		return err
	}
	if p.Plan.Empty() {
		a.printLine("Nothing left to change: revision %d has it already.", newest.Revision)
		return nil
	}
	a.printTableLine("Other changes came between; put on top of revision %d:", newest.Revision)
	for _, line := range p.Plan.Lines() {
		a.printTableLine("%s", line)
	}
	return confirm(operator.ConfirmRequest{Intent: data, BaseRevision: p.Plan.BaseRevision, Digest: p.Plan.Digest})
}

// errConflict is returned if the plan and later revisions change the same objects.
var errConflict = errors.New("the plan is stale")

// documentAt returns the configuration of a revision.
func (a *app) documentAt(ctx context.Context, revision uint64) (*config.Document, error) {
	if revision == 0 {
		return &config.Document{}, nil
	}
	old, err := a.client().RollbackPlan(ctx, revision)
	if err != nil {
		return nil, err
	}
	return old.Intent.Document(), nil
}

func parseDocument(text json.RawMessage) (*config.Document, error) {
	in, err := intent.Parse(text)
	if err != nil {
		return nil, err
	}
	return in.Document(), nil
}
