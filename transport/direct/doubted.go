package direct

import (
	"context"
	"time"

	"goldcrestport/coordination/continuation"
	"goldcrestport/coordination/origin"
)

// Times of the wait for the end of a doubt about a stream's origin.
const (
	// doubtWait bounds the wait. It spares the caller a refusal and a new connection.
	doubtWait = time.Second
	// doubtWaitPart bounds it to this part of the time that the caller has left: the rest is for the
	// stream itself, and a caller who is refused in the end has lost little.
	doubtWaitPart = 8
	// doubtLook is the interval at which the origin is looked up meanwhile.
	doubtLook = 100 * time.Millisecond
)

// decideStream decides where the stream may go on. If its origin is doubted for only a moment more, it
// waits for the doubt to end.
func (c *call) decideStream(ctx context.Context) continuation.Decision {
	d := continuation.Decide(c.describeStream(ctx))
	limit := min(doubtWait, c.left()/doubtWaitPart)
	if d.Reason != continuation.ReasonDoubted || c.stream.doubtLeft > limit {
		return d
	}
	end := time.Now().Add(limit)
	for d.Reason == continuation.ReasonDoubted && ctx.Err() == nil && time.Now().Before(end) {
		sleep(ctx, min(doubtLook, time.Until(end)))
		d = continuation.Decide(c.describeStream(ctx))
	}
	return d
}

// weigh returns what the origin is worth that this router or another one knows.
func (c *call) weigh(known origin.Known) continuation.Knowledge {
	if !known.Uncertain {
		return continuation.Known
	}
	left, mayEnd := c.r.pool.DoubtLeft(known.For)
	if !known.MayEnd || !mayEnd {
		return continuation.Uncertain
	}
	c.stream.doubtLeft = left
	return continuation.Doubted
}
