package claims

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Table holds the records of one shard. A Table that was encoded or handed
// out is not changed any more; With makes the next one.
type Table struct {
	Records map[Key]Record `json:"r"`
	// Sealed lists the segments that hold the older records of the shard.
	Sealed []Segment `json:"g,omitempty"`
}

// Segment is a value of its own with records that have ended. It is written
// once, before the shard's value names it, and never changed.
type Segment struct {
	// ID is unique within the shard.
	ID string `json:"i"`
	// Last is when the newest of its keys was claimed, in Unix seconds.
	Last int64 `json:"l"`
}

// Expired reports whether every record of the segment may be dropped.
func (g Segment) Expired(now time.Time, expiry time.Duration) bool {
	return Record{At: g.Last}.Expired(now, expiry)
}

// Ended returns a table of the records that have ended and so cannot change
// any more, and the claim time of the newest.
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

// Seal returns the table without the records of a segment that was written,
// and with its name. Keys that were changed since stay.
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

// With returns the table with the changes applied and expired records
// dropped. A nil change deletes its record.
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

// Encode returns the stored form of the table.
func (t *Table) Encode() ([]byte, error) {
	data, err := json.Marshal(t)
	return data, errors.Wrap(err, "encode claims")
}

// Decode reads the stored form; an empty value is an empty table.
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
