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

// askTimeout bounds one request to a peer.
const askTimeout = time.Second

func peerKey(p Peer) string { return string(p.Role) + "@" + p.Address }

func parsePeerKey(key string) Peer {
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

// PoolAsker sends requests to peers over pooled drpc connections.
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

// askSeeds fetches the configuration from up to seedAsks random seeds.
func (s *Spreader) askSeeds(ctx context.Context) {
	order := rand.Perm(len(s.opts.Seeds))
	for _, i := range order[:min(seedAsks, len(order))] {
		go s.fetch(ctx, peerKey(s.opts.Seeds[i]))
	}
}

// fetch requests the configuration from one peer and applies its response.
func (s *Spreader) fetch(ctx context.Context, from string) {
	s.usage.fetches.Add(1)
	list := s.list.Load()
	req := &wire.ConfigRequest{
		Revision:        s.Revision(),
		InstancesDigest: list.digest,
		WantInstances:   list.empty(),
	}
	resp, err := s.opts.Asker.Ask(ctx, parsePeerKey(from), req)
	if err != nil {
		s.post(ctx, message{event: spread.FetchFailed{Peer: from}})
		return
	}
	s.updateInstances(ctx, resp)
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
			// A newer document, which includes the patch, arrived since the
			// request.
			continue
		}
		doc = st.apply(doc)
	}
	if doc != nil && doc.Revision < resp.Revision {
		return nil, errors.Newf("patches produce revision %d, want %d", doc.Revision, resp.Revision)
	}
	return doc, nil
}

// Answer returns the document or patches, and the instance list if requested,
// that the peer lacks.
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
	resp.Document, err = s.encoded.encode(doc)
	return resp, err
}

// documentCache caches the encoding of the document in force. It is encoded once
// per revision, because all processes of a starting region request it at once.
type documentCache struct {
	mu   sync.Mutex
	doc  *config.Document
	data []byte
}

// encode returns the encoding of doc, from the cache if doc was encoded last.
func (c *documentCache) encode(doc *config.Document) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doc == doc {
		return c.data, nil
	}
	data, err := document.Encode(doc)
	if err != nil {
		return nil, err
	}
	c.doc, c.data = doc, data
	return data, nil
}
