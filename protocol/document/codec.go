// Package document encodes and decodes the live configuration, as it is stored on
// the platform and sent between processes.
package document

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/packed"
	"goldcrestport/state/config"
)

// MaxEncoded is the largest size of an encoded document in bytes: the
// platform stores values of up to a megabyte.
const MaxEncoded = 1_000_000

// maxDecoded is the largest size of a decompressed document in bytes.
const maxDecoded = 64 << 20

// Errors of the codec.
var (
	// ErrTooLarge means that the document doesn't fit in one platform value.
	ErrTooLarge = errors.New("configuration too large for one platform value")
	// ErrNotDocument means that the bytes aren't a document.
	ErrNotDocument = errors.New("not a configuration document")
)

// Encode returns the document as it is stored on the platform: compressed
// JSON.
func Encode(d *config.Document) ([]byte, error) {
	record, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	data := packed.Pack(record, packed.Small)
	if len(data) > MaxEncoded {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, %d allowed", len(data), MaxEncoded)
	}
	return data, nil
}

// Decode decodes a document from compressed or plain JSON.
func Decode(data []byte) (*config.Document, error) {
	record, err := packed.Unpack(data, maxDecoded)
	if err != nil {
		return nil, errors.Mark(err, ErrNotDocument)
	}
	var d config.Document
	if err := json.NewDecoder(bytes.NewReader(record)).Decode(&d); err != nil {
		return nil, errors.Mark(err, ErrNotDocument)
	}
	return &d, nil
}
