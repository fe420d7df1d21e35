package sidecar

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/wire"
)

// upstreamState is the state of a router's side of a Run stream.
type upstreamState int

const (
	// upOpen means that it has not ended.
	upOpen upstreamState = iota
	// upLost means that the connection was lost.
	upLost
	// upClosed means that the router closed the stream.
	upClosed
	// upCancelled means that the router cancelled the run because the caller
	// disconnected.
	upCancelled
)

// upstream reads the router's side of one Run stream after the request body.
type upstream struct {
	ctx  context.Context
	done chan struct{}
	// end is written before done is closed and read only afterwards.
	end upstreamState
}

// readUpstream reads the router's side in the background until it ends. It
// reads continuously, so that a lost connection is detected at once.
func readUpstream(stream wire.DRPCSidecar_RunStream, a *attempt) *upstream {
	ctx, cancel := context.WithCancel(context.Background())
	u := &upstream{ctx: ctx, done: make(chan struct{})}
	go func() {
		defer cancel()
		defer close(u.done)
		u.end = u.read(stream, a)
	}()
	return u
}

func (u *upstream) read(stream wire.DRPCSidecar_RunStream, a *attempt) upstreamState {
	for {
		up, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return upClosed
		case err != nil:
			return upLost
		case up.GetCancel() != nil:
			return upCancelled
		case up.GetAck() != nil:
			a.response.ack(up.GetAck().Offset)
		}
	}
}

// state returns how the router's side ended, or upOpen if it has not.
func (u *upstream) state() upstreamState {
	select {
	case <-u.done:
		return u.end
	default:
		return upOpen
	}
}
