package engine

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"goldcrestport/standin/faults"
	"goldcrestport/standin/runs"
)

// generation is one response and its progress. Its output can be read from any offset.
type generation struct {
	id      string
	request *request
	ctx     context.Context
	cancel  context.CancelFunc

	mu     sync.Mutex
	output []byte
	ended  bool
	done   bool          // ended with the complete response
	more   chan struct{} // closed and replaced when output grows, closed at the end
}

func newGeneration(id string, q *request) *generation {
	ctx, cancel := context.WithCancel(context.Background())
	return &generation{id: id, request: q, ctx: ctx, cancel: cancel, more: make(chan struct{})}
}

func (g *generation) appendOutput(body []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.output = append(g.output, body...)
	close(g.more)
	g.more = make(chan struct{})
}

func (g *generation) end() {
	g.cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	close(g.more)
}

func (g *generation) markComplete() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.done = true
}

func (g *generation) isComplete() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.done
}

// outputFrom returns the output from an offset on, whether it has ended, and a channel that is closed when there is more.
func (g *generation) outputFrom(offset int64) ([]byte, bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.output[min(offset, int64(len(g.output))):], g.ended, g.more
}

// waitUntil waits until a time. It returns false if the generation is cancelled first.
func (g *generation) waitUntil(until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return g.ctx.Err() == nil
	case <-g.ctx.Done():
		return false
	}
}

// generate waits for a slot and produces the response.
func (s *Server) generate(g *generation, r *http.Request) {
	defer s.streams.removeLater(g)
	defer g.end()
	if s.pool.Acquire(g.ctx) != nil {
		return // cancelled while queued: nothing ran
	}
	defer s.pool.Release()
	run := s.log.Start(r)
	if s.produce(g, run, s.faults.Get()) {
		run.End(runs.Done)
		g.markComplete()
	} else {
		run.End(runs.Cancelled)
	}
}

// produce generates the response. It returns false if the generation is cancelled.
func (s *Server) produce(g *generation, run *runs.Handle, fault faults.Backend) bool {
	q := g.request
	cachedBlocks := s.cache.lookUp(q.blocks)
	cached := min(cachedBlocks*BlockBytes/4, q.promptTokens)
	uncached := q.promptTokens - cached
	at := time.Now().Add(time.Duration(fault.StallMS) * time.Millisecond)
	at = at.Add(time.Duration(float64(uncached) / s.config.PrefillRate * float64(time.Second)))
	if !g.waitUntil(at) {
		return false
	}
	run.AddPrompt(int64(uncached))
	s.pool.SetBlocks(s.cache.store(q.blocks))
	emit := func(body []byte) {
		_, _ = run.Write(body)
		g.appendOutput(body)
	}
	var content strings.Builder
	for i := range q.tokens {
		at = at.Add(s.stepTime())
		if !g.waitUntil(at) {
			return false
		}
		run.AddTokens(1)
		if token := q.token(i); q.Stream {
			emit(q.chunk(message{Content: token}, nil, nil))
		} else {
			content.WriteString(token)
		}
	}
	if finish := q.finishReason(); q.Stream {
		emit(append(q.chunk(message{}, &finish, q.usage(cached)), "data: [DONE]\n\n"...))
	} else {
		emit(q.completion(content.String(), q.usage(cached)))
	}
	return true
}

func (s *Server) stepTime() time.Duration {
	return time.Duration(float64(s.config.Step) * (1 + s.config.BatchSlowdown*float64(s.pool.Running())))
}
