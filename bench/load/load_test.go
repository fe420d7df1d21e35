package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestTeams(t *testing.T) {
	c := qt.New(t)
	teams := Teams(1)
	c.Assert(teams, qt.HasLen, 16)
	for _, team := range teams {
		c.Assert(team.Routers, qt.HasLen, Routers)
		c.Assert(len(placement(team.Callers, team.Routers)), qt.Equals, team.Callers)
	}
	c.Assert(placement(10, []float64{0.7, 0.1, 0.2}), qt.DeepEquals, []int{0, 0, 0, 0, 0, 0, 0, 1, 2, 2})
}

func TestSameSeedSameRequests(t *testing.T) {
	c := qt.New(t)
	team := Teams(1)[0]
	a, b, other := newWriter(team, 1, 7, 1), newWriter(team, 1, 7, 1), newWriter(team, 1, 8, 1)
	for range 20 {
		x, err := a.next(2)
		c.Assert(err, qt.IsNil)
		y, err := b.next(2)
		c.Assert(err, qt.IsNil)
		z, err := other.next(2)
		c.Assert(err, qt.IsNil)
		c.Assert(string(x), qt.Equals, string(y))
		c.Assert(string(x), qt.Not(qt.Equals), string(z))
	}
}

func TestEndings(t *testing.T) {
	c := qt.New(t)
	var n atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch n.Add(1) {
		case 1:
			_, _ = w.Write([]byte("data: x\n\n" + streamEnd))
		case 2:
			_, _ = w.Write([]byte("data: x\n\n"))
		case 3:
			w.Header().Set("Goldcrest-Outcome", "not-run")
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(http.StatusTooManyRequests)
		default:
			w.WriteHeader(http.StatusBadGateway)
		}
	}))
	defer srv.Close()
	team := Teams(1)[0]
	record := NewRecorder([]Team{team})
	d := NewDriver(Config{Scale: 1}, record)
	addr := strings.TrimPrefix(srv.URL, "http://")
	from := time.Now()
	for _, want := range []struct {
		ending Ending
		after  time.Duration
	}{{Completed, 0}, {Broken, leastRetry}, {Refused, 3 * time.Second}, {Failed, leastRetry}} {
		r, after := d.call(context.Background(), team, addr, []byte("{}"))
		c.Assert(r.Ending, qt.Equals, want.ending)
		c.Assert(after, qt.Equals, want.after)
	}
	c.Assert(record.Results(from, time.Now().Add(time.Second)), qt.HasLen, 4)
	c.Assert(record.Outstanding(team.Name), qt.Equals, 0)
}

func TestClosedLoopRetriesAndPauses(t *testing.T) {
	c := qt.New(t)
	var n atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		n.Add(1)
		_, _ = w.Write([]byte(streamEnd))
	}))
	defer srv.Close()
	team := Team{Name: "a", Kind: Backlogged, Callers: 2, Routers: []float64{1, 0}}
	record := NewRecorder([]Team{team})
	// The first router is not there: callers turn to the second one.
	routers := []string{"127.0.0.1:1", strings.TrimPrefix(srv.URL, "http://")}
	d := NewDriver(Config{Teams: []Team{team}, Routers: routers, Scale: 1}, record)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		d.Run(ctx)
		close(done)
	}()
	for n.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	d.Pause()
	time.Sleep(4 * pauseCheck)
	before := n.Load()
	time.Sleep(4 * pauseCheck)
	c.Assert(n.Load()-before <= int64(team.Callers), qt.IsTrue)
	cancel()
	<-done
}
