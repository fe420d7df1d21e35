package operators

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"goldcrestport/coordination/confirm"
	"goldcrestport/coordination/plan"
	"goldcrestport/protocol/intent"
	"goldcrestport/protocol/operator"
	"goldcrestport/protocol/outcome"
	"goldcrestport/state/config"
)

// confirm makes the plan the next revision. The request's digest must match its
// intent and base revision.
func (s *Server) confirm(req *http.Request, operatorName string) (any, error) {
	var request operator.ConfirmRequest
	if err := readJSON(req, &request); err != nil {
		return nil, err
	}
	in, err := intent.Parse(request.Intent)
	if err != nil {
		return nil, intentProblem(err)
	}
	next := in.Document()
	digest, err := config.PlanDigest(request.BaseRevision, next)
	if err != nil {
		return nil, err
	}
	if digest != request.Digest {
		return nil, newProblem(http.StatusUnprocessableEntity, operator.ReasonBadDigest,
			"the digest is not of this intent against this base revision; plan again")
	}
	if operatorName == bootstrapName && request.BaseRevision != 0 {
		return nil, newProblem(http.StatusUnauthorized, operator.ReasonUnauthorized, "the bootstrap token confirms the first configuration only")
	}
	ctx, cancel := context.WithTimeout(req.Context(), callTimeout)
	defer cancel()
	summary, err := s.summary(ctx, request, next, operatorName)
	if err != nil {
		return nil, err
	}
	next.Accepted = &config.Acceptance{By: operatorName, At: time.Now().UTC(), Summary: summary}
	done := s.ledger.Run(ctx, confirm.Proposal{Base: request.BaseRevision, Digest: digest, Next: next})
	_ = s.log.Log("event", "plan_confirmed", "by", operatorName, "base", request.BaseRevision, "digest", digest, "result", done.Kind.String())
	return s.confirmResult(req.Context(), request, done)
}

// summary describes the plan for the history. It is empty if the base is no
// longer the newest revision, since the plan can't be accepted then. The caller
// must be an operator in the newest revision, even if this router still has an
// older one in force.
func (s *Server) summary(ctx context.Context, request operator.ConfirmRequest, next *config.Document, operatorName string) (string, error) {
	base, err := s.base(ctx)
	if err != nil {
		return "", err
	}
	if _, known := base.Operators[operatorName]; !known && operatorName != bootstrapName {
		return "", newProblem(http.StatusUnauthorized, operator.ReasonUnauthorized, "operator "+operatorName+" was removed")
	}
	if base.Revision != request.BaseRevision {
		return "", nil
	}
	p, err := plan.Compare(base, next, plan.Facts{})
	if err != nil {
		return "", err
	}
	return p.Summary, nil
}

// confirmResult converts the result into a response. It derives a new context
// from parent, since that of the confirmation may have expired.
func (s *Server) confirmResult(parent context.Context, request operator.ConfirmRequest, done confirm.Done) (any, error) {
	switch done.Kind {
	case confirm.Accepted:
		return s.adoptAccepted(done), nil
	case confirm.Stale:
		ctx, cancel := context.WithTimeout(parent, callTimeout)
		defer cancel()
		return nil, s.staleProblem(ctx, request.BaseRevision, done.Head)
	case confirm.HistoryOverwritten:
		return nil, newProblem(http.StatusConflict, operator.ReasonForgotten, "the plan is older than the history; plan again")
	case confirm.TooLarge:
		return nil, newProblem(http.StatusUnprocessableEntity, operator.ReasonConfigLarge, "the configuration doesn't fit in one platform value")
	case confirm.OutcomeUnknown:
		p := newProblem(http.StatusServiceUnavailable, operator.ReasonUnsettled, fmt.Sprintf(
			"the platform did not answer: the plan may or may not be in force. "+
				"Confirm it again (it can't take effect twice) or ask with 'goldcrestctl settle %d-%s'", request.BaseRevision, request.Digest))
		p.Outcome = outcome.Unknown
		return nil, p
	default:
		return nil, newProblem(http.StatusServiceUnavailable, outcome.ReasonPlatform,
			"the platform's key-value service can't be used now; this confirmation changed nothing")
	}
}

// adoptAccepted puts the accepted revision in force at this router immediately
// and returns the response.
func (s *Server) adoptAccepted(done confirm.Done) operator.ConfirmResponse {
	newest := done.Document.Revision
	if done.Head != nil && done.Head.Revision > newest {
		newest = done.Head.Revision
		s.router.Adopt(done.Head)
	} else {
		s.router.Adopt(done.Document)
	}
	return operator.ConfirmResponse{Entry: entryOf(done.Document), Already: !done.Own, Newest: newest}
}

// settle returns whether a plan was accepted.
func (s *Server) settle(req *http.Request, operatorName string) (any, error) {
	base, err := strconv.ParseUint(req.URL.Query().Get("base"), 10, 64)
	digest := req.URL.Query().Get("digest")
	if err != nil || digest == "" {
		return nil, newProblem(http.StatusBadRequest, outcome.ReasonBadRequest, "base and digest are needed")
	}
	if operatorName == bootstrapName && base != 0 {
		return nil, newProblem(http.StatusUnauthorized, operator.ReasonUnauthorized, "the bootstrap token settles the first configuration only")
	}
	ctx, cancel := context.WithTimeout(req.Context(), callTimeout)
	defer cancel()
	done := s.ledger.Settle(ctx, base, digest)
	answer := operator.SettleResponse{}
	if done.Head != nil {
		answer.Newest = done.Head.Revision
	}
	switch done.Kind {
	case confirm.Accepted:
		e := entryOf(done.Document)
		answer.State, answer.Entry = operator.SettleAccepted, &e
	case confirm.Stale:
		answer.State = operator.SettleNotAccepted
	case confirm.Open:
		answer.State = operator.SettleOpen
	case confirm.HistoryOverwritten:
		answer.State = operator.SettleForgotten
	default:
		return nil, newProblem(http.StatusServiceUnavailable, outcome.ReasonPlatform, "the platform's key-value service can't be read now")
	}
	return answer, nil
}

// Default and limit of the number of revisions that one call returns.
const (
	defaultHistory = 20
	maxHistory     = 500
)

// history returns the last n revisions.
func (s *Server) history(req *http.Request, _ string) (any, error) {
	n := uint64(defaultHistory)
	if text := req.URL.Query().Get("n"); text != "" {
		given, err := strconv.ParseUint(text, 10, 64)
		if err != nil || given == 0 || given > maxHistory {
			return nil, newProblem(http.StatusBadRequest, outcome.ReasonBadRequest, fmt.Sprintf("n must be from 1 to %d", maxHistory))
		}
		n = given
	}
	ctx, cancel := context.WithTimeout(req.Context(), callTimeout)
	defer cancel()
	head, err := s.ledger.Head(ctx)
	if err != nil {
		return nil, platformUnreachable(err)
	}
	oldest := uint64(1)
	if head != nil && head.Revision > n {
		oldest = head.Revision - n + 1
	}
	entries, err := s.ledger.Since(ctx, head, oldest)
	if err != nil {
		return nil, platformUnreachable(err)
	}
	return operator.HistoryResponse{Entries: entries}, nil
}
