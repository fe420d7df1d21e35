package engine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"goldcrestport/standin/runs"
)

const chat = "/v1/chat/completions"

func start(t *testing.T, change func(*Config)) (*Server, string) {
	config := DefaultConfig()
	config.Step, config.LoadTime = time.Millisecond, time.Millisecond
	change(&config)
	s := New(config)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server.URL
}

func send(c *quicktest.C, ctx context.Context, method, url, body, resumable string) *http.Response {
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	c.Assert(err, quicktest.IsNil)
	r.Header.Set("X-Request-Id", "r-1")
	r.Header.Set("X-Resumable", resumable)
	answer, err := http.DefaultClient.Do(r)
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { _ = answer.Body.Close() })
	return answer
}

func body(c *quicktest.C, answer *http.Response) string {
	out, err := io.ReadAll(answer.Body)
	c.Assert(err, quicktest.IsNil)
	return string(out)
}

func TestStreamIsDeterministicAndResumable(t *testing.T) {
	c, ctx := quicktest.New(t), context.Background()
	s, url := start(t, func(*Config) {})
	_, other := start(t, func(*Config) {})
	chatRequest := `{"model":"m","stream":true,"max_tokens":20,"gc_exact":true,"messages":[{"role":"user","content":"hello"}]}`
	first := send(c, ctx, "POST", url+chat, chatRequest, "")
	whole := body(c, first)
	c.Check(whole, quicktest.Equals, body(c, send(c, ctx, "POST", other+chat, chatRequest, "")))
	c.Check(whole, quicktest.Contains, `"content":"[r-1] `)
	c.Check(strings.Count(whole, "data: "), quicktest.Equals, 22)
	c.Check(strings.HasSuffix(whole, "data: [DONE]\n\n"), quicktest.IsTrue)
	sum := sha256.Sum256([]byte(whole))
	c.Check(s.log.Runs(0)[0].SHA256, quicktest.Equals, hex.EncodeToString(sum[:]))
	c.Check(s.log.Runs(0)[0].State, quicktest.Equals, runs.Done)
	again := send(c, ctx, "GET", url+"/v1/streams/"+first.Header.Get("X-Stream-Id")+"?from=100", "", "")
	c.Check(body(c, again), quicktest.Equals, whole[100:])
}

func TestDisconnectCancelsRunUnlessResumable(t *testing.T) {
	c := quicktest.New(t)
	chatRequest := `{"stream":true,"max_tokens":300,"gc_exact":true,"messages":[{"content":"x"}]}`
	for resumable, state := range map[string]string{"": runs.Cancelled, "true": runs.Done} {
		s, url := start(t, func(*Config) {})
		ctx, cancel := context.WithCancel(context.Background())
		answer := send(c, ctx, "POST", url+chat, chatRequest, resumable)
		_, err := answer.Body.Read(make([]byte, 1))
		c.Assert(err, quicktest.IsNil)
		cancel()
		for deadline := time.Now().Add(10 * time.Second); s.pool.Running() > 0 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		c.Check(s.log.Runs(0)[0].State, quicktest.Equals, state)
	}
}

func TestPrefixCacheAndEvents(t *testing.T) {
	c, ctx := quicktest.New(t), context.Background()
	_, url := start(t, func(config *Config) { config.CacheEventLag = 0 })
	chatRequest := `{"max_tokens":2,"messages":[{"content":"` + strings.Repeat("a", 15*BlockBytes) + `"}]}`
	c.Check(body(c, send(c, ctx, "POST", url+chat, chatRequest, "")), quicktest.Contains, `"cached_tokens":0`)
	c.Check(body(c, send(c, ctx, "POST", url+chat, chatRequest, "")), quicktest.Contains, `"cached_tokens":960`)
	events := body(c, send(c, ctx, "GET", url+"/v1/cache/events?after=8", "", ""))
	c.Check(events, quicktest.Contains, `"seq":9`)
	c.Check(events, quicktest.Not(quicktest.Contains), `"seq":10`)
	c.Check(events, quicktest.Contains, `"next":15`)
}

func TestFenceRejectsOldOrders(t *testing.T) {
	c, ctx := quicktest.New(t), context.Background()
	newer := `{"fence":7,"id":"a","action":"load","kind":"model","name":"m","version":"2"}`
	older := `{"fence":6,"id":"b","action":"unload","kind":"model","name":"m"}`
	for check, status := range map[bool]int{true: 409, false: 200} {
		_, url := start(t, func(config *Config) { config.CheckFence = check })
		c.Check(send(c, ctx, "POST", url+"/v1/orders", newer, "").StatusCode, quicktest.Equals, 200)
		c.Check(send(c, ctx, "POST", url+"/v1/orders", older, "").StatusCode, quicktest.Equals, status)
		list := body(c, send(c, ctx, "GET", url+"/v1/orders", "", ""))
		c.Check(strings.Contains(list, `"models":[{"name":"m","version":"2"}]`), quicktest.Equals, check)
		c.Check(list, quicktest.Contains, `{"adapters":[],"fence":7,`)
	}
}

func TestCutAfterBytesTruncatesResponse(t *testing.T) {
	c := quicktest.New(t)
	_, url := start(t, func(*Config) {})
	send(c, context.Background(), "PUT", url+"/admin/faults", `{"cut_after_bytes":50}`, "")
	answer := send(c, context.Background(), "POST", url+chat, `{"stream":true,"messages":[{"content":"x"}]}`, "")
	got, err := io.ReadAll(answer.Body)
	c.Check(err, quicktest.Equals, io.ErrUnexpectedEOF)
	c.Check(got, quicktest.HasLen, 50)
}
