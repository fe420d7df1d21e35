// Package packed compresses records that are stored on the platform or sent to other
// processes, and reads both compressed and uncompressed records.
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
	// ErrBroken means that the data starts as a packed record but is not well-formed.
	ErrBroken = errors.New("no packed record")
)

// Levels of Pack.
const (
	// Small favours size, for records that are written seldom and kept.
	Small = gzip.DefaultCompression
	// Fast favours speed, for records that are sent immediately.
	Fast = gzip.BestSpeed
)

// magic is the prefix of a packed record; no JSON text starts with it.
var magic = []byte{0x1f, 0x8b}

// Pack compresses the record at one of the levels Small and Fast.
func Pack(record []byte, level int) []byte {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, level)
	if err != nil {
		// The level is none of this package's. Unpack reads uncompressed records too.
		return record
	}
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(record)
	_ = w.Close()
	return b.Bytes()
}

// Unpack returns the record, which may have at most the given number of bytes. Data that
// does not start as a packed record is returned as the record itself.
func Unpack(data []byte, maxSize int) ([]byte, error) {
	if !bytes.HasPrefix(data, magic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Mark(err, ErrBroken)
	}
	record, err := io.ReadAll(io.LimitReader(r, int64(maxSize)+1))
	switch {
	case err != nil:
		return nil, errors.Mark(err, ErrBroken)
	case len(record) > maxSize:
		return nil, errors.Wrapf(ErrTooLong, "%d bytes are allowed", maxSize)
	}
	return record, nil
}
