package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/plan"
	"goldcrestport/protocol/intent"
	"goldcrestport/protocol/operator"
	"goldcrestport/protocol/outcome"
	"goldcrestport/state/config"
)

// exampleDir is the directory of the example intents.
const exampleDir = "../../docs/examples/"

// startRouter starts a router that returns the same response to every request, and returns
// its URL.
func startRouter(t *testing.T, status int, body any) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

func problem(status int, reason outcome.Reason, kind outcome.Kind) operator.Problem {
	return operator.Problem{Problem: outcome.Problem{Status: status, Reason: reason, Outcome: kind, Detail: "detail"}}
}

// runCtl runs a command line.
func runCtl(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = run(args, strings.NewReader(""), &o, &e)
	return code, o.String(), e.String()
}

func TestExamplesAreValid(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"pamplemousses.json", "lanna-glyph.json"} {
		code, out, errs := runCtl("validate", exampleDir+name)
		c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errs))
		c.Assert(out, qt.Contains, "valid, 16 teams, 2 services")
	}
}

func TestExitCodes(t *testing.T) {
	stopped := httptest.NewServer(http.NotFoundHandler())
	stopped.Close()
	bad := filepath.Join(t.TempDir(), "bad.json")
	qt.Assert(t, os.WriteFile(bad, []byte(`{"teams": {}}`), 0o600), qt.IsNil)
	good := exampleDir + "pamplemousses.json"
	stale := startRouter(t, http.StatusConflict, problem(http.StatusConflict, operator.ReasonStalePlan, outcome.NotRun))
	refused := startRouter(t, http.StatusUnauthorized, problem(http.StatusUnauthorized, outcome.ReasonUnauthorized, outcome.NotRun))
	unsettled := startRouter(t, http.StatusServiceUnavailable, problem(http.StatusServiceUnavailable, operator.ReasonUnsettled, outcome.Unknown))
	broken := startRouter(t, http.StatusInternalServerError, "what")
	history := startRouter(t, http.StatusOK, operator.HistoryResponse{})
	tests := []struct {
		name string
		args []string
		code int
	}{
		{"ok", []string{"--router", history, "history"}, exitOK},
		{"next router", []string{"--router", stopped.URL + "," + history, "history"}, exitOK},
		{"schema", []string{"schema"}, exitOK},
		{"version", []string{"version"}, exitOK},
		{"completion", []string{"completion", "bash"}, exitOK},
		{"unknown command", []string{"plam"}, exitBadInput},
		{"unknown flag", []string{"history", "--colour"}, exitBadInput},
		{"missing argument", []string{"confirm"}, exitBadInput},
		{"bad format", []string{"history", "-o", "xml"}, exitBadInput},
		{"no such file", []string{"validate", "nowhere.json"}, exitBadInput},
		{"bad intent", []string{"validate", bad}, exitBadInput},
		{"not a plan file", []string{"confirm", bad}, exitBadInput},
		{"bad settle", []string{"settle", "abc"}, exitBadInput},
		{"stale", []string{"--router", stale, "plan", "-f", good}, exitStale},
		{"unauthorised", []string{"--router", refused, "plan", "-f", good}, exitRefused},
		{"unsettled", []string{"--router", unsettled, "plan", "-f", good}, exitUnsettled},
		{"unsettled stays open", []string{"--router", unsettled + "," + stopped.URL, "plan", "-f", good}, exitUnsettled},
		{"unsettled, then stale", []string{"--router", unsettled + "," + stale, "plan", "-f", good}, exitStale},
		{"no router", []string{"history"}, exitUnsettled},
		{"unreachable", []string{"--router", stopped.URL, "history"}, exitUnsettled},
		{"failing router", []string{"--router", broken, "history"}, exitError},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, _, errs := runCtl(test.args...)
			qt.Assert(t, code, qt.Equals, test.code, qt.Commentf("%s", errs))
		})
	}
}

func TestPlanIsSavedAndConfirmed(t *testing.T) {
	c := qt.New(t)
	data, err := os.ReadFile(exampleDir + "lanna-glyph.json")
	c.Assert(err, qt.IsNil)
	in, err := intent.Parse(data)
	c.Assert(err, qt.IsNil)
	planFile := filepath.Join(t.TempDir(), "plan.json")
	planned := operator.PlanResponse{Plan: &plan.Plan{BaseRevision: 3, Digest: "abc", Teams: []plan.TeamChange{{Team: "lao"}}}, Intent: in}
	code, out, errs := runCtl("--router", startRouter(t, http.StatusOK, planned), "plan", "-f", exampleDir+"lanna-glyph.json", "--save", planFile)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errs))
	c.Assert(out, qt.Contains, "goldcrestctl confirm "+planFile)
	var asked operator.ConfirmRequest
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_ = json.NewDecoder(req.Body).Decode(&asked)
		_ = json.NewEncoder(w).Encode(operator.ConfirmResponse{Entry: operator.Entry{Revision: 4, Summary: "teams ~lao"}, Newest: 6})
	}))
	defer srv.Close()
	code, out, errs = runCtl("--router", srv.URL, "confirm", planFile)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errs))
	c.Assert(asked.BaseRevision, qt.Equals, uint64(3))
	c.Assert(asked.Digest, qt.Equals, "abc")
	again, err := intent.Parse(asked.Intent)
	c.Assert(err, qt.IsNil)
	c.Assert(config.Equal(again.Document(), in.Document()), qt.IsTrue)
	c.Assert(out, qt.Equals, "Accepted as revision 4: teams ~lao\nRevision 6 has followed it since.\n")
}

func TestRollout(t *testing.T) {
	s := &operator.Status{
		Routers:  []operator.Router{{Answered: true, Revision: 5}, {Answered: true, Revision: 4}, {Revision: 9}},
		Backends: []operator.Backend{{Linked: true, Revision: 5}, {Linked: true, Revision: 6}, {Revision: 0}},
	}
	qt.Assert(t, rolloutOf(s, 5), qt.Equals, rollout{routers: 1, allRouters: 3, backends: 2, allBackends: 2})
	qt.Assert(t, rolloutOf(s, 5).complete(), qt.IsFalse)
}

func TestStatusTables(t *testing.T) {
	c := qt.New(t)
	url := startRouter(t, http.StatusOK, operator.Status{
		Router: "r1", Revision: 7, Teams: 16,
		Services: []operator.Service{{Service: "glossa-pool", Kind: "model", Ready: 1, Linked: 2, Slots: 4, Free: 1, Waiting: 3, WaitingTeams: 1}},
		Queues:   []operator.Queue{{Service: "glossa-pool", Team: "lao", Router: "r1", Waiting: 3, OldestMS: 1500}},
		Backends: []operator.Backend{{ID: "b1", Service: "glossa-pool", DataCentre: "nimman", Linked: true, Slots: 4, Free: 1, Revision: 7}, {ID: "b2", Service: "glossa-pool", Drained: true, Linked: true, Slots: 4, Free: 4, Revision: 7}},
		Routers:  []operator.Router{{ID: "r1", DataCentre: "nimman", State: "ready", Answered: true, Revision: 7, Waiting: 3}, {ID: "r2", DataCentre: "suthep", State: "live"}},
	})
	code, out, errs := runCtl("--router", url, "status")
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errs))
	c.Assert(out, qt.Equals, strings.Join([]string{
		"Revision 7 in force at r1, 16 teams",
		"",
		"ROUTER  DATA CENTRE  STATE            REVISION  WAITING",
		"r1      nimman       ready            7         3",
		"r2      suthep       live, no answer  ?         ?",
		"",
		"SERVICE      KIND   BACKENDS READY  SLOTS BUSY  WAITING  TEAMS WAITING",
		"glossa-pool  model  1 of 2          3 of 4      3        1",
		"",
		"BACKEND SERVER  SERVICE      DATA CENTRE  STATE    SLOTS BUSY  REVISION",
		"b1              glossa-pool  nimman       ready    3 of 4      7",
		"b2              glossa-pool               drained  0 of 4      7",
		"",
		"LONGEST WAITING TEAM  SERVICE      ROUTER  REQUESTS  OLDEST",
		"lao                   glossa-pool  r1      3         1.5s",
		"",
	}, "\n"))
}

// The history of a request is read from logs, in files or on standard input.
func TestExplain(t *testing.T) {
	line := "ts=2026-01-01T00:00:00Z role=direct id=edge-1 event=request_ended request=aa01 route=r why=no-configuration status=503 retry_after_ms=300\n"
	file := filepath.Join(t.TempDir(), "log")
	qt.Assert(t, os.WriteFile(file, []byte(line), 0o600), qt.IsNil)
	code, out, _ := runCtl("explain", "aa01", file)
	qt.Check(t, code, qt.Equals, exitOK)
	qt.Check(t, out, qt.Contains, "the router had no configuration yet")
	code, _, errs := runCtl("explain", "bb02", file)
	qt.Check(t, code, qt.Not(qt.Equals), exitOK)
	qt.Check(t, errs, qt.Contains, "no line names the request")
	code, _, _ = runCtl("explain", "aa01", filepath.Join(t.TempDir(), "missing"))
	qt.Check(t, code, qt.Not(qt.Equals), exitOK)
}

// Losses are counted from logs, as a table, as JSON and as a plot.
func TestLosses(t *testing.T) {
	file := filepath.Join("..", "..", "protocol", "losses", "testdata", "router.log")
	plotFile := filepath.Join(t.TempDir(), "losses.svg")
	code, out, errs := runCtl("losses", file, "--by", "outcome,reason", "--plot", plotFile)
	qt.Assert(t, code, qt.Equals, exitOK, qt.Commentf("%s", errs))
	qt.Check(t, out, qt.Contains, "11 requests in 14 lines; 2 lines were broken")
	qt.Check(t, out, qt.Matches, `(?s).*refused +queue-full +4 .*`)
	qt.Check(t, out, qt.Not(qt.Contains), "served")
	svg, err := os.ReadFile(plotFile)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(svg), qt.Contains, "<svg")
	code, out, _ = runCtl("losses", file, "-o", "json")
	qt.Check(t, code, qt.Equals, exitOK)
	qt.Check(t, out, qt.Contains, `"requests":11`)
	code, _, errs = runCtl("losses", "main.go")
	qt.Check(t, code, qt.Not(qt.Equals), exitOK)
	qt.Check(t, errs, qt.Contains, "no line is a router's log line")
}
