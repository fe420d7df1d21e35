package claims

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Table contains the records of one shard. It is immutable once it has been
// encoded or shared; With returns a modified copy.
type Table struct {
	Records map[Key]Record `json:"r"`
	// Sealed lists the segments that contain the older records of the shard.
	Sealed []Segment `json:"g,omitempty"`
}

// Segment refers to a separately stored value with records of ended attempts.
// The value is written once, before the shard's value refers to it, and is never
// modified.
type Segment struct {
	// ID is unique within the shard.
	ID string `json:"i"`
	// Last is the claim time of its newest key, in Unix seconds.
	Last int64 `json:"l"`
}

// Expired reports whether every record of the segment may be deleted.
func (g Segment) Expired(now time.Time, expiry time.Duration) bool {
	return Record{At: g.Last}.Expired(now, expiry)
}

// Ended returns a table of the records whose attempts have ended, which are
// final, and the claim time of the newest one.
func (t *Table) Ended() (*Table, int64) {
	out, last := &Table{Records: map[Key]Record{}}, int64(0)
	for k, r := range t.Records {
		if r.State != Claimed {
			out.Records[k] = r
			last = max(last, r.At)
		}
	}
	return out, last
}

// Seal returns the table without the records that were written to the segment g,
// and with a reference to g. Keys that changed in the meantime are retained.
func (t *Table) Seal(g Segment, sealed *Table, changed map[Key]*Record) *Table {
	next := &Table{Records: map[Key]Record{}, Sealed: append(slices.Clone(t.Sealed), g)}
	for k, r := range t.Records {
		_, moved := sealed.Records[k]
		if _, kept := changed[k]; !moved || kept {
			next.Records[k] = r
		}
	}
	return next
}

// With returns a copy of the table with the changes applied and expired records
// removed. A nil change deletes the record of its key.
func (t *Table) With(changes map[Key]*Record, now time.Time, expiry time.Duration) *Table {
	next := maps.Clone(t.Records)
	if next == nil {
		next = map[Key]Record{}
	}
	maps.DeleteFunc(next, func(_ Key, r Record) bool { return r.Expired(now, expiry) })
	for k, r := range changes {
		if r == nil {
			delete(next, k)
			continue
		}
		next[k] = *r
	}
	sealed := slices.DeleteFunc(slices.Clone(t.Sealed), func(g Segment) bool { return g.Expired(now, expiry) })
	return &Table{Records: next, Sealed: sealed}
}

// Encode returns the table in its storage format.
func (t *Table) Encode() ([]byte, error) {
	data, err := json.Marshal(t)
	return data, errors.Wrap(err, "encode claims")
}

// Decode parses the storage format. An empty value yields an empty table.
func Decode(data []byte) (*Table, error) {
	t := &Table{}
	if len(data) == 0 {
		return t, nil
	}
	if err := json.Unmarshal(data, t); err != nil {
		return nil, errors.Wrap(err, "decode claims")
	}
	return t, nil
}
