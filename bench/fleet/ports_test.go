package fleet

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// release gives the blocks back.
func (p *portPool) release() {
	for _, lis := range p.reserved {
		_ = lis.Close()
	}
}

// Packages are tested in processes that run at the same time, each with fleets whose
// processes bind their ports some time after the choice, and again after a restart. A
// router found its port taken by another package's fleet and ended. Each pool here plays
// one process; both begin at the same block.
func TestPoolsShareNoPort(t *testing.T) {
	c := qt.New(t)
	first, second := portPool{next: 1}, portPool{next: 1}
	c.Cleanup(first.release)
	c.Cleanup(second.release)
	taken := map[string]bool{}
	for range 3 * portsPerBlock {
		for _, pool := range []*portPool{&first, &second} {
			address, err := pool.take()
			c.Assert(err, qt.IsNil)
			c.Assert(taken[address], qt.IsFalse, qt.Commentf("%s was handed out twice", address))
			taken[address] = true
		}
	}
}

// A long series of fleets takes more ports than there are.
func TestAPoolStartsOverWhenNoBlockIsLeft(t *testing.T) {
	c := qt.New(t)
	var pool portPool
	c.Cleanup(pool.release)
	_, err := pool.take()
	c.Assert(err, qt.IsNil)
	pool.tried = blocks
	for range 3 * portsPerBlock {
		_, err := pool.take()
		c.Assert(err, qt.IsNil)
	}
}

// A process that ended is told at once and with its last words, not at the end of the wait.
func TestWaitingEndsWithTheProcess(t *testing.T) {
	c := qt.New(t)
	f, err := New("", c.TempDir())
	c.Assert(err, qt.IsNil)
	p := &Process{Name: "short", Ops: "127.0.0.1:1", argv: []string{"/bin/sh", "-c", "echo listen: address already in use; exit 3"}}
	c.Assert(f.add(p), qt.IsNil)
	ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
	defer cancel()
	err = f.WaitReady(ctx, p)
	c.Assert(err, qt.ErrorMatches, `short ended before it was ready: exit status 3: listen: address already in use`)
}
