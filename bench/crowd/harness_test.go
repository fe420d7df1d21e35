package crowd

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/bench/fleet"
	"goldcrestport/protocol/settings"
	"goldcrestport/standin/backend"
	"goldcrestport/standin/kvstore"
)

// The lowered limits of the router, and the crowd before it: what all its callers send together is
// about three times the router's memory.
const (
	// routerMemory is the memory of the router's instance.
	routerMemory = 64 << 20
	// maxConnections is the router's limit of callers' connections.
	maxConnections = 300
	// maxDescriptors is what a router may have open: for each of these connections one to a backend server, and
	// its listeners, the store and idle connections to servers.
	maxDescriptors = 2*maxConnections + 64
	// maxBody is the configured limit of one body.
	maxBody = 1 << 20
	// crowdSize is the number of callers in a crowd.
	crowdSize = 200
)

const (
	host    = "crowd.example"
	service = "ledger-app"
	// startBound limits the start and the stop of a process.
	startBound = 60 * time.Second
)

// bin is the folder of the binaries, built once for all tests.
var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err == nil {
		err = fleet.Build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	bin = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// world is one direct router with its store and one plain backend server.
type world struct {
	*qt.C
	fleet  *fleet.Fleet
	store  *kvstore.Server
	router *fleet.Process
	// version is that of the configuration in force, and key the key of its only team.
	version int
	key     string
	// answer is the size of the server's answers in bytes, and pause how long each takes.
	answer, pause atomic.Int64
	// sent is the number of requests that began.
	sent atomic.Int64
	// headOf returns the head of the request with the number; nil for that of a direct router.
	headOf func(number int64) string
}

// start starts a world that ends with the test.
func start(t *testing.T) *world {
	c := qt.New(t)
	w := &world{C: c, store: kvstore.New()}
	w.answer.Store(100)
	w.configure("key-1")
	w.startServer()
	lis := listen(c)
	srv := &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(lis) }()
	c.Cleanup(func() { _ = srv.Close() })
	var err error
	w.fleet, err = fleet.New(bin, c.TempDir())
	c.Assert(err, qt.IsNil)
	c.Cleanup(w.fleet.Close)
	set := settings.DefaultDirect()
	set.ID, set.DataCentre = "router-1", "hall-1"
	set.Platform.URL = "http://" + lis.Addr().String()
	set.Memory = settings.Size(routerMemory)
	set.Callers.Connections = maxConnections
	w.router, err = w.fleet.StartDirect(set)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		if c.Failed() {
			w.logRouter()
		}
	})
	w.waitReady()
	return w
}

// loggedLines is how many of the last lines of the router's log are shown when a test has failed.
const loggedLines = 40

// logRouter shows the end of the router's log.
func (w *world) logRouter() {
	data, err := os.ReadFile(filepath.Join(w.fleet.Dir, w.router.Name+".log"))
	if err != nil {
		w.Log(err)
		return
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	w.Log(strings.Join(lines[max(len(lines)-loggedLines, 0):], "\n"))
}

func listen(c *qt.C) net.Listener {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return lis
}

func (w *world) waitReady() {
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	w.Assert(w.fleet.WaitReady(ctx, w.router), qt.IsNil)
}

// configure puts a new version of the configuration in force, whose only team has the key.
func (w *world) configure(key string) { w.configureRoutes(key) }

// configureStreams puts a version in force that has a route of streams, too.
func (w *world) configureStreams() {
	w.configureRoutes(w.key, map[string]any{
		"name": "stories", "host": host, "pathPrefix": "/stories/", "routeKind": "streaming",
		"timeoutMs": 30_000, "sloMs": 5000, "maxAttempts": 1, "service": service,
	})
}

// configureRoutes is configure with further routes.
func (w *world) configureRoutes(key string, further ...any) {
	w.version++
	w.key = key
	route := map[string]any{
		"name": "pledges", "host": host, "pathPrefix": "/pledges/", "routeKind": "non_idempotent",
		"timeoutMs": 30_000, "sloMs": 5000, "maxAttempts": 1, "service": service,
	}
	data, err := json.Marshal(map[string]any{
		"version": w.version, "routes": append([]any{route}, further...), "services": []any{map[string]any{"name": service}},
		"tenants": []any{map[string]any{"name": "pledge-desk", "apiKeys": []string{key}}},
		"limits":  map[string]any{"maxHeaderBytes": 16 << 10, "maxBodyBytes": maxBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 30_000},
	})
	w.Assert(err, qt.IsNil)
	w.store.Put("op/config", data)
}

// startServer starts the backend server and enters it.
func (w *world) startServer() {
	lis := listen(w.C)
	srv := &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(lis) }()
	w.Cleanup(func() { _ = srv.Close() })
	e := backend.Entry{Service: service, Address: lis.Addr().String(), Zone: "hall-1", Version: "v1", Slots: 2 * crowdSize, State: backend.Ready, Born: time.Now().UnixMilli()}
	w.store.Put(backend.Key("i-1"), e.Bytes())
}

// serve answers one request at the backend server.
func (w *world) serve(rw http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(time.Duration(w.pause.Load()))
	id := r.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	rw.Header().Set("Replica-Stamp", "i-1."+id)
	_, _ = io.WriteString(rw, strings.Repeat("x", int(w.answer.Load())))
}

// head returns the head of a request with the key in force, but for the framing of its body.
func (w *world) head() string {
	if w.headOf != nil {
		return w.headOf(w.sent.Add(1))
	}
	return fmt.Sprintf("POST /pledges/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: a-%d\r\nCredential: %s\r\nDeadline-Ms: 30000\r\n", host, w.sent.Add(1), w.key)
}

// Bounds of an ordinary caller. It comes back a few times, each time on a new connection, as every caller may
// after a refusal or a connection that was closed unread.
const (
	ordinaryTries = 4
	ordinaryPause = 500 * time.Millisecond
	ordinaryBound = 30 * time.Second
)

// mustServe sends an ordinary request from the address, which must be answered.
func (w *world) mustServe(from string) {
	w.Helper()
	w.mustServeWithin(ordinaryTries, from)
}

// mustServeWithin is mustServe for a caller who comes at most so many times.
func (w *world) mustServeWithin(tries int, from string) {
	w.Helper()
	var err error
	for range tries {
		if err = w.ordinary(from); err == nil {
			return
		}
		time.Sleep(ordinaryPause)
	}
	w.Check(err, qt.IsNil, qt.Commentf("an ordinary request from %s", from))
}

// ordinary sends one request with a small body, and returns an error unless it was answered with success.
func (w *world) ordinary(from string) error {
	conn, err := dial(from, w.router.Addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(ordinaryBound))
	if _, err := fmt.Fprintf(conn, "%sContent-Length: 2\r\n\r\n{}", w.head()); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, body)
	}
	return nil
}

// dial connects to the address from one of the loopback network.
func dial(from, to string) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}, Timeout: ordinaryBound}
	return d.Dial("tcp", to)
}
