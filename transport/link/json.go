package link

import (
	"context"
	"encoding/json"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"

	"goldcrestport/transport/revocable"
)

// Records is the drpc encoding of calls whose messages are plain Go structs, as JSON. Such calls
// are rare; the encodings of frequent messages are in protocol/wire and protocol/digest.
type Records struct{}

// Marshal implements drpc.Encoding.
func (Records) Marshal(m drpc.Message) ([]byte, error) { return json.Marshal(m) }

// Unmarshal implements drpc.Encoding.
func (Records) Unmarshal(data []byte, m drpc.Message) error { return json.Unmarshal(data, m) }

// Call makes one JSON-encoded call to the address, on a connection of its own.
func Call(ctx context.Context, addr, rpc string, in, out any) error {
	var d net.Dialer
	raw, err := revocable.Dial(ctx, &d, addr)
	if err != nil {
		return err
	}
	conn := newConn(raw)
	defer conn.Close()
	return conn.Invoke(ctx, rpc, Records{}, in, out)
}

// ServeRecords serves JSON-encoded calls until ctx ends.
func ServeRecords(ctx context.Context, lis net.Listener, h drpc.Handler) error {
	return drpcserver.NewWithOptions(h, drpcserver.Options{Manager: drpcmanager.Options{Reader: managerOptions().Reader}}).Serve(ctx, lis)
}
