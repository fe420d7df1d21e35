package engine

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"goldcrestport/standin/internal/reply"
	"goldcrestport/standin/lag"
)

// BlockBytes is the length of a block of the prefix cache.
const BlockBytes = 256

const (
	keptEvents = 100000
	loseEvery  = 10
)

// BlockKeys returns the keys of a prompt's whole blocks. A key stands for the block and all before it: it is the
// first 16 bytes, in hexadecimal, of SHA-256 over the key before (nothing for the first) and the block.
func BlockKeys(prompt string) []string {
	keys, last := make([]string, 0, len(prompt)/BlockBytes), ""
	for ; len(prompt) >= BlockBytes; prompt = prompt[BlockBytes:] {
		sum := sha256.Sum256([]byte(last + prompt[:BlockBytes]))
		last = hex.EncodeToString(sum[:16])
		keys = append(keys, last)
	}
	return keys
}

// Event tells that a block was stored or evicted.
type Event struct {
	Seq   uint64 `json:"seq"`
	Block string `json:"block"`
	Kind  string `json:"kind"`
}

// cache is the prefix cache: the blocks least recently used go first.
type cache struct {
	mu        sync.Mutex
	limit     int
	order     *list.List // of keys, the latest used in front
	blocks    map[string]*list.Element
	seq       uint64
	late      *lag.Queue[Event]
	published []Event
}

func newCache(limit int, eventLag time.Duration) *cache {
	return &cache{limit: limit, order: list.New(), blocks: map[string]*list.Element{}, late: lag.NewQueue[Event](eventLag)}
}

// lookUp returns how many of the leading blocks are cached, and marks them as used.
func (c *cache) lookUp(keys []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(keys) && c.blocks[keys[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- { // the first block ends up in front: a prefix outlives what follows it
		c.order.MoveToFront(c.blocks[keys[i]])
	}
	return n
}

// store adds blocks and returns the size of the cache.
func (c *cache) store(keys []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := min(len(keys), c.limit) - 1; i >= 0; i-- {
		if found := c.blocks[keys[i]]; found != nil {
			c.order.MoveToFront(found)
			continue
		}
		c.blocks[keys[i]] = c.order.PushFront(keys[i])
		c.event(keys[i], "stored")
	}
	for c.order.Len() > c.limit {
		key := c.order.Remove(c.order.Back()).(string) // only strings are put in
		delete(c.blocks, key)
		c.event(key, "evicted")
	}
	return c.order.Len()
}

func (c *cache) event(block, kind string) {
	c.seq++
	if c.seq%loseEvery != 0 {
		c.late.Push(Event{c.seq, block, kind})
	}
	c.settle()
}

func (c *cache) settle() {
	c.published = append(c.published, c.late.Due()...)
	if len(c.published) > 2*keptEvents {
		c.published = append([]Event(nil), c.published[len(c.published)-keptEvents:]...)
	}
}

// ServeHTTP answers with the published events after a sequence number.
func (c *cache) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _, err := reply.Uint(r, "after")
	if err != nil {
		reply.Error(w, http.StatusBadRequest, "after must be a whole number")
		return
	}
	c.mu.Lock()
	c.settle()
	events, next := []Event{}, uint64(0)
	for _, e := range c.published {
		next = e.Seq
		if e.Seq > after {
			events = append(events, e)
		}
	}
	c.mu.Unlock()
	reply.JSON(w, http.StatusOK, map[string]any{"events": events, "next": next})
}
