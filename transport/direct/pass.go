package direct

import (
	"encoding/json"

	"goldcrestport/coordination/mirror"
	"goldcrestport/protocol/digest"
)

// passMost bounds the changes that go out with a message, packed, in bytes: with the
// digest they fit into a datagram. Larger ones, such as a configuration of
// hundreds of routes, are asked for.
const passMost = 20 << 10

// passing holds changes of the store until the next message goes out: a router
// that has much to do learns of a leaving server by one datagram, and not by a
// call for which its processor has no time.
type passing struct {
	after   uint64
	changes []byte
}

// take returns the changes and forgets them.
func (p *passing) take() (changes []byte, after uint64) {
	changes, after = p.changes, p.after
	*p = passing{}
	return changes, after
}

// pass makes known what the store told this router, for the others.
func (r *Router) pass(after uint64, d mirror.Delta) {
	if d.Revision <= after || d.IsEmpty() {
		return
	}
	data, err := json.Marshal(d)
	if err != nil {
		r.event("changes_not_passed", "err", err)
		return
	}
	if data = pack(data); len(data) > passMost {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.passing = passing{after: after, changes: data}
}

// takePassed takes the changes that came with a message, if they follow what is
// known here. Others are asked for when their revision is vouched for.
func (r *Router) takePassed(m digest.Message) {
	if m.Changes == nil || m.After != r.known() {
		return
	}
	var d mirror.Delta
	if err := unpack(m.Changes, &d); err != nil {
		r.metrics.peerErrors.Add(1)
		return
	}
	r.take(d.Config)
	r.update(d)
	r.metrics.passed.Add(1)
}
