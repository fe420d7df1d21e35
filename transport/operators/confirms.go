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

// confirm makes exactly the plan with the digest the next revision.
func (s *Server) confirm(req *http.Request, who string) (any, error) {
	var ask operator.ConfirmRequest
	if err := readJSON(req, &ask); err != nil {
		return nil, err
	}
	in, err := intent.Parse(ask.Intent)
	if err != nil {
		return nil, badIntent(err)
	}
	next := in.Document()
	digest, err := config.PlanDigest(ask.BaseRevision, next)
	if err != nil {
		return nil, err
	}
	if digest != ask.Digest {
		return nil, failure(http.StatusUnprocessableEntity, operator.ReasonBadDigest,
			"the digest is not of this intent against this base revision; plan again")
	}
	if who == bootstrapName && ask.BaseRevision != 0 {
		return nil, failure(http.StatusUnauthorized, operator.ReasonUnauthorized, "the bootstrap token confirms the first configuration only")
	}
	ctx, cancel := context.WithTimeout(req.Context(), callTimeout)
	defer cancel()
	summary, err := s.summary(ctx, ask, next, who)
	if err != nil {
		return nil, err
	}
	next.Accepted = &config.Acceptance{By: who, At: time.Now().UTC(), Summary: summary}
	done := s.ledger.Run(ctx, confirm.Proposal{Base: ask.BaseRevision, Digest: digest, Next: next})
	_ = s.log.Log("event", "plan_confirmed", "by", who, "base", ask.BaseRevision, "digest", digest, "result", done.Kind.String())
	return s.confirmed(req.Context(), ask, done)
}

// summary describes the plan for the history. It is empty if the base is no
// longer the newest revision: then the plan can't become one. Whoever confirms
// must be an operator in the newest revision, whatever is in force here.
func (s *Server) summary(ctx context.Context, ask operator.ConfirmRequest, next *config.Document, who string) (string, error) {
	base, err := s.base(ctx)
	if err != nil {
		return "", err
	}
	if _, known := base.Operators[who]; !known && who != bootstrapName {
		return "", failure(http.StatusUnauthorized, operator.ReasonUnauthorized, "operator "+who+" was removed")
	}
	if base.Revision != ask.BaseRevision {
		return "", nil
	}
	p, err := plan.Compare(base, next, plan.Facts{})
	if err != nil {
		return "", err
	}
	return p.Summary, nil
}

// confirmed turns the result into an answer. A fresh context is used, since
// the confirmation's may have run out.
func (s *Server) confirmed(parent context.Context, ask operator.ConfirmRequest, done confirm.Done) (any, error) {
	switch done.Kind {
	case confirm.Accepted:
		return s.accepted(done), nil
	case confirm.Stale:
		ctx, cancel := context.WithTimeout(parent, callTimeout)
		defer cancel()
		return nil, s.stale(ctx, ask.BaseRevision, done.Head)
	case confirm.HistoryOverwritten:
		return nil, failure(http.StatusConflict, operator.ReasonForgotten, "the plan is older than the history; plan again")
	case confirm.TooLarge:
		return nil, failure(http.StatusUnprocessableEntity, operator.ReasonConfigLarge, "the configuration doesn't fit in one platform value")
	case confirm.OutcomeUnknown:
		p := failure(http.StatusServiceUnavailable, operator.ReasonUnsettled, fmt.Sprintf(
			"the platform did not answer: the plan may or may not be in force. "+
				"Confirm it again (it can't take effect twice) or ask with 'goldcrestctl settle %d-%s'", ask.BaseRevision, ask.Digest))
		p.Outcome = outcome.Unknown
		return nil, p
	default:
		return nil, failure(http.StatusServiceUnavailable, outcome.ReasonPlatform,
			"the platform's key-value service can't be used now; this confirmation changed nothing")
	}
}

// accepted adopts the revision here at once and answers.
func (s *Server) accepted(done confirm.Done) operator.ConfirmResponse {
	newest := done.Document.Revision
	if done.Head != nil && done.Head.Revision > newest {
		newest = done.Head.Revision
		s.router.Adopt(done.Head)
	} else {
		s.router.Adopt(done.Document)
	}
	return operator.ConfirmResponse{Entry: entryOf(done.Document), Already: !done.Own, Newest: newest}
}

// settle answers what became of a plan.
func (s *Server) settle(req *http.Request, who string) (any, error) {
	base, err := strconv.ParseUint(req.URL.Query().Get("base"), 10, 64)
	digest := req.URL.Query().Get("digest")
	if err != nil || digest == "" {
		return nil, failure(http.StatusBadRequest, outcome.ReasonBadRequest, "base and digest are needed")
	}
	if who == bootstrapName && base != 0 {
		return nil, failure(http.StatusUnauthorized, operator.ReasonUnauthorized, "the bootstrap token settles the first configuration only")
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
		return nil, failure(http.StatusServiceUnavailable, outcome.ReasonPlatform, "the platform's key-value service can't be read now")
	}
	return answer, nil
}

// Bounds of the history that one call gives.
const (
	defaultHistory = 20
	maxHistory     = 500
)

// history answers the last revisions.
func (s *Server) history(req *http.Request, _ string) (any, error) {
	n := uint64(defaultHistory)
	if text := req.URL.Query().Get("n"); text != "" {
		given, err := strconv.ParseUint(text, 10, 64)
		if err != nil || given == 0 || given > maxHistory {
			return nil, failure(http.StatusBadRequest, outcome.ReasonBadRequest, fmt.Sprintf("n must be from 1 to %d", maxHistory))
		}
		n = given
	}
	ctx, cancel := context.WithTimeout(req.Context(), callTimeout)
	defer cancel()
	head, err := s.ledger.Head(ctx)
	if err != nil {
		return nil, unreachable(err)
	}
	oldest := uint64(1)
	if head != nil && head.Revision > n {
		oldest = head.Revision - n + 1
	}
	entries, err := s.ledger.Since(ctx, head, oldest)
	if err != nil {
		return nil, unreachable(err)
	}
	return operator.HistoryResponse{Entries: entries}, nil
}
