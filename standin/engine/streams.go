package engine

import (
	"fmt"
	"sync"
	"time"
)

// keepStreams is how long a generation's output can be read after its end.
const keepStreams = 30 * time.Second

// streams finds generations by their id.
type streams struct {
	mu   sync.Mutex
	born int64 // keeps ids apart from those before a restart
	last int64
	byID map[string]*generation
}

func newStreams() *streams {
	return &streams{born: time.Now().UnixNano(), byID: map[string]*generation{}}
}

func (t *streams) add(q *request) *generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	g := newGeneration(fmt.Sprintf("stream-%x-%d", t.born, t.last), q)
	t.byID[g.id] = g
	return g
}

func (t *streams) find(id string) *generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

func (t *streams) keepAWhile(g *generation) {
	time.AfterFunc(keepStreams, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.byID, g.id)
	})
}
