package backend

import "encoding/json"

// Entry is the record that a backend server writes under its own key in the
// store.
type Entry struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	// ColdLeftMs is the remaining time for which the server is slow after its start.
	ColdLeftMs float64 `json:"coldLeftMs"`
	Seq        int     `json:"seq"`
	// Born is the start time of the process in Unix milliseconds; 0 for an older
	// server, which does not report it.
	Born int64 `json:"born,omitempty"`
}

// States of an entry.
const (
	Ready    = "ready"
	Draining = "draining"
)

// Key returns the key of the server's entry in the store.
func Key(id string) string { return "servers/" + id }

// Bytes returns the entry as encoded in the store.
func (e Entry) Bytes() []byte {
	// Encoding cannot fail: the entry holds only strings and finite numbers.
	data, _ := json.Marshal(e)
	return data
}
