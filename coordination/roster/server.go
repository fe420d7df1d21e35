package roster

import (
	"strconv"
	"time"
)

// Incarnation tells one run of a backend server's process from others under the
// same id: the Unix millisecond of its start. The greater one is the later; 0 is
// one that does not say.
type Incarnation int64

// Server is what a backend server says of itself in the store.
type Server struct {
	// ID names the server. One that starts again may have the id that it had.
	ID string
	// Incarnation of the process behind the id, which knows nothing of an
	// earlier one.
	Incarnation Incarnation
	// Address is IP:port. It may be used again by another server.
	Address    string
	Service    string
	DataCentre string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining tells that it takes no new work and will end.
	Draining bool
	// ColdFor is for how much longer it bears few requests, as of its entry.
	ColdFor time.Duration
	// Revision of the store at which the entry was written.
	Revision uint64
}

// Identity names one incarnation of the server, also where it is the only one
// under its id.
func (s Server) Identity() string { return Identity(s.ID, s.Incarnation) }

// Identity names one incarnation of a server. Servers that do not say theirs are
// named by their ids alone.
func Identity(id string, incarnation Incarnation) string {
	if incarnation == 0 {
		return id
	}
	return id + "@" + strconv.FormatInt(int64(incarnation), 10)
}
