package direct

import (
	"encoding/json"

	"goldcrestport/coordination/mirror"
	"goldcrestport/protocol/digest"
)

// maxAttached bounds the packed changes that are attached to a message, in bytes: with the digest
// they must fit into a datagram. Other routers fetch larger ones, such as a configuration of
// hundreds of routes.
const maxAttached = 20 << 10

// attachedChanges holds changes of the store until the next message is sent: a saturated
// router then learns from one datagram that a server is draining, without a call for which its
// processor has no time.
type attachedChanges struct {
	after   uint64
	changes []byte
}

// takeAll returns the changes and clears them.
func (p *attachedChanges) takeAll() (changes []byte, after uint64) {
	changes, after = p.changes, p.after
	*p = attachedChanges{}
	return changes, after
}

// attachChanges queues changes that the store sent this router, for the other routers.
func (r *Router) attachChanges(after uint64, d mirror.Delta) {
	if d.Revision <= after {
		return
	}
	data, err := json.Marshal(d)
	if err != nil {
		r.event("changes_not_passed", "err", err)
		return
	}
	if data = pack(data); len(data) > maxAttached {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attached = attachedChanges{after: after, changes: data}
}

// applyAttached applies changes that came with a message if they directly follow this router's
// revision. Others are fetched once their revision is confirmed as current.
func (r *Router) applyAttached(m digest.Message) {
	if m.Changes == nil || m.After != r.knownRevision() {
		return
	}
	var d mirror.Delta
	if err := unpack(m.Changes, &d); err != nil {
		r.metrics.peerErrors.Add(1)
		return
	}
	r.adoptIfPresent(d.Config)
	r.update(d)
	r.metrics.attachedApplied.Add(1)
}
