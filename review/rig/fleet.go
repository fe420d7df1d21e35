package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var takenPorts = map[int]bool{}

// freeAddr returns a free loopback address outside the range from which the kernel takes ports for
// outgoing connections.
func freeAddr() string {
	for range 1000 {
		port := 12000 + rand.Intn(18000)
		if takenPorts[port] {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		lis, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = lis.Close()
		udp, err := net.ListenPacket("udp", addr)
		if err != nil {
			continue
		}
		_ = udp.Close()
		takenPorts[port] = true
		return addr
	}
	fail2("no free port")
	return ""
}

// router is one process of the product, run as in the deploy file.
type router struct {
	id, zone            string
	front, ready, peers string
	control, metrics    string
	settings, log       string
	memoryMb            int
	mu                  sync.Mutex
	cmd                 *exec.Cmd
	exited              chan struct{}
	started             int
	stopping            bool
}

// bounds are those of the users' small installation lanna-glyph.
const settingsText = `{
  "key_revocation": "5000ms", "departure": "2000ms", "event_delay": "120ms", "memory": "%dMiB",
  "repeats": {"window": "10s", "allowance": 58, "ratio": 0.2},
  "cold_servers": {"slack": 0},
  "stop": {"bound": "8s", "linger": "2700ms"},
  "seeds": [%s],
  "listen": {"callers": %q, "health": %q, "ready_path": "/api/readyz", "metrics": %q, "peers": %q, "seeds": %q},
  "platform": {"url": "http://%s"},
  "id": %q, "data_centre": %q, "regions": {"nimman": "lanna-north", "suthep": "lanna-north", "hangdong": "lanna-north", "maerim": "lanna-north"}
}`

// newRouters returns routers of the small installation, not started yet.
func newRouters(dir, storeAddr string, n, memoryMb int) []*router {
	return newRoutersAt(dir, func(int) string { return storeAddr }, n, memoryMb)
}

// newRoutersAt is newRouters with an address of the store for each router.
func newRoutersAt(dir string, storeAddr func(i int) string, n, memoryMb int) []*router {
	zones := []string{"nimman", "suthep", "hangdong", "maerim"}
	var out []*router
	var seeds []string
	for i := range n {
		r := &router{id: fmt.Sprintf("edge-%s-%d", zones[i%4], 1+i/4), zone: zones[i%4], front: freeAddr(), ready: freeAddr(), peers: freeAddr(), control: freeAddr(), metrics: freeAddr(), memoryMb: memoryMb}
		out = append(out, r)
		if i < 3 {
			seeds = append(seeds, strconv.Quote(r.control))
		}
	}
	for i, r := range out {
		r.settings = filepath.Join(dir, r.id+".json")
		r.log = filepath.Join(dir, r.id+".log")
		text := fmt.Sprintf(settingsText, memoryMb, strings.Join(seeds, ","), r.front, r.ready, r.metrics, r.peers, r.control, storeAddr(i), r.id, r.zone)
		if err := os.WriteFile(r.settings, []byte(text), 0o644); err != nil {
			fail2("settings: %v", err)
		}
	}
	return out
}

// start starts the router's process.
func (r *router) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	lf, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fail2("log: %v", err)
	}
	c := exec.Command(filepath.Join(repo, "target", "goldcrestd"), "direct", "--settings", r.settings)
	c.Dir = repo
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = lf, lf
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		fail2("start %s: %v", r.id, err)
	}
	_ = lf.Close()
	r.cmd, r.exited, r.started = c, make(chan struct{}), r.started+1
	exited := r.exited
	go func() { _ = c.Wait(); close(exited) }()
}

func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (r *router) kill() {
	r.mu.Lock()
	c, exited := r.cmd, r.exited
	r.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGCONT)
	_ = c.Process.Kill()
	<-exited
}

func (r *router) hasExited() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// privateMb returns the resident memory in MB that is the process's own, without the pages of files.
func (r *router) privateMb() float64 {
	r.mu.Lock()
	pid := r.cmd.Process.Pid
	r.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			return kb / 1024
		}
	}
	return 0
}

func (r *router) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + r.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// waitReady waits until all routers are ready.
func waitReady(all []*router) {
	end := time.Now().Add(15 * time.Second)
	for _, r := range all {
		for !r.isReady() {
			if time.Now().After(end) {
				text, _ := os.ReadFile(r.log)
				fail2("%s is not ready: %s", r.id, text[max(0, len(text)-400):])
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
