package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/wire"
	"goldcrestport/transport/link"
)

// startAttempt sends one attempt and returns the first message of the response.
func startAttempt(t *testing.T, pool *link.Pool, addr, request, incarnation string) *wire.RunDown {
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

// freezeProcess stops the process with SIGSTOP and waits until all its threads have stopped.
func freezeProcess(c *qt.C, p *os.Process) {
	c.Assert(p.Signal(syscall.SIGSTOP), qt.IsNil)
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.Pid))
	c.Assert(err, qt.IsNil)
	for _, stat := range threads {
		for stopped := false; !stopped; time.Sleep(time.Millisecond) {
			data, err := os.ReadFile(stat)
			stopped = err != nil || strings.Contains(string(data), ") T ")
		}
	}
}

// Guards against a sidecar that acts on outdated state: it is frozen for longer than its
// lease and another sidecar takes over its slot. When it continues, it must not run the
// requests that reached it while it was frozen.
func TestFrozenSidecarDeclinesAfterLeaseExpiry(t *testing.T) {
	c := qt.New(t)
	var runs atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer backend.Close()
	p := newProcesses(t)
	platform := p.platform(1, `{"revision":1,"teams":{},"services":{"ledger-app":{"kind":"plain"}}}`)
	first, listen := p.sidecar("sidecar-1", 2, platform, backend.URL)
	p.waitOK("http://" + listen.Operators + "/readyz")
	pool := link.NewPool(8, 8, time.Minute)
	defer pool.Close()
	head := startAttempt(t, pool, listen.Peers, "r1", "").GetHead()
	c.Assert(head, qt.IsNotNil)
	c.Assert(startAttempt(t, pool, listen.Peers, "r1b", "of another sidecar").GetDeclined(), qt.IsNotNil)
	c.Assert(runs.Load(), qt.Equals, int64(1))

	freezeProcess(c, first)
	answer := make(chan *wire.RunDown, 1)
	go func() { answer <- startAttempt(t, pool, listen.Peers, "r2", head.Incarnation) }()
	_, other := p.sidecar("sidecar-1", 4, platform, backend.URL)
	p.waitOK("http://" + other.Operators + "/readyz")
	c.Assert(startAttempt(t, pool, other.Peers, "r3", "").GetHead(), qt.IsNotNil)
	c.Assert(first.Signal(syscall.SIGCONT), qt.IsNil)

	got := <-answer
	c.Assert(got.GetDeclined(), qt.IsNotNil, qt.Commentf("%v", got))
	c.Assert(startAttempt(t, pool, listen.Peers, "r4", head.Incarnation).GetDeclined(), qt.IsNotNil)
	time.Sleep(time.Second)
	c.Assert(startAttempt(t, pool, listen.Peers, "r5", "").GetDeclined(), qt.IsNotNil)
	c.Assert(startAttempt(t, pool, other.Peers, "r6", "").GetHead(), qt.IsNotNil)
	c.Assert(runs.Load(), qt.Equals, int64(3))
}
