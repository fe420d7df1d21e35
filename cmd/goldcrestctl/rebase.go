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
func (a *app) confirmRebased(ctx context.Context, ask operator.ConfirmRequest, confirm func(operator.ConfirmRequest) error) error {
	mine, err := documentOf(ask.Intent)
	if err != nil {
		return err
	}
	if err = confirm(ask); !isStale(err) {
		return err
	}
	base, err := a.contentOf(ctx, ask.BaseRevision)
	if err != nil {
		return err
	}
	for range rebaseAttempts {
		err = a.rebaseOnce(ctx, base, mine, confirm)
		if !isStale(err) {
			return err
		}
	}
	return err
}

// rebaseOnce plans the changes from base to mine against the newest revision, prints
// the plan and confirms it.
func (a *app) rebaseOnce(ctx context.Context, base, mine *config.Document, confirm func(operator.ConfirmRequest) error) error {
	newest, err := a.client().Config(ctx)
	if err != nil {
		return err
	}
	merged, both := plan.Rebase(base, mine, newest.Intent.Document())
	if len(both) > 0 {
		return errors.Wrapf(errMeets, "others changed %s too; plan again", strings.Join(both, ", "))
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
		a.say("Nothing left to change: revision %d has it already.", newest.Revision)
		return nil
	}
	a.tell("Other changes came between; put on top of revision %d:", newest.Revision)
	for _, line := range p.Plan.Lines() {
		a.tell("%s", line)
	}
	return confirm(operator.ConfirmRequest{Intent: data, BaseRevision: p.Plan.BaseRevision, Digest: p.Plan.Digest})
}

// errMeets is returned if the plan and later revisions change the same objects.
var errMeets = errors.New("the plan is stale")

// contentOf returns the configuration of a revision.
func (a *app) contentOf(ctx context.Context, revision uint64) (*config.Document, error) {
	if revision == 0 {
		return &config.Document{}, nil
	}
	old, err := a.client().RollbackPlan(ctx, revision)
	if err != nil {
		return nil, err
	}
	return old.Intent.Document(), nil
}

func documentOf(text json.RawMessage) (*config.Document, error) {
	in, err := intent.Parse(text)
	if err != nil {
		return nil, err
	}
	return in.Document(), nil
}
