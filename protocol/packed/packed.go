// Package packed compresses records that are stored on the platform or sent to other
// processes, and reads them again, packed or not.
package packed

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
)

// Errors of Unpack.
var (
	// ErrTooLong means that the record is longer than allowed.
	ErrTooLong = errors.New("the unpacked record is too long")
	// ErrBroken means that the data begins as a packed record and is none.
	ErrBroken = errors.New("no packed record")
)

// Levels of Pack.
const (
	// Small is for records that are written seldom and kept.
	Small = gzip.DefaultCompression
	// Fast is for records that are sent at once.
	Fast = gzip.BestSpeed
)

// magic begins a packed record; JSON never begins so.
var magic = []byte{0x1f, 0x8b}

// Pack returns the record compressed, at one of the levels.
func Pack(record []byte, level int) []byte {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, level)
	if err != nil {
		// A level of another package's; the record is read unpacked, too.
		return record
	}
	// A buffer takes all.
	_, _ = w.Write(record)
	_ = w.Close()
	return b.Bytes()
}

// Unpack returns the record of at most so many bytes. Data that does not begin as a
// packed record is the record itself.
func Unpack(data []byte, most int) ([]byte, error) {
	if !bytes.HasPrefix(data, magic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Mark(err, ErrBroken)
	}
	record, err := io.ReadAll(io.LimitReader(r, int64(most)+1))
	switch {
	case err != nil:
		return nil, errors.Mark(err, ErrBroken)
	case len(record) > most:
		return nil, errors.Wrapf(ErrTooLong, "%d bytes are allowed", most)
	}
	return record, nil
}
