package service

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"goldcrestport/standin/faults"
	"goldcrestport/standin/runs"
)

func TestFailRunsRequestBeforeErrorResponse(t *testing.T) {
	c, s := quicktest.New(t), New(DefaultConfig())
	server := httptest.NewServer(s)
	defer server.Close()
	for i, want := range []int{200, 500} {
		c.Assert(s.faults.Set(faults.Backend{Fail: float64(i)}), quicktest.IsNil)
		answer, err := http.Post(server.URL+"/x//y", "", strings.NewReader("body"))
		c.Assert(err, quicktest.IsNil)
		body, _ := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		c.Check(answer.StatusCode, quicktest.Equals, want)
		c.Check(strings.Contains(string(body), `"path":"/x//y"`), quicktest.Equals, want == 200)
		c.Check(s.log.Runs(0), quicktest.HasLen, i+1)
		c.Check(s.log.Runs(int64(i))[0].State, quicktest.Equals, []string{runs.Done, runs.Failed}[i])
	}
	c.Check(s.log.Stats().Ended, quicktest.Equals, int64(2))
}
