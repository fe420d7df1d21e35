package router

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"goldcrestport/coordination/dispatch"
	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/wire"
)

// decisionRing holds the decisions that may be on the way to one request.
const decisionRing = 4

// bodyPart is the size of one request body message at most, in bytes.
const bodyPart = 1 << 20

// call is one caller's request while the router holds it.
type call struct {
	id        string
	request   dispatch.Request
	start     *wire.RunStart
	body      []byte
	decisions chan decision
	attempts  uint32
	began     time.Time

	// wrote tells that a part of the answer went to the caller.
	wrote  bool
	offset int64
}

// errDeclined means that the sidecar did not run the attempt and never will.
var errDeclined = errors.New("attempt declined")

// serve brings the request to its one outcome.
func (r *Router) serve(ctx context.Context, w http.ResponseWriter, c *call) {
	r.dispatcher.post(r.ctx, message{call: c, event: dispatch.Arrived{Request: c.request}})
	for {
		select {
		case <-ctx.Done():
			r.dispatcher.post(r.ctx, message{event: dispatch.Withdrawn{ID: c.id}})
			r.finish(w, c, outcome.Refuse(outcome.ReasonCancelled, statusClientClosed, 0, "the caller went away"))
			return
		case d := <-c.decisions:
			if d.refuse != nil {
				r.finish(w, c, refusal(*d.refuse))
				return
			}
			o, err := r.try(ctx, w, c, d)
			if errors.Is(err, errDeclined) {
				r.dispatcher.post(r.ctx, message{event: dispatch.Declined{ID: c.id, Sidecar: d.send.Sidecar}})
				continue
			}
			r.dispatcher.post(r.ctx, message{event: dispatch.Ended{ID: c.id}})
			r.finish(w, c, o)
			return
		}
	}
}

// statusClientClosed is logged when the caller left; nobody receives it.
const statusClientClosed = 499

// refusal turns the core's reason into an outcome.
func refusal(a dispatch.Refuse) outcome.Outcome {
	switch a.Reason {
	case dispatch.QueueFull:
		return outcome.Refuse(outcome.ReasonQueueFull, http.StatusTooManyRequests, a.RetryAfter, "the team's queue is full")
	case dispatch.DeadlinePassed:
		return outcome.Refuse(outcome.ReasonDeadline, http.StatusServiceUnavailable, a.RetryAfter, "the deadline passed before a backend server was free")
	default:
		return outcome.Refuse(outcome.ReasonNoBackend, http.StatusServiceUnavailable, a.RetryAfter, "no backend server is known")
	}
}

// finish writes the outcome if the answer has not begun; an answer that was
// cut short is aborted so that it never looks complete.
func (r *Router) finish(w http.ResponseWriter, c *call, o outcome.Outcome) {
	r.metrics.ended(o, time.Since(c.began))
	_ = r.log.Log("event", "request_ended", "request", c.id, "team", c.request.Team,
		"service", c.request.Service, "outcome", o.Kind, "reason", o.Reason,
		"attempts", c.attempts, "ms", time.Since(c.began).Milliseconds())
	if o.Kind == outcome.Completed {
		return
	}
	if c.wrote {
		panic(http.ErrAbortHandler)
	}
	outcome.Write(w, c.id, o)
}

// try sends one attempt and relays its answer.
func (r *Router) try(ctx context.Context, w http.ResponseWriter, c *call, d decision) (outcome.Outcome, error) {
	c.attempts++
	start := proto.CloneOf(c.start)
	start.Attempt = &wire.Attempt{RequestId: c.id, Number: c.attempts}
	start.Pull = d.send.Pull
	start.Revision = r.revision()
	stream, err := r.open(ctx, d.addr, start, c.body)
	if err != nil {
		return unknown(), nil
	}
	defer stream.Close()
	return r.relay(w, c, stream)
}

func unknown() outcome.Outcome {
	return outcome.Outcome{
		Kind:   outcome.Unknown,
		Reason: outcome.ReasonLinkLost,
		Status: http.StatusBadGateway,
		Detail: "the link to the backend server was lost; the request may have run",
	}
}

// open starts the attempt's stream and sends the request.
func (r *Router) open(ctx context.Context, addr string, start *wire.RunStart, body []byte) (wire.DRPCSidecar_RunClient, error) {
	stream, err := r.pool.Sidecar(ctx, addr).Run(ctx)
	if err != nil {
		return nil, err
	}
	first := min(len(body), bodyPart)
	start.Body, start.BodyRest = body[:first], int64(len(body)-first)
	if err := stream.Send(&wire.RunUp{Kind: &wire.RunUp_Start{Start: start}}); err != nil {
		return nil, err
	}
	for rest := body[first:]; len(rest) > 0; {
		n := min(len(rest), bodyPart)
		up := &wire.RunUp{Kind: &wire.RunUp_Body{Body: &wire.RunBody{Data: rest[:n]}}}
		if err := stream.Send(up); err != nil {
			return nil, err
		}
		rest = rest[n:]
	}
	return stream, nil
}

// relay passes the answer on to the caller and checks that it is whole.
func (r *Router) relay(w http.ResponseWriter, c *call, stream wire.DRPCSidecar_RunClient) (outcome.Outcome, error) {
	sum := xxhash.New()
	flush := http.NewResponseController(w)
	for {
		down, err := stream.Recv()
		if err != nil {
			return unknown(), nil
		}
		switch m := down.Kind.(type) {
		case *wire.RunDown_Declined:
			return outcome.Outcome{}, errDeclined
		case *wire.RunDown_Head:
			writeHead(w, c, m.Head)
		case *wire.RunDown_Chunk:
			if m.Chunk.Attempt != c.attempts || m.Chunk.Offset != c.offset {
				return unknown(), nil
			}
			c.wrote = true
			c.offset += int64(len(m.Chunk.Data))
			_, _ = sum.Write(m.Chunk.Data)
			if _, err := w.Write(m.Chunk.Data); err != nil {
				return outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.ReasonCancelled}, nil
			}
			_ = flush.Flush()
		case *wire.RunDown_End:
			return ending(m.End, c.offset, sum.Sum64()), nil
		}
	}
}

// ending checks the end of an answer against what was relayed.
func ending(end *wire.End, length int64, sum uint64) outcome.Outcome {
	if end.Outcome == string(outcome.Completed) && end.Length == length && end.Checksum == sum {
		return outcome.Outcome{Kind: outcome.Completed, Status: http.StatusOK}
	}
	kind := outcome.Kind(end.Outcome)
	if kind == outcome.Completed {
		kind = outcome.Failed
	}
	return outcome.Outcome{
		Kind:   kind,
		Reason: outcome.Reason(end.Reason),
		Status: http.StatusBadGateway,
		Detail: "the backend server did not give a whole answer",
	}
}

func writeHead(w http.ResponseWriter, c *call, head *wire.Head) {
	for _, h := range head.Headers {
		w.Header().Add(h.Name, h.Value)
	}
	w.Header().Set("Goldcrest-Request-Id", c.id)
	w.Header().Set(outcome.Header, string(outcome.Completed))
	w.WriteHeader(int(head.Status))
	c.wrote = true
}
