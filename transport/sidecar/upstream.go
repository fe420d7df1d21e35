package sidecar

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/wire"
)

// upEnd is how a router's side of a Run stream ended.
type upEnd int

const (
	// upOpen means that it has not ended.
	upOpen upEnd = iota
	// upLost means that the link was lost.
	upLost
	// upClosed means that the router closed the stream.
	upClosed
	// upCancelled means that the caller went away.
	upCancelled
)

// upstream is the router's side of one Run stream, after the body.
type upstream struct {
	ctx  context.Context
	done chan struct{}
	// end is written before done is closed and read after.
	end upEnd
}

// readUp reads the router's side in the background until it ends. It always
// reads, so that a lost link is seen at once.
func readUp(stream wire.DRPCSidecar_RunStream, a *attempt) *upstream {
	ctx, cancel := context.WithCancel(context.Background())
	u := &upstream{ctx: ctx, done: make(chan struct{})}
	go func() {
		defer cancel()
		defer close(u.done)
		u.end = u.read(stream, a)
	}()
	return u
}

func (u *upstream) read(stream wire.DRPCSidecar_RunStream, a *attempt) upEnd {
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
			a.answer.ack(up.GetAck().Offset)
		}
	}
}

// how returns how the side ended, or upOpen.
func (u *upstream) how() upEnd {
	select {
	case <-u.done:
		return u.end
	default:
		return upOpen
	}
}
