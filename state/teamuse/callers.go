package teamuse

import (
	"net/netip"
	"sync"
)

// Callers tells the team of a caller's address, from what was read of it last. It is
// bounded: addresses that were not seen for the longest are forgotten. It is safe for
// concurrent use.
type Callers struct {
	mu   sync.Mutex
	most int
	// now and before are the addresses seen in two spans of the memory.
	now, before map[netip.Addr]string
}

// NewCallers returns a memory of at most that many addresses.
func NewCallers(most int) *Callers {
	return &Callers{most: most, now: make(map[netip.Addr]string)}
}

// Seen notes the team of an address.
func (c *Callers) Seen(from netip.Addr, team string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(from, team)
}

// note keeps the address in the newest span. The caller holds mu.
func (c *Callers) note(from netip.Addr, team string) {
	if _, known := c.now[from]; !known && len(c.now) >= c.most/2 {
		c.before, c.now = c.now, make(map[netip.Addr]string)
	}
	c.now[from] = team
}

// Team returns the team whose key the address used last, or Unknown.
func (c *Callers) Team(from netip.Addr) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if team, known := c.now[from]; known {
		return team
	}
	team, known := c.before[from]
	if known {
		c.note(from, team)
	}
	return team
}
