package engine

import (
	"fmt"
	"sync"
	"time"
)

// streamRetention is how long a generation's output remains readable after its end.
const streamRetention = 30 * time.Second

// streams indexes generations by ID.
type streams struct {
	mu         sync.Mutex
	startTime  int64 // start time in Unix nanoseconds; keeps IDs unique across restarts
	lastNumber int64
	byID       map[string]*generation
}

func newStreams() *streams {
	return &streams{startTime: time.Now().UnixNano(), byID: map[string]*generation{}}
}

func (t *streams) add(q *request) *generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNumber++
	g := newGeneration(fmt.Sprintf("stream-%x-%d", t.startTime, t.lastNumber), q)
	t.byID[g.id] = g
	return g
}

func (t *streams) find(id string) *generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

func (t *streams) removeLater(g *generation) {
	time.AfterFunc(streamRetention, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.byID, g.id)
	})
}
