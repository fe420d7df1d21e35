package direct

import (
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/packed"
)

// Records of the store's entries are packed before they go to another router: they
// repeat their names, and hundreds of routers take them at one moment.
const (
	// packFrom is the size from which a record is packed, in bytes.
	packFrom = 1 << 10
	// maxUnpacked bounds what is unpacked, in bytes.
	maxUnpacked = 32 << 20
)

// pack returns the record as it travels.
func pack(record []byte) []byte {
	if len(record) < packFrom {
		return record
	}
	return packed.Pack(record, packed.Fast)
}

// unpack reads a record that was sent, packed or not.
func unpack(data []byte, into any) error {
	record, err := packed.Unpack(data, maxUnpacked)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(record, into), "record of another router")
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
	data := a.Packed
	*a = changesAnswer{}
	return unpack(data, a)
}
