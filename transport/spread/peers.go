package spread

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/spread"
	"goldcrestport/protocol/document"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/config"
	"goldcrestport/transport/link"
	"goldcrestport/transport/platform"
)

// askTimeout bounds one question to a peer.
const askTimeout = time.Second

func key(p Peer) string { return string(p.Role) + "@" + p.Address }

func peerOf(key string) Peer {
	role, addr, _ := strings.Cut(key, "@")
	return Peer{Role: platform.Role(role), Address: addr}
}

// Routers returns the routers at the addresses as peers.
func Routers(addresses []string) []Peer {
	var out []Peer
	for _, a := range addresses {
		out = append(out, Peer{Role: platform.RoleRouter, Address: a})
	}
	return out
}

// PoolAsker asks over pooled drpc connections.
type PoolAsker struct{ Pool *link.Pool }

// Ask implements Asker.
func (a PoolAsker) Ask(ctx context.Context, p Peer, req *wire.ConfigRequest) (*wire.ConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if p.Role == platform.RoleRouter {
		return a.Pool.Router(ctx, p.Address).Config(ctx, req)
	}
	return a.Pool.Sidecar(ctx, p.Address).Config(ctx, req)
}

// askSeeds asks some of the seeds for what they hold.
func (s *Spreader) askSeeds(ctx context.Context) {
	order := rand.Perm(len(s.opts.Seeds))
	for _, i := range order[:min(seedAsks, len(order))] {
		go s.fetch(ctx, key(s.opts.Seeds[i]))
	}
}

// fetch asks one peer and takes up what it answers.
func (s *Spreader) fetch(ctx context.Context, from string) {
	s.use.fetches.Add(1)
	list := s.list.Load()
	req := &wire.ConfigRequest{
		Revision:        s.Revision(),
		InstancesDigest: list.digest,
		WantInstances:   list.empty(),
	}
	resp, err := s.opts.Asker.Ask(ctx, peerOf(from), req)
	if err != nil {
		s.post(ctx, message{event: spread.FetchFailed{Peer: from}})
		return
	}
	s.takeInstances(ctx, resp)
	doc, err := s.documentOf(resp)
	if err != nil {
		_ = s.opts.Log.Log("event", "config_fetch_failed", "peer", from, "err", err)
		s.post(ctx, message{event: spread.FetchFailed{Peer: from}})
		return
	}
	age := wire.Millis(resp.ConfigAgeMs)
	s.post(ctx, message{event: spread.PeerReported{Peer: from, Revision: resp.Revision, Age: age}})
	s.post(ctx, message{event: spread.Fetched{Peer: from, Revision: resp.Revision, Age: age}, doc: doc})
}

// documentOf returns the peer's newer document, or nil if it has none.
func (s *Spreader) documentOf(resp *wire.ConfigResponse) (*config.Document, error) {
	if len(resp.Document) > 0 {
		return document.Decode(resp.Document)
	}
	doc := s.doc.Load()
	for _, data := range resp.Patches {
		var st step
		if err := json.Unmarshal(data, &st); err != nil {
			return nil, errors.Wrap(err, "patch")
		}
		if doc == nil || doc.Revision != st.From {
			// A newer document came in between; it contains the patch.
			continue
		}
		doc = st.apply(doc)
	}
	if doc != nil && doc.Revision < resp.Revision {
		return nil, errors.Newf("patches lead to revision %d, not to %d", doc.Revision, resp.Revision)
	}
	return doc, nil
}

// Answer tells a peer what it is behind with.
func (s *Spreader) Answer(req *wire.ConfigRequest) (*wire.ConfigResponse, error) {
	resp := &wire.ConfigResponse{Revision: s.Revision(), ConfigAgeMs: s.Age().Milliseconds()}
	s.answerInstances(req, resp)
	doc := s.doc.Load()
	if doc == nil || doc.Revision <= req.Revision {
		return resp, nil
	}
	resp.Revision = doc.Revision
	if patches, ok := s.steps.since(req.Revision, doc.Revision); ok {
		resp.Patches = patches
		return resp, nil
	}
	var err error
	resp.Document, err = s.whole.of(doc)
	return resp, err
}

// wholeDocument is the document in force as peers get it, written once for
// each revision: a starting region asks for it all at once.
type wholeDocument struct {
	mu   sync.Mutex
	doc  *config.Document
	data []byte
}

// of returns the encoded document.
func (w *wholeDocument) of(doc *config.Document) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.doc == doc {
		return w.data, nil
	}
	data, err := document.Encode(doc)
	if err != nil {
		return nil, err
	}
	w.doc, w.data = doc, data
	return data, nil
}
