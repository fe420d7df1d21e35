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

// BlockBytes is the size of a prefix cache block, in bytes of the prompt.
const BlockBytes = 256

const (
	keptEvents = 100000
	dropEvery  = 10
)

// BlockKeys returns the keys of a prompt's complete blocks. A key identifies a block and all blocks before it: it is the
// first 16 bytes, in hexadecimal, of the SHA-256 of the previous key (empty for the first block) and the block.
func BlockKeys(prompt string) []string {
	keys, last := make([]string, 0, len(prompt)/BlockBytes), ""
	for ; len(prompt) >= BlockBytes; prompt = prompt[BlockBytes:] {
		sum := sha256.Sum256([]byte(last + prompt[:BlockBytes]))
		last = hex.EncodeToString(sum[:16])
		keys = append(keys, last)
	}
	return keys
}

// Event reports that a block was stored or evicted.
type Event struct {
	Seq   uint64 `json:"seq"`
	Block string `json:"block"`
	Kind  string `json:"kind"`
}

// cache is the prefix cache, with least-recently-used eviction.
type cache struct {
	mu        sync.Mutex
	limit     int
	order     *list.List // of keys, most recently used first
	blocks    map[string]*list.Element
	seq       uint64
	delayed   *lag.Queue[Event]
	published []Event
}

func newCache(limit int, eventLag time.Duration) *cache {
	return &cache{limit: limit, order: list.New(), blocks: map[string]*list.Element{}, delayed: lag.NewQueue[Event](eventLag)}
}

// lookUp returns the number of leading blocks that are cached, and marks them as used.
func (c *cache) lookUp(keys []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(keys) && c.blocks[keys[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- { // the first block ends up in front: a prefix is evicted after the blocks that follow it
		c.order.MoveToFront(c.blocks[keys[i]])
	}
	return n
}

// store adds blocks and returns the number of blocks in the cache.
func (c *cache) store(keys []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := min(len(keys), c.limit) - 1; i >= 0; i-- {
		if found := c.blocks[keys[i]]; found != nil {
			c.order.MoveToFront(found)
			continue
		}
		c.blocks[keys[i]] = c.order.PushFront(keys[i])
		c.recordEvent(keys[i], "stored")
	}
	for c.order.Len() > c.limit {
		key := c.order.Remove(c.order.Back()).(string) // the list holds only strings
		delete(c.blocks, key)
		c.recordEvent(key, "evicted")
	}
	return c.order.Len()
}

func (c *cache) recordEvent(block, kind string) {
	c.seq++
	if c.seq%dropEvery != 0 {
		c.delayed.Push(Event{c.seq, block, kind})
	}
	c.publishDue()
}

func (c *cache) publishDue() {
	c.published = append(c.published, c.delayed.Due()...)
	if len(c.published) > 2*keptEvents {
		c.published = append([]Event(nil), c.published[len(c.published)-keptEvents:]...)
	}
}

// ServeHTTP responds with the published events after a sequence number.
func (c *cache) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _, err := reply.Uint(r, "after")
	if err != nil {
		reply.Error(w, http.StatusBadRequest, "after must be a whole number")
		return
	}
	c.mu.Lock()
	c.publishDue()
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
