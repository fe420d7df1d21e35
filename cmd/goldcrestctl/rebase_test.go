package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/plan"
	"goldcrestport/protocol/intent"
	"goldcrestport/protocol/operator"
	"goldcrestport/protocol/outcome"
	"goldcrestport/state/config"
)

// historyRouter is a router with a given history of revisions; it accepts plans against the
// last one only.
type historyRouter struct {
	revisions []*config.Document
	confirmed *operator.ConfirmRequest
}

func (r *historyRouter) newest() uint64 { return uint64(len(r.revisions)) }

func (r *historyRouter) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var request struct {
		operator.ConfirmRequest
		Revision uint64 `json:"revision"`
	}
	_ = json.NewDecoder(req.Body).Decode(&request)
	var response any
	last := r.revisions[r.newest()-1]
	switch req.URL.Path {
	case operator.PathRollbackPlan:
		response = operator.PlanResponse{Plan: &plan.Plan{}, Intent: intent.FromDocument(r.revisions[request.Revision-1])}
	case operator.PathConfig:
		response = operator.ConfigResponse{Entry: operator.Entry{Revision: r.newest()}, Intent: intent.FromDocument(last)}
	case operator.PathPlan:
		in, _ := intent.Parse(request.Intent)
		last.Revision = r.newest()
		p, _ := plan.Compare(last, in.Document(), plan.Facts{})
		response = operator.PlanResponse{Plan: p, Intent: in}
	default:
		if request.BaseRevision != r.newest() {
			w.WriteHeader(http.StatusConflict)
			response = problem(http.StatusConflict, operator.ReasonStalePlan, outcome.NotRun)
			break
		}
		r.confirmed = &request.ConfirmRequest
		response = operator.ConfirmResponse{Entry: operator.Entry{Revision: r.newest() + 1}}
	}
	_ = json.NewEncoder(w).Encode(response)
}

// shares returns a document with the shares of two teams.
func shares(a, b float64) *config.Document {
	return &config.Document{
		Teams: map[string]config.Team{
			"a": {Share: a, Tokens: []string{}, Services: []string{}}, "b": {Share: b, Tokens: []string{}, Services: []string{}},
		},
		Operators: map[string]string{"ops": config.TokenDigest("ops")},
	}
}

func TestConfirmRebase(t *testing.T) {
	tests := []struct {
		name   string
		newest *config.Document
		code   int
		want   *config.Document
	}{
		{"nothing between", shares(1, 1), exitOK, shares(5, 1)},
		{"another team", shares(1, 3), exitOK, shares(5, 3)},
		{"the same team", shares(2, 1), exitStale, nil},
		{"the same change", shares(5, 1), exitOK, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := &historyRouter{revisions: []*config.Document{shares(1, 1), test.newest}}
			if config.Equal(r.revisions[0], test.newest) {
				r.revisions = r.revisions[:1]
			}
			srv := httptest.NewServer(r)
			defer srv.Close()
			planFile := filepath.Join(t.TempDir(), "plan.json")
			data, err := json.Marshal(operator.PlanResponse{
				Plan: &plan.Plan{BaseRevision: 1, Digest: "d"}, Intent: intent.FromDocument(shares(5, 1)),
			})
			c.Assert(err, qt.IsNil)
			c.Assert(os.WriteFile(planFile, data, 0o600), qt.IsNil)
			code, _, errs := runCtl("--router", srv.URL, "confirm", planFile, "--rebase")
			c.Assert(code, qt.Equals, test.code, qt.Commentf("%s", errs))
			if test.want == nil {
				c.Assert(r.confirmed, qt.IsNil)
				return
			}
			in, err := intent.Parse(r.confirmed.Intent)
			c.Assert(err, qt.IsNil)
			c.Assert(config.Equal(in.Document(), test.want), qt.IsTrue, qt.Commentf("%s", r.confirmed.Intent))
		})
	}
}
