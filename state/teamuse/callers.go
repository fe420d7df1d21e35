package teamuse

// Callers tells the team of a caller's address, from what was read of it last. It is
// bounded: addresses that were not seen for the longest are forgotten. It must be used by
// one goroutine at a time.
type Callers[Address comparable] struct {
	most int
	// now and before are the addresses seen in two spans of the memory.
	now, before map[Address]string
}

// NewCallers returns a memory of at most that many addresses.
func NewCallers[Address comparable](most int) *Callers[Address] {
	return &Callers[Address]{most: most, now: make(map[Address]string)}
}

// Seen notes the team of an address.
func (c *Callers[Address]) Seen(from Address, team string) {
	if _, known := c.now[from]; !known && len(c.now) >= c.most/2 {
		c.before, c.now = c.now, make(map[Address]string)
	}
	c.now[from] = team
}

// Team returns the team whose key the address used last, or Unknown.
func (c *Callers[Address]) Team(from Address) string {
	if team, known := c.now[from]; known {
		return team
	}
	team, known := c.before[from]
	if known {
		c.Seen(from, team)
	}
	return team
}
