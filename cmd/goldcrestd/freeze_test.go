package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/settings"
	"goldcrestport/protocol/wire"
	"goldcrestport/transport/link"
)

const testLease = 4 * time.Second

// processes builds and starts the binaries.
type processes struct {
	t   *testing.T
	dir string
}

func newProcesses(t *testing.T) *processes {
	p := &processes{t: t, dir: t.TempDir()}
	for _, pkg := range []string{"goldcrestport/cmd/goldcrestd", "goldcrestport/standin/cmd/standin"} {
		out, err := exec.Command("go", "build", "-o", p.dir+"/", pkg).CombinedOutput()
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	}
	return p
}

func (p *processes) start(name string, args ...string) *os.Process {
	cmd := exec.Command(filepath.Join(p.dir, name), args...)
	qt.Assert(p.t, cmd.Start(), qt.IsNil)
	p.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process
}

// address returns an address on a loopback IP of its own.
func (p *processes) address(host int) string {
	lis, err := net.Listen("tcp", fmt.Sprintf("127.10.%d.%d:0", os.Getpid()%250, host))
	qt.Assert(p.t, err, qt.IsNil)
	defer lis.Close()
	return lis.Addr().String()
}

// waitOK waits until the URL answers with success.
func (p *processes) waitOK(url string) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get(url)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	p.t.Fatalf("no success from %s", url)
}

// sidecar starts a sidecar for the one slot of the test and returns its
// process and addresses.
func (p *processes) sidecar(host int, platform, backend string) (*os.Process, settings.SidecarListen) {
	set := settings.DefaultSidecar()
	set.ID, set.Service, set.DataCentre = "sidecar-1", "ledger-app", "hall-pamp"
	set.Listen = settings.SidecarListen{Peers: p.address(host), Operators: p.address(host + 1)}
	set.Platform.URL, set.Backend.URL = platform, backend
	set.Backend.LeaseTTL = settings.Duration(testLease)
	data, err := json.Marshal(set)
	qt.Assert(p.t, err, qt.IsNil)
	file := filepath.Join(p.dir, fmt.Sprint("sidecar-", host, ".json"))
	qt.Assert(p.t, os.WriteFile(file, data, 0o600), qt.IsNil)
	return p.start("goldcrestd", "sidecar", "--settings", file), set.Listen
}

// start sends one attempt and returns what comes first.
func start(t *testing.T, pool *link.Pool, addr, request, incarnation string) *wire.RunDown {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	s, err := pool.Sidecar(ctx, addr).Run(ctx)
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	qt.Assert(t, s.Send(&wire.RunUp{Kind: &wire.RunUp_Start{Start: &wire.RunStart{
		Attempt: &wire.Attempt{RequestId: request, Number: 1, Incarnation: incarnation},
		Service: "ledger-app", Team: "legacy", Router: "router-1", Method: "POST", Path: "/pledges",
	}}}), qt.IsNil)
	down, err := s.Recv()
	qt.Assert(t, err, qt.IsNil)
	return down
}

// A sidecar that was frozen for longer than its lease, and whose slot another
// one took meanwhile, does not run what reached it while it was frozen.
func TestFrozenSidecarDoesNothingOnOldKnowledge(t *testing.T) {
	c := qt.New(t)
	var runs atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer backend.Close()
	p := newProcesses(t)
	at := p.address(1)
	p.start("standin", "platform", "--listen", at)
	platform := "http://" + at
	p.waitOK(platform + "/admin/counters")
	doc := `{"revision":1,"teams":{},"services":{"ledger-app":{"kind":"plain"}}}`
	req, err := http.NewRequest(http.MethodPut, platform+"/v1/kv/goldcrest/config?version=0", strings.NewReader(doc))
	c.Assert(err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	resp.Body.Close()

	first, listen := p.sidecar(2, platform, backend.URL)
	p.waitOK("http://" + listen.Operators + "/readyz")
	pool := link.NewPool(8, 8, time.Minute)
	defer pool.Close()
	head := start(t, pool, listen.Peers, "r1", "").GetHead()
	c.Assert(head, qt.IsNotNil)
	c.Assert(start(t, pool, listen.Peers, "r1b", "of another sidecar").GetDeclined(), qt.IsNotNil)
	c.Assert(runs.Load(), qt.Equals, int64(1))

	c.Assert(first.Signal(syscall.SIGSTOP), qt.IsNil)
	answer := make(chan *wire.RunDown, 1)
	go func() { answer <- start(t, pool, listen.Peers, "r2", head.Incarnation) }()
	_, other := p.sidecar(4, platform, backend.URL)
	p.waitOK("http://" + other.Operators + "/readyz")
	c.Assert(start(t, pool, other.Peers, "r3", "").GetHead(), qt.IsNotNil)
	c.Assert(first.Signal(syscall.SIGCONT), qt.IsNil)

	c.Assert((<-answer).GetDeclined(), qt.IsNotNil)
	c.Assert(start(t, pool, listen.Peers, "r4", head.Incarnation).GetDeclined(), qt.IsNotNil)
	time.Sleep(time.Second)
	c.Assert(start(t, pool, listen.Peers, "r5", "").GetDeclined(), qt.IsNotNil)
	c.Assert(start(t, pool, other.Peers, "r6", "").GetHead(), qt.IsNotNil)
	c.Assert(runs.Load(), qt.Equals, int64(3))
}
