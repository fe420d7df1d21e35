package direct

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/versions"
	"goldcrestport/transport/platform"
)

// register renews this router's entry in the store, from which the other routers know how many
// share the servers.
func (r *Router) register(ctx context.Context) {
	var life versions.Life
	for ctx.Err() == nil {
		sent := bootTime()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		got, err := r.source.Register(call, r.set.ID, r.set.Listen.Peers, life, registerTTL)
		cancel()
		r.countStoreCall(callRegister, err)
		if err == nil {
			r.recordRenewal(sent, life == 0)
			life = got
			r.recordLife(life)
		}
		if errors.Is(err, platform.ErrNotFound) && life != 0 {
			// The entry expired while this router could not reach the store: until it has a
			// new one, no router sends it anything.
			life = 0
			continue
		}
		select {
		case <-time.After(registerInterval):
		case <-ctx.Done():
		}
	}
}
