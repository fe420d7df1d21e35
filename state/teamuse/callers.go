package teamuse

// Callers maps a caller's address to the team that was last authenticated from it. It is
// bounded and evicts the least recently seen addresses. It is not safe for concurrent use.
type Callers[Address comparable] struct {
	capacity int
	// current and previous are the current and the previous generation of addresses.
	current, previous map[Address]string
}

// NewCallers returns an empty map of at most the given number of addresses.
func NewCallers[Address comparable](capacity int) *Callers[Address] {
	return &Callers[Address]{capacity: capacity, current: make(map[Address]string)}
}

// Seen records the team of an address. When the current generation is full, it
// replaces the previous one.
func (c *Callers[Address]) Seen(from Address, team string) {
	if _, known := c.current[from]; !known && len(c.current) >= c.capacity/2 {
		c.previous, c.current = c.current, make(map[Address]string)
	}
	c.current[from] = team
}

// Team returns the team whose key was last used from the address, or Unknown.
func (c *Callers[Address]) Team(from Address) string {
	if team, known := c.current[from]; known {
		return team
	}
	team, known := c.previous[from]
	if known {
		c.Seen(from, team)
	}
	return team
}
