package roster

import (
	"strconv"
	"time"
)

// Incarnation distinguishes one process of a backend server from others under the same id:
// it is the Unix time of the process's start in milliseconds. The greater one is the later;
// 0: the server does not report it.
type Incarnation int64

// Version names the version of a server's software, not that of its weights. What servers of
// two versions generate does not fit together. Empty: not known.
type Version string

// Server is what a backend server says about itself in the store.
type Server struct {
	// ID names the server. A restarted server may keep its id.
	ID string
	// Incarnation of the process behind the id, which has no state of an earlier one.
	Incarnation Incarnation
	// Version of the software that the process runs.
	Version Version
	// Address is IP:port. Another server may use it later.
	Address    string
	Service    string
	DataCentre string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Draining is true if the server takes no new requests and will shut down.
	Draining bool
	// ColdFor is for how much longer the server can handle only few requests, counted from
	// the entry's write.
	ColdFor time.Duration
	// Revision of the store at which the entry was written.
	Revision uint64
}

// Identity names this incarnation of the server, also if it is the only one under its id.
func (s Server) Identity() string { return Identity(s.ID, s.Incarnation) }

// Identity names one incarnation of a server. Servers that do not report theirs are named
// by their ids alone.
func Identity(id string, incarnation Incarnation) string {
	if incarnation == 0 {
		return id
	}
	return id + "@" + strconv.FormatInt(int64(incarnation), 10)
}
