package settings

import "time"

// Claims configures how non-idempotent requests with a caller's idempotency key
// are run at most once. Every router must have the same values.
type Claims struct {
	// Expiry is how long a key is stored. The platform must keep leases 30
	// minutes longer. Default 23h.
	Expiry Duration `json:"expiry"`
	// Wait is the longest time from a request to its claim. Default 500ms.
	Wait Duration `json:"wait"`
	// Gap is the minimum time between two writes of one of the 16 shards.
	// Default 100ms: 160 writes a second at most.
	Gap Duration `json:"gap"`
	// FinishDelay is how long a result waits to be written in a batch with others.
	// Default 1s.
	FinishDelay Duration `json:"finish_delay"`
	// MaxAnswer is the largest answer that is stored with its key. Default 4 KiB.
	MaxAnswer Size `json:"max_answer"`
}

// minExpiryDeadlines is the number of request deadlines that a key must outlive,
// so that no attempt can be dispatched after its key has expired.
const minExpiryDeadlines = 2

func defaultClaims() Claims {
	return Claims{
		Expiry:      Duration(23 * time.Hour),
		Wait:        Duration(500 * time.Millisecond),
		Gap:         Duration(100 * time.Millisecond),
		FinishDelay: Duration(time.Second),
		MaxAnswer:   4 * KiB,
	}
}

// longestDeadline is the schema's maximum of limits.deadline; a longer one is
// reported by the schema check.
const longestDeadline = Duration(24 * time.Hour)

// checkConflicts reports values that conflict with the longest deadline.
func (c Claims) checkConflicts(p *Problems, deadline Duration) {
	if deadline <= longestDeadline && c.Expiry < minExpiryDeadlines*deadline {
		p.add("claims.expiry", "%s is below twice limits.deadline, %s", c.Expiry.D(), deadline.D())
	}
}
