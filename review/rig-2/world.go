package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds the store, the replicas and the routers of one run, and its record.
type world struct {
	dir     string
	store   *store
	trouble bool
	started time.Time

	mu     sync.Mutex
	record *os.File
	events []event
	procs  []*process
	nextID int
	closed bool
}

// process is one process that this run started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	name string
}

// newWorld starts an empty world. The record is written to the given file.
func newWorld(record string) (*world, error) {
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &world{dir: dir, store: s, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: f}, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(time.Now(), format, args...)
}

func (w *world) noteLocked(at time.Time, format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", at.Sub(w.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(w.record, line)
	if os.Getenv("RIG_VERBOSE") != "" {
		fmt.Println(line)
	}
}

// close ends all processes that this run started and removes its folder.
func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	all := append([]*process(nil), w.procs...)
	w.mu.Unlock()
	for _, p := range all {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	if os.Getenv("RIG_KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

// signal sends a signal unless the process has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// start starts a process, unless this run has ended.
func (w *world) start(name string, cmd *exec.Cmd) (*process, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil, fmt.Errorf("%s is not started: the run has ended", name)
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{}), name: name}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	w.procs = append(w.procs, p)
	return p, nil
}

// ownIP returns a loopback address that other runs at the same time do not use.
func ownIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid>>16%200, pid>>8&255, 1+pid%254)
}

// firstPort and portCount are the ports from which free ones are taken, below those that the kernel takes for outgoing
// connections. lastPort is the last one that was given out; none is given out twice.
const (
	firstPort = 12000
	portCount = 18000
)

var lastPort = os.Getpid() * 41 % portCount

// freePort returns an address with a port that nothing listens at. It is called by one goroutine at a time.
func freePort() string {
	for range portCount {
		lastPort = (lastPort + 1) % portCount
		address := fmt.Sprintf("%s:%d", ownIP(), firstPort+lastPort)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	panic("no port is free")
}

// replica is one lifetime of a replica.
type replica struct {
	*process
	id, address, service, version string
	w                             *world
}

// heartbeat is the interval at which replicas write their entries.
const heartbeat = 1200 * time.Millisecond

// slots is the number of requests that a replica runs at once.
const slots = 64

// startReplica starts a replica of the version with a new id, and writes its entry.
func (w *world) startReplica(service, version string) (*replica, error) {
	address := freePort()
	w.mu.Lock()
	w.nextID++
	id := fmt.Sprintf("i-%04d", w.nextID)
	w.mu.Unlock()
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, "replica", "-listen", address, "-id", id, "-slots", fmt.Sprint(slots))
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = os.Stderr
	p, err := w.start(id, cmd)
	if err != nil {
		return nil, err
	}
	listens := make(chan struct{}, 1)
	go w.readEvents(out, listens)
	select {
	case <-listens:
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("replica %s does not listen", id)
	}
	r := &replica{process: p, id: id, address: address, service: service, version: version, w: w}
	r.enter("ready")
	w.note("replica %s of %s %s starts at %s", id, service, version, address)
	return r, nil
}

func (w *world) readEvents(out io.Reader, listens chan struct{}) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue
		}
		if e.What == "listens" {
			listens <- struct{}{}
			continue
		}
		w.mu.Lock()
		w.events = append(w.events, e)
		w.noteLocked(e.At, "replica %s %s %s %s tenant=%q body=%d", e.Replica, e.What, e.ID, e.Path, e.Tenant, e.Body)
		w.mu.Unlock()
	}
}

// enter writes the entry of the replica.
func (r *replica) enter(state string) time.Time {
	return r.w.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": "hall-pamp", "version": r.version, "slots": slots,
		"state": state, "coldLeftMs": 0, "phase": "both", "models": []any{}, "seq": 0,
	})
}

// crash kills the replica; its entry is removed after three heartbeat intervals of silence.
func (r *replica) crash() {
	r.w.note("replica %s is killed", r.id)
	r.kill()
	go func() {
		time.Sleep(3 * heartbeat)
		r.w.store.delete("servers/" + r.id)
	}()
}

// router is one process of goldcrestd.
type router struct {
	*process
	name, front, ready, settings string
	w                            *world
	fields                       map[string]any
}

// startRouters starts routers with the settings of a small deployment.
func (w *world) startRouters(n int) ([]*router, error) {
	all := make([]*router, n)
	ports := make([][5]string, n)
	var seeds []string
	for i := range all {
		for j := range ports[i] {
			ports[i][j] = freePort()
		}
		seeds = append(seeds, ports[i][4])
	}
	for i := range all {
		r := &router{w: w, name: fmt.Sprintf("edge-hall-pamp-%d", i+1), front: ports[i][0], ready: ports[i][1]}
		r.fields = map[string]any{
			"key_revocation": "5000ms", "departure": "2000ms", "event_delay": "120ms", "memory": "284MiB",
			"repeats":      map[string]any{"window": "10s", "allowance": 52, "ratio": 0.2},
			"cold_servers": map[string]any{"slack": 0},
			"stop":         map[string]any{"bound": "8s", "linger": "2700ms"},
			"seeds":        seeds,
			"listen": map[string]any{
				"callers": r.front, "health": r.ready, "ready_path": "/api/readyz", "metrics": ports[i][2], "peers": ports[i][3], "seeds": ports[i][4],
			},
			"platform": map[string]any{"url": "http://" + w.store.address()},
			"id":       r.name, "data_centre": "hall-pamp", "regions": map[string]any{"hall-pamp": "mu-north"},
		}
		r.settings = filepath.Join(w.dir, r.name+".json")
		if err := r.writeSettings(); err != nil {
			return nil, err
		}
		if err := r.launch(); err != nil {
			return nil, err
		}
		all[i] = r
	}
	return all, nil
}

// launch starts the process of the router.
func (r *router) launch() error {
	log, err := os.OpenFile(filepath.Join(r.w.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	program := os.Getenv("GOLDCRESTD")
	if program == "" {
		program = "target/goldcrestd"
	}
	cmd := exec.Command(program, "direct", "--settings", r.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if r.process, err = r.w.start(r.name, cmd); err != nil {
		return err
	}
	_ = log.Close()
	return nil
}

func (r *router) writeSettings() error {
	data, err := json.MarshalIndent(r.fields, "", "  ")
	if err != nil {
		return err
	}
	next := r.settings + ".new"
	if err := os.WriteFile(next, data, 0o644); err != nil {
		return err
	}
	return os.Rename(next, r.settings)
}

// awaitReady waits until all routers answer the platform's question with 200.
func (w *world) awaitReady(all []*router, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, r := range all {
		for !r.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("router %s is not ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.ready + "/api/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// outcome is what a client saw of one request.
type outcome struct {
	id          string
	status      int
	stamp       string
	retryAfter  string
	body        []byte
	err         error
	began, sent time.Time
	answered    time.Time
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("%s: no whole answer: %v", o.id, o.err)
	}
	return fmt.Sprintf("%s: %d stamp=%q body=%d", o.id, o.status, o.stamp, len(o.body))
}

// ids are those of requests.
var (
	idsMu  sync.Mutex
	lastID int
)

func newRequestID() string {
	idsMu.Lock()
	defer idsMu.Unlock()
	lastID++
	return fmt.Sprintf("%08x%08x", os.Getpid(), lastID)
}

// call sends one request on a connection of its own, unless a client is given, and records it.
func (w *world) call(c *http.Client, front, method, uri, key string, limit time.Duration, body io.Reader, header ...string) outcome {
	if c == nil {
		c = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	}
	o := outcome{id: newRequestID(), began: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+uri, body)
	if err != nil {
		o.err = err
		return o
	}
	req.Host = host
	req.Header.Set("Attempt-Id", o.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	if key != "" {
		req.Header.Set("Credential", key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	w.note("client sends %s %s %s", o.id, method, uri)
	resp, err := c.Do(req)
	if err == nil {
		o.status, o.stamp, o.retryAfter = resp.StatusCode, resp.Header.Get("Replica-Stamp"), resp.Header.Get("Retry-After")
		o.body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	o.err, o.answered = err, time.Now()
	detail := ""
	if o.status >= 400 && o.stamp == "" {
		detail = " " + strings.TrimSpace(string(o.body))
	}
	w.note("client gets %s%s", o, detail)
	return o
}

// host is the host of all routes.
const host = "ficu95.example"

// runs returns the runs that replicas reported, by the id of the request.
func (w *world) runs() map[string][]event {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string][]event{}
	for _, e := range w.events {
		if e.What == "runs" {
			out[e.ID] = append(out[e.ID], e)
		}
	}
	return out
}

// route returns one route of a configuration.
func route(name, prefix, kind, service string, timeout time.Duration, more ...any) map[string]any {
	out := map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": timeout.Milliseconds(), "sloMs": 500,
		"priority": 1, "service": service, "maxAttempts": 2, "public": false, "sticky": false, "resumable": false,
	}
	for i := 0; i+1 < len(more); i += 2 {
		out[more[i].(string)] = more[i+1]
	}
	return out
}

// config returns a configuration with the limits of the sheets.
func config(version int, services []string, routes []any, tenants any) map[string]any {
	var all []any
	for _, s := range services {
		all = append(all, map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false})
	}
	out := map[string]any{
		"version": version, "routes": routes, "services": all,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 340000},
	}
	if tenants != nil {
		out["tenants"] = tenants
	}
	return out
}

func tenant(name string, keys ...string) map[string]any {
	if keys == nil {
		keys = []string{}
	}
	return map[string]any{"name": name, "apiKeys": keys, "priority": 1}
}
