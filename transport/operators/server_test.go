package operators

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"goldcrestport/coordination/plan"
	"goldcrestport/protocol/intent"
	"goldcrestport/protocol/operator"
	"goldcrestport/state/config"
)

// fakeRouter is a router that only stores a configuration.
type fakeRouter struct {
	doc   atomic.Pointer[config.Document]
	facts plan.Facts
}

func (r *fakeRouter) InForce() *config.Document                  { return r.doc.Load() }
func (r *fakeRouter) Facts(context.Context, []string) plan.Facts { return r.facts }
func (r *fakeRouter) Status(context.Context) operator.Status {
	return operator.Status{Router: "r"}
}
func (r *fakeRouter) Adopt(d *config.Document) {
	for old := r.doc.Load(); old == nil || old.Revision < d.Revision; old = r.doc.Load() {
		if r.doc.CompareAndSwap(old, d) {
			return
		}
	}
}

// node is the operators' interface of one router on a shared store.
type node struct {
	*fakeRouter
	mux *http.ServeMux
}

const (
	opsToken       = "ops-token"
	bootstrapToken = "bootstrap-token"
)

func newNode(s *store) *node {
	n := &node{fakeRouter: &fakeRouter{}, mux: http.NewServeMux()}
	srv := New(s, n.fakeRouter, config.TokenDigest(bootstrapToken), log.NewNopLogger())
	srv.ledger.pause = func(ctx context.Context, _ time.Duration) { sleep(ctx, 200*time.Microsecond) }
	srv.Mount(n.mux)
	return n
}

// call makes one call, decodes the response and returns the status.
func (n *node) call(ctx context.Context, token, method, path string, in, out any) int {
	var body bytes.Buffer
	if in != nil {
		_ = json.NewEncoder(&body).Encode(in)
	}
	req := httptest.NewRequestWithContext(ctx, method, path, &body)
	req.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	n.mux.ServeHTTP(w, req)
	_ = json.Unmarshal(w.Body.Bytes(), out)
	return w.Code
}

// intentWith returns an intent in which only the share of team a differs.
func intentWith(share float64) *intent.Intent {
	return &intent.Intent{
		Teams: map[string]config.Team{
			"a": {Share: share, Tokens: []string{config.TokenDigest("a")}, Services: []string{"m"}},
			"b": {Share: 1, Tokens: []string{config.TokenDigest("b")}, Services: []string{"m"}},
		},
		Services:  map[string]config.Service{"m": {Kind: config.KindModel}},
		Operators: map[string]string{"ops": config.TokenDigest(opsToken)},
	}
}

func encodeIntent(in *intent.Intent) json.RawMessage {
	data, _ := json.Marshal(in)
	return data
}

func (n *node) plan(token string, in *intent.Intent) (operator.PlanResponse, int) {
	var p operator.PlanResponse
	code := n.call(context.Background(), token, http.MethodPost, operator.PathPlan, operator.PlanRequest{Intent: encodeIntent(in)}, &p)
	return p, code
}

func confirmRequestFor(p operator.PlanResponse) operator.ConfirmRequest {
	return operator.ConfirmRequest{Intent: encodeIntent(p.Intent), BaseRevision: p.Plan.BaseRevision, Digest: p.Plan.Digest}
}

func (n *node) confirm(token string, p operator.PlanResponse, out any) int {
	return n.call(context.Background(), token, http.MethodPost, operator.PathConfirm, confirmRequestFor(p), out)
}

// confirmFirst confirms the first configuration.
func confirmFirst(c *qt.C, n *node) operator.PlanResponse {
	p, code := n.plan(bootstrapToken, intentWith(1))
	c.Assert(code, qt.Equals, http.StatusOK)
	var done operator.ConfirmResponse
	c.Assert(n.confirm(bootstrapToken, p, &done), qt.Equals, http.StatusOK)
	c.Assert(done.Revision, qt.Equals, uint64(1))
	return p
}

func TestBootstrap(t *testing.T) {
	c := qt.New(t)
	s := newStore(1)
	n := newNode(s)
	var p operator.Problem
	c.Assert(n.call(context.Background(), "guess", http.MethodGet, operator.PathConfig, nil, &p), qt.Equals, http.StatusUnauthorized)
	c.Assert(n.call(context.Background(), bootstrapToken, http.MethodGet, operator.PathConfig, nil, &p), qt.Equals, http.StatusNotFound)
	first := confirmFirst(c, n)
	// The first confirmation can be repeated like any other, but the token is
	// rejected for everything else from now on, also at a router without a
	// configuration.
	var done operator.ConfirmResponse
	c.Assert(newNode(s).confirm(bootstrapToken, first, &done), qt.Equals, http.StatusOK)
	c.Assert(done.Already, qt.IsTrue)
	for _, router := range []*node{n, newNode(s)} {
		_, code := router.plan(bootstrapToken, intentWith(2))
		c.Assert(code, qt.Equals, http.StatusUnauthorized)
		next, code := router.plan(opsToken, intentWith(2))
		c.Assert(code, qt.Equals, http.StatusOK)
		c.Assert(router.confirm(bootstrapToken, next, &p), qt.Equals, http.StatusUnauthorized)
		settle := operator.PathSettle + "?base=1&digest=" + next.Plan.Digest
		c.Assert(router.call(context.Background(), bootstrapToken, http.MethodGet, settle, nil, &p), qt.Equals, http.StatusUnauthorized)
	}
}

func TestPlanIsReadOnlyAndAnyRouterConfirmsIt(t *testing.T) {
	c := qt.New(t)
	s := newStore(1)
	confirmFirst(c, newNode(s))
	before := s.version
	p, code := newNode(s).plan(opsToken, intentWith(3))
	c.Assert(code, qt.Equals, http.StatusOK)
	c.Assert(s.version, qt.Equals, before)
	again, _ := newNode(s).plan(opsToken, intentWith(3))
	c.Assert(again.Plan.Digest, qt.Equals, p.Plan.Digest)
	other := newNode(s)
	for n := range 3 {
		var done operator.ConfirmResponse
		c.Assert(other.confirm(opsToken, p, &done), qt.Equals, http.StatusOK)
		c.Assert(done.Revision, qt.Equals, uint64(2))
		c.Assert(done.Already, qt.Equals, n > 0)
		c.Assert(other.InForce().Teams["a"].Share, qt.Equals, 3.0)
	}
}

func TestStalePlanListsNewerRevisions(t *testing.T) {
	c := qt.New(t)
	s := newStore(1)
	n := newNode(s)
	confirmFirst(c, n)
	stalePlan, _ := n.plan(opsToken, intentWith(3))
	newerPlan, _ := n.plan(opsToken, intentWith(5))
	c.Assert(n.confirm(opsToken, newerPlan, &operator.ConfirmResponse{}), qt.Equals, http.StatusOK)
	newerPlan, _ = n.plan(opsToken, intentWith(7))
	c.Assert(n.confirm(opsToken, newerPlan, &operator.ConfirmResponse{}), qt.Equals, http.StatusOK)
	var p operator.Problem
	c.Assert(n.confirm(opsToken, stalePlan, &p), qt.Equals, http.StatusConflict)
	c.Assert(p.Reason, qt.Equals, operator.ReasonStalePlan)
	c.Assert(p.Newest, qt.Equals, uint64(3))
	c.Assert(p.Meanwhile, qt.HasLen, 2)
	c.Assert(p.Meanwhile[0].Summary, qt.Equals, "teams ~a 5->7")
	c.Assert(p.Meanwhile[1].Summary, qt.Equals, "teams ~a 1->5")
	c.Assert(p.Meanwhile[0].By, qt.Equals, "ops")
	base := uint64(1)
	request := operator.PlanRequest{Intent: encodeIntent(intentWith(3)), BaseRevision: &base}
	c.Assert(n.call(context.Background(), opsToken, http.MethodPost, operator.PathPlan, request, &p), qt.Equals, http.StatusConflict)
}

func TestRollbackCreatesNewRevision(t *testing.T) {
	c := qt.New(t)
	n := newNode(newStore(1))
	confirmFirst(c, n)
	for _, share := range []float64{2, 3, 4} {
		p, _ := n.plan(opsToken, intentWith(share))
		c.Assert(n.confirm(opsToken, p, &operator.ConfirmResponse{}), qt.Equals, http.StatusOK)
	}
	var p operator.PlanResponse
	planRollback := func(revision uint64, out any) int {
		return n.call(context.Background(), opsToken, http.MethodPost, operator.PathRollbackPlan, operator.RollbackRequest{Revision: revision}, out)
	}
	c.Assert(planRollback(2, &p), qt.Equals, http.StatusOK)
	c.Assert(p.Intent.Teams["a"].Share, qt.Equals, 2.0)
	c.Assert(p.Plan.BaseRevision, qt.Equals, uint64(4))
	c.Assert(n.confirm(opsToken, p, &operator.ConfirmResponse{}), qt.Equals, http.StatusOK)
	c.Assert(n.InForce().Revision, qt.Equals, uint64(5))
	var h operator.HistoryResponse
	c.Assert(n.call(context.Background(), opsToken, http.MethodGet, operator.PathHistory+"?n=4", nil, &h), qt.Equals, http.StatusOK)
	var summaries []string
	for _, e := range h.Entries {
		summaries = append(summaries, e.Summary)
	}
	c.Assert(summaries, qt.DeepEquals, []string{"teams ~a 4->2", "teams ~a 3->4", "teams ~a 2->3", "teams ~a 1->2"})
	c.Assert(planRollback(9, &operator.Problem{}), qt.Equals, http.StatusNotFound)
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	c := qt.New(t)
	s := newStore(1)
	n := newNode(s)
	confirmFirst(c, n)
	p, _ := n.plan(opsToken, intentWith(3))
	forged := confirmRequestFor(p)
	forged.Intent = encodeIntent(intentWith(4))
	tests := []struct {
		name, method, path string
		body               any
		status             int
		reason             string
	}{
		{"not JSON", http.MethodPost, operator.PathPlan, "x", http.StatusBadRequest, "bad-request"},
		{"unknown key", http.MethodPost, operator.PathPlan, map[string]int{"intend": 1}, http.StatusBadRequest, "bad-request"},
		{"bad intent", http.MethodPost, operator.PathPlan, operator.PlanRequest{Intent: []byte(`{"teams":{"a":{}},"services":{},"operators":{}}`)}, http.StatusUnprocessableEntity, "bad-intent"},
		{"another intent", http.MethodPost, operator.PathConfirm, forged, http.StatusUnprocessableEntity, "digest-mismatch"},
		{"settle without digest", http.MethodGet, operator.PathSettle + "?base=1", nil, http.StatusBadRequest, "bad-request"},
		{"history bound", http.MethodGet, operator.PathHistory + "?n=501", nil, http.StatusBadRequest, "bad-request"},
	}
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			var got operator.Problem
			c.Assert(n.call(context.Background(), opsToken, test.method, test.path, test.body, &got), qt.Equals, test.status)
			c.Assert(string(got.Reason), qt.Equals, test.reason)
			c.Assert(string(got.Outcome), qt.Equals, "not-run")
		})
	}
}

func TestRemovedOperatorCannotConfirmAtLaggingRouter(t *testing.T) {
	c := qt.New(t)
	s := newStore(1)
	n, lagging := newNode(s), newNode(s)
	confirmFirst(c, n)
	lagging.Adopt(n.InForce())
	in := intentWith(1)
	in.Operators = map[string]string{"other": config.TokenDigest("other-token")}
	p, _ := n.plan(opsToken, in)
	c.Assert(n.confirm(opsToken, p, &operator.ConfirmResponse{}), qt.Equals, http.StatusOK)
	revert, code := lagging.plan(opsToken, intentWith(9))
	c.Assert(code, qt.Equals, http.StatusOK)
	c.Assert(lagging.confirm(opsToken, revert, &operator.Problem{}), qt.Equals, http.StatusUnauthorized)
}

func TestUnknownOutcomeNamesSettleCommand(t *testing.T) {
	c := qt.New(t)
	s := newStore(1)
	n := newNode(s)
	confirmFirst(c, n)
	p, _ := n.plan(opsToken, intentWith(3))
	// The response to each write of the head is lost, and later reads fail.
	failing := &failAfterHeadWrite{store: s}
	srv := New(failing, n.fakeRouter, "", log.NewNopLogger())
	srv.ledger.pause = func(context.Context, time.Duration) {}
	mux := http.NewServeMux()
	srv.Mount(mux)
	unreachable := &node{fakeRouter: n.fakeRouter, mux: mux}
	var got operator.Problem
	c.Assert(unreachable.confirm(opsToken, p, &got), qt.Equals, http.StatusServiceUnavailable)
	c.Assert(got.Reason, qt.Equals, operator.ReasonUnsettled)
	c.Assert(string(got.Outcome), qt.Equals, "unknown")
	c.Assert(strings.Contains(got.Detail, "goldcrestctl settle 1-"+p.Plan.Digest), qt.IsTrue)
	var settled operator.SettleResponse
	path := operator.PathSettle + "?base=1&digest=" + p.Plan.Digest
	c.Assert(n.call(context.Background(), opsToken, http.MethodGet, path, nil, &settled), qt.Equals, http.StatusOK)
	c.Assert(settled.State, qt.Equals, operator.SettleAccepted)
	c.Assert(settled.Entry.Revision, qt.Equals, uint64(2))
}
