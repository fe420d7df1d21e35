package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func start(t *testing.T, config Config) func(method, path, body string) (int, string) {
	server := httptest.NewServer(New(config))
	t.Cleanup(server.Close)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}} // avoids transparent retries by net/http
	return func(method, path, body string) (int, string) {
		r, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		if err != nil {
			t.Error(err)
			return 0, ""
		}
		answer, err := client.Do(r)
		if err != nil {
			return 0, ""
		}
		defer func() { _ = answer.Body.Close() }()
		out, _ := io.ReadAll(answer.Body)
		return answer.StatusCode, strings.TrimSpace(string(out))
	}
}

func TestCompareAndSwap(t *testing.T) {
	c, call := quicktest.New(t), start(t, DefaultConfig())
	for _, step := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"PUT", "/v1/kv/a/b?version=0", "x", 200, `{"version":1}`},
		{"PUT", "/v1/kv/a/b?version=0", "y", 409, `{"version":1}`},
		{"PUT", "/v1/kv/a/b?version=1", "y", 200, `{"version":2}`},
		{"GET", "/v1/kv/a/b", "", 200, `{"key":"a/b","value":"eQ==","version":2}`},
		{"PUT", "/v1/kv/c", "", 200, `{"version":3}`},
		{"GET", "/v1/kv/c", "", 200, `{"key":"c","value":"","version":3}`},
		{"DELETE", "/v1/kv/a/b?version=1", "", 409, `{"version":2}`},
		{"DELETE", "/v1/kv/a/b?version=2", "", 200, `{"version":4}`},
		{"DELETE", "/v1/kv/a/b", "", 404, `{"error":"no such key"}`},
		{"PUT", "/v1/kv/c?version=x", "", 400, `{"error":"a key and a whole number as version are needed"}`},
		{"PUT", "/v1/kv/c", strings.Repeat("x", maxValue+1), 413, `{"error":"the body can't be read"}`},
		{"GET", "/v1/kv?prefix=", "", 200, `{"entries":[{"key":"c","value":"","version":3}],"revision":4}`},
	} {
		status, body := call(step.method, step.path, step.body)
		c.Assert(status, quicktest.Equals, step.status, quicktest.Commentf("%+v", step))
		c.Assert(body, quicktest.Equals, step.want)
	}
}

func TestCallWithLostResponseTakesEffect(t *testing.T) {
	c, call := quicktest.New(t), start(t, DefaultConfig())
	call("PUT", "/admin/faults", `{"lose_answers":1}`)
	status, _ := call("PUT", "/v1/kv/k?version=0", "x")
	c.Assert(status, quicktest.Equals, 0)
	call("PUT", "/admin/faults", `{"down":true}`)
	status, _ = call("PUT", "/v1/kv/k?version=1", "y")
	c.Assert(status, quicktest.Equals, 0)
	call("PUT", "/admin/faults", `{}`)
	_, body := call("GET", "/v1/kv/k", "")
	c.Assert(body, quicktest.Equals, `{"key":"k","value":"eA==","version":1}`)
}

func TestWatchAndLease(t *testing.T) {
	c, call := quicktest.New(t), start(t, DefaultConfig())
	_, body := call("POST", "/v1/leases?ttl_ms=200", "")
	var lease leaseBody
	c.Assert(json.Unmarshal([]byte(body), &lease), quicktest.IsNil)
	call("PUT", "/v1/kv/p/k?lease="+lease.ID, "x")
	_, body = call("GET", "/v1/watch?prefix=p/&after=0&timeout_ms=5000", "")
	c.Assert(body, quicktest.Equals, `{"entries":[{"key":"p/k","value":"eA==","version":1}],"revision":1}`)
	_, body = call("GET", "/v1/watch?prefix=q/&after=0&timeout_ms=10", "")
	c.Assert(body, quicktest.Equals, `{"entries":[],"revision":1}`)
	_, body = call("GET", "/v1/watch?prefix=p/&after=1&timeout_ms=5000", "")
	c.Assert(body, quicktest.Equals, `{"entries":[{"key":"p/k","value":null,"version":2,"deleted":true}],"revision":2}`)
	status, _ := call("POST", "/v1/leases/"+lease.ID, "")
	c.Assert(status, quicktest.Equals, 404)
}

func TestDownClosesPendingWatch(t *testing.T) {
	c, call := quicktest.New(t), start(t, DefaultConfig())
	ended := make(chan int, 1)
	go func() {
		status, _ := call("GET", "/v1/watch?prefix=p", "")
		ended <- status
	}()
	for waiting := ""; !strings.Contains(waiting, `"watches_waiting":1,`); time.Sleep(time.Millisecond) {
		_, waiting = call("GET", "/admin/counters", "")
	}
	call("PUT", "/admin/faults", `{"down":true}`)
	c.Assert(<-ended, quicktest.Equals, 0)
}

func TestRatesAndCounters(t *testing.T) {
	c, call := quicktest.New(t), start(t, Config{WritesPerSecond: 0.01, ReadsPerSecond: 2, ListLag: time.Hour})
	c.Check(statusOf(call("PUT", "/v1/kv/k", "x")), quicktest.Equals, 429) // the bucket never holds a whole token
	c.Check(statusOf(call("GET", "/v1/kv/k", "")), quicktest.Equals, 404)
	c.Check(statusOf(call("PUT", "/v1/instances/i", `{"role":"router"}`)), quicktest.Equals, 200)
	_, list := call("GET", "/v1/instances", "")
	c.Check(list, quicktest.Contains, `"instances":[]`)
	_, body := call("GET", "/admin/counters", "")
	var counters Counters
	c.Assert(json.Unmarshal([]byte(body), &counters), quicktest.IsNil)
	c.Check(fmt.Sprint(counters.Count, counters.Rejected, counters.Callers), quicktest.Equals, "{2 0} 1 map[:{2 0}]")
}

func statusOf(status int, _ string) int { return status }
