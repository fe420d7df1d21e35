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

// plan returns what an intent would change. It changes nothing.
func (s *Server) plan(req *http.Request, _ string) (any, error) {
	var request operator.PlanRequest
	if err := readJSON(req, &request); err != nil {
		return nil, err
	}
	in, err := intent.Parse(request.Intent)
	if err != nil {
		return nil, intentProblem(err)
	}
	ctx, cancel := context.WithTimeout(req.Context(), callTimeout)
	defer cancel()
	base, err := s.base(ctx)
	if err != nil {
		return nil, err
	}
	if request.BaseRevision != nil && *request.BaseRevision != base.Revision {
		return nil, s.staleProblem(ctx, *request.BaseRevision, base)
	}
	return s.planFor(ctx, base, in)
}

// planFor computes the changes from base to the intent and checks that the
// result can be stored.
func (s *Server) planFor(ctx context.Context, base *config.Document, in *intent.Intent) (any, error) {
	next := in.Document()
	p, err := plan.Compare(base, next, s.router.Facts(ctx, changedTeams(base, next)))
	if err != nil {
		return nil, err
	}
	reverse := config.Between(next, base)
	next.Back = &reverse
	if _, err := document.Encode(next); err != nil {
		return nil, newProblem(http.StatusUnprocessableEntity, operator.ReasonConfigLarge, err.Error())
	}
	return operator.PlanResponse{Plan: p, Intent: intent.FromDocument(next)}, nil
}

// maxFactTeams bounds the teams whose queued work is requested from the routers.
const maxFactTeams = 200

// changedTeams returns the sorted names of the teams of base that next changes or
// removes, maxFactTeams at most.
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

// base returns the newest revision, or an empty document if there is none.
func (s *Server) base(ctx context.Context) (*config.Document, error) {
	head, err := s.ledger.Head(ctx)
	if err != nil {
		return nil, platformUnreachable(err)
	}
	if head == nil {
		return &config.Document{}, nil
	}
	return head, nil
}

// rollbackPlan returns a plan for a new revision with the content of an older
// one.
func (s *Server) rollbackPlan(req *http.Request, _ string) (any, error) {
	var request operator.RollbackRequest
	if err := readJSON(req, &request); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(req.Context(), callTimeout)
	defer cancel()
	base, err := s.base(ctx)
	if err != nil {
		return nil, err
	}
	old, err := s.ledger.At(ctx, base, request.Revision)
	if errors.Is(err, ErrForgotten) {
		return nil, newProblem(http.StatusNotFound, operator.ReasonForgotten, err.Error())
	}
	if err != nil {
		return nil, platformUnreachable(err)
	}
	// An older revision is validated like any other intent.
	encoded, err := json.Marshal(intent.FromDocument(old))
	if err != nil {
		return nil, err
	}
	in, err := intent.Parse(encoded)
	if err != nil {
		return nil, intentProblem(err)
	}
	return s.planFor(ctx, base, in)
}

// maxNewerRevisions bounds the revisions listed in the response to a stale plan.
const maxNewerRevisions = 20

// staleProblem returns a problem that lists the revisions accepted since the
// base.
func (s *Server) staleProblem(ctx context.Context, base uint64, head *config.Document) error {
	p := newProblem(http.StatusConflict, operator.ReasonStalePlan, "the configuration changed since the plan was made; plan again")
	if head == nil {
		return p
	}
	p.Newest = head.Revision
	if base > head.Revision {
		p.Detail = "the plan's base revision is not known to the platform; plan again"
		return p
	}
	oldest := base + 1
	if head.Revision-base > maxNewerRevisions {
		oldest = head.Revision - maxNewerRevisions + 1
	}
	newer, err := s.ledger.Since(ctx, head, oldest)
	if err != nil {
		p.Detail += " (what changed can't be read now)"
	}
	p.Meanwhile = newer
	return p
}

// config returns the newest configuration, or the one in force at this router if
// the platform can't be read.
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
		return nil, newProblem(http.StatusNotFound, outcome.ReasonNoConfig, "no configuration has been confirmed yet")
	}
	answer.Entry, answer.Intent = entryOf(head), intent.FromDocument(head)
	return answer, nil
}

// status returns the state of the fleet as seen by this router.
func (s *Server) status(req *http.Request, _ string) (any, error) {
	return s.router.Status(req.Context()), nil
}
