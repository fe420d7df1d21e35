package prove

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"goldcrestport/bench/history"
	"goldcrestport/protocol/operator"
	"goldcrestport/protocol/outcome"
)

func settleQuery(ask operator.ConfirmRequest) string {
	return url.Values{
		"base":   {strconv.FormatUint(ask.BaseRevision, 10)},
		"digest": {ask.Digest},
	}.Encode()
}

// exchange sends one call to some router and reads the answer, or the problem.
func (o *human) exchange(method, path string, ask, into any) (*operator.Problem, error) {
	body, err := json.Marshal(ask)
	if err != nil {
		return nil, err
	}
	to := o.w.balancer.choose(o.random, "")
	req, err := http.NewRequest(method, "http://"+to.Ops+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+token(o.name))
	resp, err := o.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readOperatorProblem(resp)
	}
	return nil, errors.Wrap(json.NewDecoder(resp.Body).Decode(into), path)
}

func readOperatorProblem(resp *http.Response) (*operator.Problem, error) {
	var p operator.Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		return nil, errors.Wrap(err, "problem document")
	}
	return &p, nil
}

// changeResult tells what the operator knows after a confirmation.
func changeResult(p *operator.Problem, err error) history.ChangeResult {
	switch {
	case err != nil:
		return history.ChangeUnknown
	case p == nil:
		return history.ChangeAccepted
	case p.Reason == operator.ReasonStalePlan:
		return history.ChangeStale
	case p.Outcome == outcome.NotRun:
		return history.ChangeRefused
	default:
		return history.ChangeUnknown
	}
}
