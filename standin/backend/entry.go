package backend

import "encoding/json"

// Entry is what a backend server writes about itself under its key in the
// store.
type Entry struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	// ColdLeftMs is how much longer the server is slow after its start.
	ColdLeftMs float64 `json:"coldLeftMs"`
	Seq        int     `json:"seq"`
	// Born is the Unix millisecond of the process's start; 0: an older server,
	// which does not say it.
	Born int64 `json:"born,omitempty"`
}

// States of an entry.
const (
	Ready    = "ready"
	Draining = "draining"
)

// Key returns the key of the server's entry.
func Key(id string) string { return "servers/" + id }

// Bytes returns the entry as it is written.
func (e Entry) Bytes() []byte {
	// A struct of texts and numbers has no value that cannot be written.
	data, _ := json.Marshal(e)
	return data
}
