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

// routerFake is a router that holds a configuration and nothing else.
type routerFake struct {
	doc   atomic.Pointer[config.Document]
	facts plan.Facts
}

func (r *routerFake) InForce() *config.Document                  { return r.doc.Load() }
func (r *routerFake) Facts(context.Context, []string) plan.Facts { return r.facts }
func (r *routerFake) Status(context.Context) operator.Status {
	return operator.Status{Router: "r"}
}
func (r *routerFake) Adopt(d *config.Document) {
	for old := r.doc.Load(); old == nil || old.Revision < d.Revision; old = r.doc.Load() {
		if r.doc.CompareAndSwap(old, d) {
			return
		}
	}
}

// node is one router's interface on a shared store.
type node struct {
	*routerFake
	mux *http.ServeMux
}

const (
	opsToken       = "ops-token"
	bootstrapToken = "bootstrap-token"
)

func newNode(s *store) *node {
	n := &node{routerFake: &routerFake{}, mux: http.NewServeMux()}
	srv := New(s, n.routerFake, config.TokenDigest(bootstrapToken), log.NewNopLogger())
	srv.ledger.pause = func(ctx context.Context, _ time.Duration) { sleep(ctx, 200*time.Microsecond) }
	srv.Mount(n.mux)
	return n
}

// call makes one call and decodes the answer; it returns the status.
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

func text(in *intent.Intent) json.RawMessage {
	data, _ := json.Marshal(in)
	return data
}

func (n *node) plan(token string, in *intent.Intent) (operator.PlanResponse, int) {
	var p operator.PlanResponse
	code := n.call(context.Background(), token, http.MethodPost, operator.PathPlan, operator.PlanRequest{Intent: text(in)}, &p)
	return p, code
}

func confirmOf(p operator.PlanResponse) operator.ConfirmRequest {
	return operator.ConfirmRequest{Intent: text(p.Intent), BaseRevision: p.Plan.BaseRevision, Digest: p.Plan.Digest}
}

func (n *node) confirm(token string, p operator.PlanResponse, out any) int {
	return n.call(context.Background(), token, http.MethodPost, operator.PathConfirm, confirmOf(p), out)
}

// start confirms the first configuration.
func start(c *qt.C, n *node) operator.PlanResponse {
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
	first := start(c, n)
	// The first confirmation repeats like any other, but the token opens
	// nothing else from now on, also at a router that has no configuration.
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

func TestPlanChangesNothingAndAnyRouterConfirmsIt(t *testing.T) {
	c := qt.New(t)
	s := newStore(1)
	start(c, newNode(s))
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

func TestStalePlanNamesWhatChanged(t *testing.T) {
	c := qt.New(t)
	s := newStore(1)
	n := newNode(s)
	start(c, n)
	mine, _ := n.plan(opsToken, intentWith(3))
	theirs, _ := n.plan(opsToken, intentWith(5))
	c.Assert(n.confirm(opsToken, theirs, &operator.ConfirmResponse{}), qt.Equals, http.StatusOK)
	theirs, _ = n.plan(opsToken, intentWith(7))
	c.Assert(n.confirm(opsToken, theirs, &operator.ConfirmResponse{}), qt.Equals, http.StatusOK)
	var p operator.Problem
	c.Assert(n.confirm(opsToken, mine, &p), qt.Equals, http.StatusConflict)
	c.Assert(p.Reason, qt.Equals, operator.ReasonStalePlan)
	c.Assert(p.Newest, qt.Equals, uint64(3))
	c.Assert(p.Meanwhile, qt.HasLen, 2)
	c.Assert(p.Meanwhile[0].Summary, qt.Equals, "teams ~a 5->7")
	c.Assert(p.Meanwhile[1].Summary, qt.Equals, "teams ~a 1->5")
	c.Assert(p.Meanwhile[0].By, qt.Equals, "ops")
	base := uint64(1)
	ask := operator.PlanRequest{Intent: text(intentWith(3)), BaseRevision: &base}
	c.Assert(n.call(context.Background(), opsToken, http.MethodPost, operator.PathPlan, ask, &p), qt.Equals, http.StatusConflict)
}

func TestRollbackIsAPlanToAHigherRevision(t *testing.T) {
	c := qt.New(t)
	n := newNode(newStore(1))
	start(c, n)
	for _, share := range []float64{2, 3, 4} {
		p, _ := n.plan(opsToken, intentWith(share))
		c.Assert(n.confirm(opsToken, p, &operator.ConfirmResponse{}), qt.Equals, http.StatusOK)
	}
	var p operator.PlanResponse
	ask := func(revision uint64, out any) int {
		return n.call(context.Background(), opsToken, http.MethodPost, operator.PathRollbackPlan, operator.RollbackRequest{Revision: revision}, out)
	}
	c.Assert(ask(2, &p), qt.Equals, http.StatusOK)
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
	c.Assert(ask(9, &operator.Problem{}), qt.Equals, http.StatusNotFound)
}

func TestRefusals(t *testing.T) {
	c := qt.New(t)
	s := newStore(1)
	n := newNode(s)
	start(c, n)
	p, _ := n.plan(opsToken, intentWith(3))
	forged := confirmOf(p)
	forged.Intent = text(intentWith(4))
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

func TestRemovedOperatorCannotConfirmAtARouterThatLags(t *testing.T) {
	c := qt.New(t)
	s := newStore(1)
	n, behind := newNode(s), newNode(s)
	start(c, n)
	behind.Adopt(n.InForce())
	in := intentWith(1)
	in.Operators = map[string]string{"other": config.TokenDigest("other-token")}
	p, _ := n.plan(opsToken, in)
	c.Assert(n.confirm(opsToken, p, &operator.ConfirmResponse{}), qt.Equals, http.StatusOK)
	back, code := behind.plan(opsToken, intentWith(9))
	c.Assert(code, qt.Equals, http.StatusOK)
	c.Assert(behind.confirm(opsToken, back, &operator.Problem{}), qt.Equals, http.StatusUnauthorized)
}

func TestUnsettledConfirmationTellsHowToAskLater(t *testing.T) {
	c := qt.New(t)
	s := newStore(1)
	n := newNode(s)
	start(c, n)
	p, _ := n.plan(opsToken, intentWith(3))
	// Every answer to a write of the head is lost, and reads fail after it.
	cut := &cutAfterHeadWrite{store: s}
	srv := New(cut, n.routerFake, "", log.NewNopLogger())
	srv.ledger.pause = func(context.Context, time.Duration) {}
	mux := http.NewServeMux()
	srv.Mount(mux)
	broken := &node{routerFake: n.routerFake, mux: mux}
	var got operator.Problem
	c.Assert(broken.confirm(opsToken, p, &got), qt.Equals, http.StatusServiceUnavailable)
	c.Assert(got.Reason, qt.Equals, operator.ReasonUnsettled)
	c.Assert(string(got.Outcome), qt.Equals, "unknown")
	c.Assert(strings.Contains(got.Detail, "goldcrestctl settle 1-"+p.Plan.Digest), qt.IsTrue)
	var fate operator.SettleResponse
	path := operator.PathSettle + "?base=1&digest=" + p.Plan.Digest
	c.Assert(n.call(context.Background(), opsToken, http.MethodGet, path, nil, &fate), qt.Equals, http.StatusOK)
	c.Assert(fate.State, qt.Equals, operator.SettleAccepted)
	c.Assert(fate.Entry.Revision, qt.Equals, uint64(2))
}
