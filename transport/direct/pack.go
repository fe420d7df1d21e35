package direct

import (
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/packed"
)

// Records of the store's entries are compressed before they are sent to another router: their
// field names repeat, and hundreds of routers fetch them at the same time.
const (
	// packFrom is the size in bytes from which a record is compressed.
	packFrom = 1 << 10
	// maxUnpacked bounds the size of an unpacked record, in bytes.
	maxUnpacked = 32 << 20
)

// pack returns the record in its wire form.
func pack(record []byte) []byte {
	if len(record) < packFrom {
		return record
	}
	return packed.Pack(record, packed.Fast)
}

// unpack decodes a received record, packed or not.
func unpack(data []byte, into any) error {
	record, err := packed.Unpack(data, maxUnpacked)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(record, into), "decoding the record of another router")
}

// packedAnswers caches the last packed answer: when much changes at once, all other routers
// ask for the same one.
type packedAnswers struct {
	mu     sync.Mutex
	key    answerKey
	packed []byte
}

// answerKey identifies an answer.
type answerKey struct {
	reached, have, version uint64
	settling               bool
}

// pack returns the answer to the request in its wire form.
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

// unpack decodes a packed answer in place.
func (a *changesAnswer) unpack() error {
	if len(a.Packed) == 0 {
		return nil
	}
	data := a.Packed
	*a = changesAnswer{}
	return unpack(data, a)
}
