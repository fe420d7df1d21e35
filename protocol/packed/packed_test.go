package packed

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

func TestRecordRoundTrip(t *testing.T) {
	c := qt.New(t)
	record := bytes.Repeat([]byte(`{"id":"i-1"}`), 1000)
	for _, level := range []int{Small, Fast} {
		data := Pack(record, level)
		c.Check(len(data) < len(record)/5, qt.IsTrue)
		got, err := Unpack(data, len(record))
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.DeepEquals, record)
		_, err = Unpack(data, len(record)-1)
		c.Check(err, qt.ErrorIs, ErrTooLong)
		_, err = Unpack(data[:len(data)/2], len(record))
		c.Check(errors.Is(err, ErrBroken), qt.IsTrue)
	}
	got, err := Unpack(record, 1)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.DeepEquals, record, qt.Commentf("a plain record is bounded by who read it"))
}

// A packed record that is truncated at any byte must not be read as a shorter record.
func TestUnpackRejectsTruncatedRecords(t *testing.T) {
	record := bytes.Repeat([]byte(`{"id":"i-1"}`), 20)
	data := Pack(record, Small)
	for at := len(magic); at < len(data); at++ {
		_, err := Unpack(data[:at], len(record))
		qt.Check(t, errors.Is(err, ErrBroken), qt.IsTrue, qt.Commentf("%d of %d bytes", at, len(data)))
	}
}
