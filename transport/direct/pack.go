package direct

import (
	"bytes"
	"compress/zlib"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// Records of the store's entries are packed before they go to another router: they
// repeat their names, and hundreds of routers take them at one moment.
const (
	// packFrom is the size from which a record is packed, in bytes.
	packFrom = 1 << 10
	// maxUnpacked bounds what is unpacked, in bytes.
	maxUnpacked = 32 << 20
)

// errTooLong means that a packed record is longer than any that routers send.
var errTooLong = errors.New("a packed record is too long")

// pack returns the record as it travels.
func pack(record []byte) []byte {
	if len(record) < packFrom {
		return record
	}
	var b bytes.Buffer
	w, _ := zlib.NewWriterLevel(&b, zlib.BestSpeed)
	// A buffer takes all.
	_, _ = w.Write(record)
	_ = w.Close()
	return b.Bytes()
}

// unpack returns the record that was sent, packed or not.
func unpack(data []byte) ([]byte, error) {
	if len(data) > 0 && data[0] == '{' {
		return data, nil
	}
	r, err := zlib.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "packed record")
	}
	record, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "packed record")
	case len(record) > maxUnpacked:
		return nil, errTooLong
	}
	return record, nil
}

// packedAnswers keeps the last packed answer: when much changes at once, all other
// routers ask for the same.
type packedAnswers struct {
	mu     sync.Mutex
	key    answerKey
	packed []byte
}

// answerKey tells answers apart.
type answerKey struct {
	reached, have, version uint64
	settling               bool
}

// pack returns the answer to the request as it travels.
func (p *packedAnswers) pack(want changesRequest, answer *changesAnswer) (*changesAnswer, error) {
	key := answerKey{answer.revision(), want.Have, want.Version, answer.Settling}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed == nil || p.key != key {
		record, err := json.Marshal(answer)
		if err != nil {
			return nil, err
		}
		p.key, p.packed = key, pack(record)
	}
	return &changesAnswer{Packed: p.packed}, nil
}

// unpack makes a packed answer plain.
func (a *changesAnswer) unpack() error {
	if len(a.Packed) == 0 {
		return nil
	}
	record, err := unpack(a.Packed)
	if err != nil {
		return err
	}
	*a = changesAnswer{}
	return errors.Wrap(json.Unmarshal(record, a), "packed answer")
}
