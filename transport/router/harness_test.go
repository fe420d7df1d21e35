package router_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"goldcrestport/protocol/settings"
	"goldcrestport/state/config"
	"goldcrestport/transport/observe"
	"goldcrestport/transport/platform"
	"goldcrestport/transport/router"
	"goldcrestport/transport/sidecar"
	"goldcrestport/transport/spread"
)

// faultProxy is a TCP proxy that can close its connections or discard their
// data.
type faultProxy struct {
	lis    net.Listener
	target string

	mu        sync.Mutex
	conns     []net.Conn
	dropFlags []*atomic.Bool
	// dropToTarget discards data sent to the target; refuse closes new
	// connections.
	dropToTarget atomic.Bool
	refuse       atomic.Bool
}

func newFaultProxy(t testing.TB, target string) *faultProxy {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	c := &faultProxy{lis: lis, target: target}
	go c.serve()
	t.Cleanup(func() { lis.Close(); c.closeConns() })
	return c
}

func (c *faultProxy) addr() string { return c.lis.Addr().String() }

func (c *faultProxy) serve() {
	for {
		in, err := c.lis.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", c.target)
		if err != nil || c.refuse.Load() {
			in.Close()
			continue
		}
		c.mu.Lock()
		c.conns = append(c.conns, in, out)
		c.mu.Unlock()
		go func() {
			_, _ = io.Copy(&droppingWriter{out, &c.dropToTarget}, in)
			out.Close()
		}()
		drop := &atomic.Bool{}
		c.mu.Lock()
		c.dropFlags = append(c.dropFlags, drop)
		c.mu.Unlock()
		go func() {
			_, _ = io.Copy(&droppingWriter{in, drop}, out)
			in.Close()
		}()
	}
}

type droppingWriter struct {
	net.Conn
	drop *atomic.Bool
}

func (w *droppingWriter) Write(p []byte) (int, error) {
	if w.drop.Load() {
		return len(p), nil
	}
	return w.Conn.Write(p)
}

// closeConns closes every open connection.
func (c *faultProxy) closeConns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

// dropFromTarget discards all further data from the target on the connections
// that are open now.
func (c *faultProxy) dropFromTarget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.dropFlags {
		m.Store(true)
	}
}

// memStore is an in-memory key-value service and instance list.
type memStore struct {
	platform.Store
	mu        sync.Mutex
	doc       []byte
	version   uint64
	instances []platform.Instance
}

func (m *memStore) Get(_ context.Context, key string) (platform.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if key != spread.ConfigKey {
		return platform.Entry{}, platform.ErrNotFound
	}
	return platform.Entry{Key: key, Value: m.doc, Version: m.version}, nil
}

func (m *memStore) Watch(ctx context.Context, prefix string, after uint64, timeout time.Duration) ([]platform.Entry, uint64, error) {
	for end := time.Now().Add(timeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollInterval) {
		if e, err := m.Get(ctx, prefix); err == nil && e.Version > after {
			return []platform.Entry{e}, e.Version, nil
		}
	}
	return nil, after, ctx.Err()
}

func (m *memStore) Instances(context.Context) ([]platform.Instance, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]platform.Instance(nil), m.instances...), nil
}

// backend is a fake backend server that counts its runs.
type backend struct {
	*httptest.Server
	runs atomic.Int64
}

func newBackend(t testing.TB, h http.HandlerFunc) *backend { return newBackendAt(t, "127.0.0.1:0", h) }

// unsharedAddress is an address of the loopback network that no other server of the tests uses: once a
// server there is closed, no server of a parallel test is given its port.
const unsharedAddress = "127.0.0.77:0"

// newBackendAt starts a fake backend server at an address of its own.
func newBackendAt(t testing.TB, address string, h http.HandlerFunc) *backend {
	b := &backend{}
	b.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		b.runs.Add(1)
		h(w, r)
	}))
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_ = b.Listener.Close()
	b.Listener = l
	b.Start()
	t.Cleanup(b.Close)
	return b
}

// fleet is one router with its sidecars, in one process, over loopback.
type fleet struct {
	t     testing.TB
	store *memStore
	// claims is the router's store if it differs from store.
	claims platform.Store
	url    string
	ops    string
	// router is set by start; closing stop stops it.
	router *router.Router
	// logger and tracer are used by all processes.
	logger log.Logger
	tracer func(role string) *observe.Tracer
	stop   chan struct{}
	done   chan error
}

const (
	testToken    = "test-token"
	plainPath    = "/services/ledger/pledges"
	lookupPath   = "/services/ledger/lookups"
	pollInterval = 10 * time.Millisecond
)

// lastHost is the number of loopback addresses used so far in this process.
var lastHost atomic.Int32

// freeAddr returns an address that nothing else uses: each has its own loopback
// IP, from which no connection is opened, so that no outgoing connection can
// take its port.
func freeAddr(t testing.TB) string {
	n := lastHost.Add(1)
	lis, err := net.Listen("tcp", fmt.Sprintf("127.9.%d.%d:0", n/200, n%200+1))
	qt.Assert(t, err, qt.IsNil)
	defer lis.Close()
	return lis.Addr().String()
}

func newFleet(t testing.TB) *fleet {
	doc, err := json.Marshal(config.Document{
		Revision: 1,
		Teams: map[string]config.Team{"legacy": {
			Share: 1, Tokens: []string{config.TokenDigest(testToken)}, Services: []string{"ledger"},
		}},
		Services: map[string]config.Service{"ledger": {Kind: config.KindPlain, NonIdempotent: []string{"/pledges"}}},
	})
	qt.Assert(t, err, qt.IsNil)
	f := &fleet{t: t, store: &memStore{doc: doc, version: 1}, logger: log.NewNopLogger(), stop: make(chan struct{}), done: make(chan error, 1)}
	return f
}

// node is one sidecar with the proxy in front of it.
type node struct {
	*faultProxy
	id      string
	sidecar *sidecar.Sidecar
	stop    chan struct{}
	done    chan error
}

// shutDown stops the sidecar gracefully and waits until it has stopped.
func (n *node) shutDown() {
	close(n.stop)
	<-n.done
	n.done <- nil
}

// sidecar starts a sidecar for the backend server and adds it to the instance
// list with the address of a proxy.
func (f *fleet) sidecar(id, backendURL string, change ...func(*settings.Sidecar)) *node {
	set := settings.DefaultSidecar()
	set.ID, set.Service, set.DataCentre = id, "ledger", "hall-pamp"
	set.Listen.Peers, set.Listen.Operators = freeAddr(f.t), freeAddr(f.t)
	set.Backend.URL, set.Backend.Slots = backendURL, 4
	for _, c := range change {
		c(&set)
	}
	n := &node{
		id:      id,
		sidecar: sidecar.New(set, f.store, f.store, f.logger),
		stop:    make(chan struct{}),
		done:    make(chan error, 2),
	}
	if f.tracer != nil {
		n.sidecar.SetTracer(f.tracer("sidecar"))
	}
	go func() { n.done <- n.sidecar.Serve(n.stop) }()
	f.t.Cleanup(func() {
		select {
		case <-n.stop:
		default:
			close(n.stop)
		}
		n.sidecar.Abort()
		<-n.done
	})
	n.faultProxy = newFaultProxy(f.t, set.Listen.Peers)
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.instances = append(f.store.instances, platform.Instance{
		ID: id, Role: platform.RoleSidecar, Address: n.addr(), Service: "ledger", State: platform.StateLive,
	})
	return n
}

// start starts the router and waits until it can reach a sidecar.
func (f *fleet) start(change ...func(*settings.Router)) {
	set := settings.DefaultRouter()
	set.ID, set.DataCentre = "router-1", "hall-pamp"
	set.Listen.Callers, set.Listen.Operators, set.Listen.Peers = freeAddr(f.t), freeAddr(f.t), freeAddr(f.t)
	set.Platform.InstancesEvery = settings.Duration(50 * time.Millisecond)
	for _, c := range change {
		c(&set)
	}
	f.url, f.ops = "http://"+set.Listen.Callers, "http://"+set.Listen.Operators
	var store platform.Store = f.store
	if f.claims != nil {
		store = f.claims
	}
	f.router = router.New(set, store, f.store, f.logger)
	if f.tracer != nil {
		f.router.SetTracer(f.tracer("router"))
	}
	go func() { f.done <- f.router.Serve(f.stop) }()
	f.t.Cleanup(f.stopNow)
	for range 500 {
		resp, err := f.call(http.MethodGet, lookupPath+"/warm", "")
		if err == nil && resp.status == http.StatusOK {
			return
		}
		time.Sleep(pollInterval)
	}
	f.t.Fatal("the router cannot reach a sidecar")
}

func (f *fleet) stopNow() {
	select {
	case <-f.stop:
	default:
		close(f.stop)
	}
	f.router.Abort()
	<-f.done
}

// reply is an answer as the caller sees it.
type reply struct {
	status  int
	outcome string
	header  http.Header
	body    string
	// closes is true if the router closes the connection after the answer.
	closes bool
	// bodyErr is the error that ended the body, nil if it ended cleanly.
	bodyErr error
}

func (f *fleet) request(method, path, body string) *http.Request {
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	qt.Assert(f.t, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+testToken)
	return req
}

func (f *fleet) call(method, path, body string) (reply, error) {
	return send(f.request(method, path, body))
}

// callers is the HTTP client of the tests. The default one is not used: closing
// any httptest server closes the default client's idle connections, also one that
// a call is about to reuse.
var callers = &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}

func send(req *http.Request) (reply, error) {
	resp, err := callers.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header.Get("Goldcrest-Outcome"), resp.Header, string(data), resp.Close, err}, nil
}

// warm answers the warm-up requests of fleet.start and passes all others to h.
func warm(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/warm") {
			return
		}
		h(w, r)
	}
}

// Grant fails: these sidecars serve without a lease.
func (m *memStore) Grant(context.Context, time.Duration) (string, error) {
	return "", platform.ErrUnknown
}
