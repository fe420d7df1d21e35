// Package document writes and reads the live configuration as it is stored on
// the platform and passed between processes.
package document

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"goldcrestport/state/config"
)

// MaxEncoded is the greatest size of an encoded document in bytes: the
// platform holds values of up to a megabyte.
const MaxEncoded = 1_000_000

// maxDecoded bounds what an encoded document may unpack to, in bytes.
const maxDecoded = 64 << 20

// Errors of the codec.
var (
	// ErrTooLarge means that the document doesn't fit in one platform value.
	ErrTooLarge = errors.New("configuration too large for one platform value")
	// ErrNotDocument means that the bytes aren't a document.
	ErrNotDocument = errors.New("not a configuration document")
)

// gzipMagic starts a compressed document; JSON never starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// Encode returns the document as it is stored on the platform: JSON,
// compressed.
func Encode(d *config.Document) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if err := json.NewEncoder(w).Encode(d); err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if out.Len() > MaxEncoded {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, %d allowed", out.Len(), MaxEncoded)
	}
	return out.Bytes(), nil
}

// Decode reads a document that is compressed or plain JSON.
func Decode(data []byte) (*config.Document, error) {
	var in io.Reader = bytes.NewReader(data)
	if bytes.HasPrefix(data, gzipMagic) {
		unpacked, err := gzip.NewReader(in)
		if err != nil {
			return nil, errors.Mark(err, ErrNotDocument)
		}
		in = io.LimitReader(unpacked, maxDecoded)
	}
	var d config.Document
	if err := json.NewDecoder(in).Decode(&d); err != nil {
		return nil, errors.Mark(err, ErrNotDocument)
	}
	return &d, nil
}
