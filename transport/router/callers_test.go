package router

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"goldcrestport/coordination/dispatch"
	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/settings"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/config"
	"goldcrestport/transport/platform"
)

// callerEndpoint is a router's callers' listener with a fake dispatcher that
// refuses every request once refuse is closed.
type callerEndpoint struct {
	router  *Router
	addr    string
	arrived chan *call
	refuse  chan struct{}
}

// emptyStore is a key-value service that accepts every write and stores nothing.
type emptyStore struct{ platform.Store }

func (emptyStore) Get(context.Context, string) (platform.Entry, error) {
	return platform.Entry{}, platform.ErrNotFound
}

func (emptyStore) Put(_ context.Context, _ string, _ []byte, version uint64, _ string) (uint64, error) {
	return version + 1, nil
}

func newCallerEndpoint(c *quicktest.C, edit func(*settings.Router)) *callerEndpoint {
	set := settings.DefaultRouter()
	if edit != nil {
		edit(&set)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := New(set, emptyStore{}, nil, log.NewNopLogger())
	r.ctx = ctx
	r.claims.Start(ctx)
	r.doc.Store(&config.Document{
		Revision: 1,
		Teams: map[string]config.Team{
			"legacy": {Share: 1, Tokens: []string{config.TokenDigest("t")}, Services: []string{"llm", "ledger"}},
			"other":  {Share: 1, Tokens: []string{config.TokenDigest("o")}, Services: []string{"ledger"}},
		},
		Services: map[string]config.Service{
			"llm":    {Kind: config.KindModel, MaxBody: 1 << 10},
			"ledger": {Kind: config.KindPlain, NonIdempotent: []string{"/pledges"}},
			"hidden": {Kind: config.KindPlain},
		},
	})
	e := &callerEndpoint{router: r, arrived: make(chan *call, 64), refuse: make(chan struct{})}
	close(e.refuse)
	go e.dispatch(ctx)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	srv := r.callerServer()
	go func() { _ = srv.Serve(r.limitCallers(lis)) }()
	e.addr = lis.Addr().String()
	c.Cleanup(func() { _ = srv.Close(); cancel() })
	return e
}

func (e *callerEndpoint) dispatch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-e.router.dispatcher.messages:
			if m.call == nil {
				continue
			}
			e.arrived <- m.call
			go func() {
				<-e.refuse
				m.call.decisions <- decision{refuse: &dispatch.Refuse{ID: m.call.id, Reason: dispatch.QueueFull, RetryAfter: 1500 * time.Millisecond}}
			}()
		}
	}
}

// send sends a request and returns the response and its refusal.
func (e *callerEndpoint) send(c *quicktest.C, method, path string, headers http.Header, body io.Reader) (*http.Response, outcome.Problem) {
	req, err := http.NewRequest(method, "http://"+e.addr+path, body)
	c.Assert(err, quicktest.IsNil)
	for name, values := range headers {
		req.Header[name] = values
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	c.Assert(err, quicktest.IsNil)
	return resp, readProblem(c, resp)
}

func readProblem(c *quicktest.C, resp *http.Response) outcome.Problem {
	defer resp.Body.Close()
	var p outcome.Problem
	c.Assert(json.NewDecoder(resp.Body).Decode(&p), quicktest.IsNil)
	c.Check(resp.Header.Get("Content-Type"), quicktest.Equals, outcome.ContentType)
	c.Check(resp.Header.Get(outcome.Header), quicktest.Equals, string(p.Outcome))
	c.Check(resp.Header.Get(headerRequestID), quicktest.Equals, p.RequestID)
	c.Check(p.Status, quicktest.Equals, resp.StatusCode)
	c.Check(p.Type, quicktest.Equals, "urn:goldcrestport:problem:"+string(p.Reason))
	return p
}

func header(pairs ...string) http.Header {
	h := http.Header{"Authorization": {"Bearer t"}}
	for i := 0; i < len(pairs); i += 2 {
		h[pairs[i]] = append(h[pairs[i]], pairs[i+1])
	}
	return h
}

const chatBody = `{"model":"llm","messages":[]}`

func TestBadInputIsRefused(t *testing.T) {
	many := header()
	for i := range 100 {
		many.Add("X-Many", string(rune('a'+i%26)))
	}
	for _, tc := range []struct {
		name, method, path string
		headers            http.Header
		body               string
		status             int
		reason             outcome.Reason
		detail             string
	}{
		{"malformed JSON", "POST", chatPath, header(), `{"model":`, 400, outcome.ReasonBadRequest, "not a JSON chat completion"},
		{"not an object", "POST", chatPath, header(), `[1]`, 400, outcome.ReasonBadRequest, "not a JSON chat completion"},
		{"no body", "POST", chatPath, header(), ``, 400, outcome.ReasonBadRequest, "not a JSON chat completion"},
		{"no model", "POST", chatPath, header(), `{}`, 400, outcome.ReasonBadRequest, "names no model"},
		{"no token", "POST", chatPath, http.Header{}, chatBody, 401, outcome.ReasonUnauthorized, ""},
		{"wrong token", "POST", chatPath, http.Header{"Authorization": {"Bearer x"}}, chatBody, 401, outcome.ReasonUnauthorized, ""},
		{"other scheme", "POST", chatPath, http.Header{"Authorization": {"Basic t"}}, chatBody, 401, outcome.ReasonUnauthorized, ""},
		{"unknown model", "POST", chatPath, header(), `{"model":"x"}`, 404, outcome.ReasonUnknownService, "no such service: x"},
		{"unknown service", "GET", "/services/x/a", header(), ``, 404, outcome.ReasonUnknownService, "no such service: x"},
		{"service not allowed", "GET", "/services/hidden/a", header(), ``, 403, outcome.ReasonForbidden, "hidden"},
		{"model not allowed", "POST", chatPath, http.Header{"Authorization": {"Bearer o"}}, chatBody, 403, outcome.ReasonForbidden, "llm"},
		{"model as a plain service", "POST", "/services/llm/admin/faults", header(), ``, 400, outcome.ReasonBadRequest, "llm is a model"},
		{"plain service as a model", "POST", chatPath, header(), `{"model":"ledger"}`, 400, outcome.ReasonBadRequest, "ledger is a plain service"},
		{"body over the service's bound", "POST", chatPath, header(), chatBody + strings.Repeat(" ", 2<<10), 413, outcome.ReasonTooLarge, ""},
		{"body over the router's bound", "POST", "/services/ledger/x", header(), strings.Repeat("x", 3<<10), 413, outcome.ReasonTooLarge, ""},
		{"unknown path", "GET", "/v1/models", header(), ``, 404, outcome.ReasonUnknownPath, ""},
		{"no service", "GET", "/services/", header(), ``, 404, outcome.ReasonUnknownPath, ""},
		{"chat with GET", "GET", chatPath, header(), ``, 405, outcome.ReasonMethod, ""},
		{"trace", "TRACE", "/services/ledger/x", header(), ``, 405, outcome.ReasonMethod, ""},
		{"path traversal", "GET", "/services/ledger/a/../../x", header(), ``, 400, outcome.ReasonBadRequest, "segments"},
		{"escaped traversal", "GET", "/services/ledger/%2e%2e%2fx", header(), ``, 400, outcome.ReasonBadRequest, "segments"},
		{"backslash traversal", "GET", "/services/ledger/..%5Cx", header(), ``, 400, outcome.ReasonBadRequest, "segments"},
		{"traversal as service", "GET", "/services/../x", header(), ``, 400, outcome.ReasonBadRequest, "segments"},
		{"control character", "GET", "/services/ledger/a%00b", header(), ``, 400, outcome.ReasonBadRequest, "control"},
		{"empty key", "POST", "/services/ledger/x", header(headerKey, ""), ``, 400, outcome.ReasonBadHeader, headerKey},
		{"long key", "POST", "/services/ledger/x", header(headerKey, strings.Repeat("k", 256)), ``, 400, outcome.ReasonBadHeader, "1 to 255"},
		{"key not ASCII", "POST", "/services/ledger/x", header(headerKey, "\xc3\xa9"), ``, 400, outcome.ReasonBadHeader, "ASCII"},
		{"two keys", "POST", "/services/ledger/x", header(headerKey, "a", headerKey, "b"), ``, 400, outcome.ReasonBadHeader, "more than once"},
		{"bad deadline", "POST", "/services/ledger/x", header(headerDeadline, "5"), ``, 400, outcome.ReasonBadHeader, headerDeadline},
		{"past deadline", "POST", "/services/ledger/x", header(headerDeadline, "-1s"), ``, 400, outcome.ReasonBadHeader, "positive"},
		{"bad hint", "POST", "/services/ledger/x", header(headerCostHint, "NaN"), ``, 400, outcome.ReasonBadHeader, headerCostHint},
		{"bad mark", "POST", "/services/ledger/x", header(headerNonIdempotent, "yes"), ``, 400, outcome.ReasonBadHeader, "true or false"},
		{"too many headers", "GET", "/services/ledger/x", many, ``, 431, outcome.ReasonHeadersLarge, ""},
		{"too large headers", "GET", "/services/ledger/x", header("X-Large", strings.Repeat("x", 5<<10)), ``, 431, outcome.ReasonHeadersLarge, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := quicktest.New(t)
			e := newCallerEndpoint(c, func(s *settings.Router) { s.Limits.Body, s.Limits.Headers = 2560, 4*settings.KiB })
			for _, body := range []io.Reader{strings.NewReader(tc.body), io.MultiReader(strings.NewReader(tc.body))} {
				resp, p := e.send(c, tc.method, tc.path, tc.headers, body)
				c.Check(resp.StatusCode, quicktest.Equals, tc.status)
				c.Check(p.Reason, quicktest.Equals, tc.reason)
				c.Check(p.Outcome, quicktest.Equals, outcome.NotRun)
				c.Check(p.Detail, quicktest.Contains, tc.detail)
			}
			c.Check(e.arrived, quicktest.HasLen, 0)
			c.Check(e.router.metrics.bodies.Value(), quicktest.Equals, int64(0))
			_, p := e.send(c, "POST", chatPath, header(), strings.NewReader(chatBody))
			c.Check(p.Reason, quicktest.Equals, outcome.ReasonQueueFull)
		})
	}
}

func TestAcceptedRequest(t *testing.T) {
	c := quicktest.New(t)
	e := newCallerEndpoint(c, nil)
	h := header(headerKey, "k 1", headerDeadline, "20m", headerCostHint, "40", "X-Team", "fake",
		"Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", "X-Own", "1", "Connection", "x-gone", "X-Gone", "1")
	resp, p := e.send(c, "PUT", "/services/ledger//%70ledges/a%2Fb?x=1&y", h, strings.NewReader("body"))
	c.Check(resp.StatusCode, quicktest.Equals, http.StatusTooManyRequests)
	c.Check(resp.Header.Get("Retry-After"), quicktest.Equals, "2")
	c.Check(p.RetryAfterMS, quicktest.Equals, int64(1500))
	got := <-e.arrived
	c.Check(got.id, quicktest.Equals, p.RequestID)
	c.Check(string(got.body), quicktest.Equals, "body")
	c.Check(got.start.Path, quicktest.Equals, "//%70ledges/a%2Fb?x=1&y")
	c.Check(got.start.Method, quicktest.Equals, "PUT")
	c.Check(got.start.Team, quicktest.Equals, "legacy")
	c.Check(got.start.IdempotencyKey, quicktest.Equals, "k 1")
	c.Check(got.start.Idempotent, quicktest.IsFalse)
	c.Check(got.start.DeadlineMs, quicktest.Equals, (10 * time.Minute).Milliseconds())
	c.Check(got.request.Estimate, quicktest.Equals, 40.0)
	names := map[string]bool{}
	for _, f := range got.start.Headers {
		names[f.Name] = true
	}
	c.Check(names["X-Own"], quicktest.IsTrue)
	for _, gone := range []string{"X-Gone", "X-Team", "Authorization", "Connection", headerKey} {
		c.Check(names[gone], quicktest.IsFalse, quicktest.Commentf(gone))
	}
	_, _ = e.send(c, "GET", "/services/ledger/receipts", header(), nil)
	c.Check((<-e.arrived).start.Idempotent, quicktest.IsTrue)
}

func FuzzCallers(f *testing.F) {
	f.Add("POST", chatPath, "k", "1s", chatBody)
	f.Add("GET", "/services/ledger/%2e./x?y", "", "-1h", "")
	f.Fuzz(func(t *testing.T, method, path, key, deadline, body string) {
		c := quicktest.New(t)
		r := New(settings.DefaultRouter(), nil, nil, log.NewNopLogger())
		r.doc.Store(&config.Document{
			Teams:    map[string]config.Team{"a": {Tokens: []string{config.TokenDigest("t")}, Services: []string{"llm", "ledger"}}},
			Services: map[string]config.Service{"llm": {Kind: config.KindModel}, "ledger": {Kind: config.KindPlain}},
		})
		req, err := http.NewRequest(method, "http://r"+path, strings.NewReader(body))
		if err != nil {
			return // net/http passes no such request to a handler
		}
		req.Header = header(headerKey, key, headerDeadline, deadline)
		observer := r.newObserver(req)
		reqBody := requestBody{budget: r.bodies}
		got, refused := r.admit(observer, &reqBody, httptest.NewRecorder(), req)
		if (got == nil) == (refused == nil) {
			t.Fatal("want a call or a refusal")
		}
		if got != nil {
			c.Check(strings.HasPrefix(got.start.Path, "/"), quicktest.IsTrue)
			c.Check(escapesRoot(strings.Split(got.start.Path, "?")[0]), quicktest.IsFalse)
			c.Check(string(got.body), quicktest.Equals, body)
			c.Check(got.start, quicktest.Not(quicktest.Equals), (*wire.RunStart)(nil))
		} else {
			c.Check(refused.Kind, quicktest.Equals, outcome.NotRun)
		}
		reqBody.release()
		c.Check(r.bodies.Stats().Used, quicktest.Equals, int64(0))
	})
}
