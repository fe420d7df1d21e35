package operators

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/plan"
	"goldcrestport/protocol/document"
	"goldcrestport/protocol/intent"
	"goldcrestport/protocol/operator"
	"goldcrestport/protocol/outcome"
	"goldcrestport/state/config"
)

// plan answers what an intent would change. Nothing changes.
func (s *Server) plan(req *http.Request, _ string) (any, error) {
	var ask operator.PlanRequest
	if err := readJSON(req, &ask); err != nil {
		return nil, err
	}
	in, err := intent.Parse(ask.Intent)
	if err != nil {
		return nil, badIntent(err)
	}
	ctx, cancel := context.WithTimeout(req.Context(), callTimeout)
	defer cancel()
	base, err := s.base(ctx)
	if err != nil {
		return nil, err
	}
	if ask.BaseRevision != nil && *ask.BaseRevision != base.Revision {
		return nil, s.stale(ctx, *ask.BaseRevision, base)
	}
	return s.planFor(ctx, base, in)
}

// planFor compares and checks that the result can be stored.
func (s *Server) planFor(ctx context.Context, base *config.Document, in *intent.Intent) (any, error) {
	next := in.Document()
	p, err := plan.Compare(base, next, s.router.Facts(ctx, changedTeams(base, next)))
	if err != nil {
		return nil, err
	}
	back := config.Between(next, base)
	next.Back = &back
	if _, err := document.Encode(next); err != nil {
		return nil, failure(http.StatusUnprocessableEntity, operator.ReasonConfigLarge, err.Error())
	}
	return operator.PlanResponse{Plan: p, Intent: intent.FromDocument(next)}, nil
}

// maxFactTeams bounds the teams whose waiting work is asked for.
const maxFactTeams = 200

// changedTeams returns the names of the teams that stand in both documents or
// in the base only, and change.
func changedTeams(base, next *config.Document) []string {
	var out []string
	for name := range config.Between(base, next).Teams {
		if _, before := base.Teams[name]; before {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), maxFactTeams)]
}

// base returns the newest revision, an empty document if there is none.
func (s *Server) base(ctx context.Context) (*config.Document, error) {
	head, err := s.ledger.Head(ctx)
	if err != nil {
		return nil, unreachable(err)
	}
	if head == nil {
		return &config.Document{}, nil
	}
	return head, nil
}

// rollbackPlan plans a newer revision with the content of an older one.
func (s *Server) rollbackPlan(req *http.Request, _ string) (any, error) {
	var ask operator.RollbackRequest
	if err := readJSON(req, &ask); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(req.Context(), callTimeout)
	defer cancel()
	base, err := s.base(ctx)
	if err != nil {
		return nil, err
	}
	old, err := s.ledger.At(ctx, base, ask.Revision)
	if errors.Is(err, ErrForgotten) {
		return nil, failure(http.StatusNotFound, operator.ReasonForgotten, err.Error())
	}
	if err != nil {
		return nil, unreachable(err)
	}
	// An older revision is checked as any other intent.
	text, err := json.Marshal(intent.FromDocument(old))
	if err != nil {
		return nil, err
	}
	in, err := intent.Parse(text)
	if err != nil {
		return nil, badIntent(err)
	}
	return s.planFor(ctx, base, in)
}

// maxMeanwhile bounds the revisions that a stale plan is answered with.
const maxMeanwhile = 20

// stale names what was accepted since the base.
func (s *Server) stale(ctx context.Context, base uint64, head *config.Document) error {
	p := failure(http.StatusConflict, operator.ReasonStalePlan, "the configuration changed since the plan was made; plan again")
	if head == nil {
		return p
	}
	p.Newest = head.Revision
	if base > head.Revision {
		p.Detail = "the plan's base revision is not known to the platform; plan again"
		return p
	}
	oldest := base + 1
	if head.Revision-base > maxMeanwhile {
		oldest = head.Revision - maxMeanwhile + 1
	}
	meanwhile, err := s.ledger.Since(ctx, head, oldest)
	if err != nil {
		p.Detail += " (what changed can't be read now)"
	}
	p.Meanwhile = meanwhile
	return p
}

// config answers the newest configuration.
func (s *Server) config(req *http.Request, _ string) (any, error) {
	ctx, cancel := context.WithTimeout(req.Context(), callTimeout)
	defer cancel()
	var answer operator.ConfigResponse
	inForce := s.router.InForce()
	if inForce != nil {
		answer.InForce = inForce.Revision
	}
	head, err := s.ledger.Head(ctx)
	answer.FromPlatform = err == nil
	if err != nil {
		head = inForce
	}
	if head == nil {
		return nil, failure(http.StatusNotFound, outcome.ReasonNoConfig, "no configuration has been confirmed yet")
	}
	answer.Entry, answer.Intent = entryOf(head), intent.FromDocument(head)
	return answer, nil
}

// status answers the fleet as the router sees it.
func (s *Server) status(req *http.Request, _ string) (any, error) {
	return s.router.Status(req.Context()), nil
}
