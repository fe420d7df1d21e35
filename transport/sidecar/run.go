package sidecar

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/share"
	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/wire"
)

// readSize is the size of one answer chunk at most, in bytes.
const readSize = 32 << 10

// maxBody bounds a request body, in bytes.
const maxBody = 64 << 20

// attempt is one attempt that this sidecar was offered.
type attempt struct {
	key     uint64
	start   *wire.RunStart
	verdict chan verdict
	meter   meter
}

// lastKey numbers the attempts of this process.
var lastKey atomic.Uint64

func (s *Sidecar) newAttempt(st *wire.RunStart) *attempt {
	a := &attempt{key: lastKey.Add(1), start: st, verdict: make(chan verdict, 1)}
	a.meter.kind = s.serviceKind()
	a.meter.promptWeight = s.set.Backend.PromptWeight
	return a
}

// Run implements wire.DRPCSidecarServer.
func (s *Sidecar) Run(stream wire.DRPCSidecar_RunStream) error {
	up, err := stream.Recv()
	if err != nil {
		return err
	}
	st := up.GetStart()
	if st == nil || st.Attempt == nil {
		return errors.New("run: first message has no start")
	}
	body, err := readBody(stream, st)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	a := s.newAttempt(st)
	s.running.Add(1)
	defer s.running.Done()
	s.chooser.post(s.ctx, message{attempt: a, event: share.Offered{
		Attempt:  a.key,
		Pull:     st.Pull,
		Router:   st.Router,
		Team:     st.Team,
		Estimate: st.Estimate,
	}})
	go watchCancel(stream, cancel)
	select {
	case v := <-a.verdict:
		if v == verdictDecline {
			return s.decline(stream)
		}
	case <-ctx.Done():
		s.end(a)
		return ctx.Err()
	}
	defer s.end(a)
	s.starts.Add(1)
	return s.serve(ctx, stream, a, body)
}

func (s *Sidecar) end(a *attempt) {
	s.chooser.post(s.ctx, message{event: share.Ended{Attempt: a.key, Cost: a.meter.cost()}})
}

func (s *Sidecar) decline(stream wire.DRPCSidecar_RunStream) error {
	return stream.Send(&wire.RunDown{Kind: &wire.RunDown_Declined{Declined: &wire.Declined{
		Reason:   "no free slot",
		Revision: s.revision(),
	}}})
}

// readBody collects the request body, which is bounded.
func readBody(stream wire.DRPCSidecar_RunStream, st *wire.RunStart) ([]byte, error) {
	body := st.Body
	if int64(len(body))+st.BodyRest > maxBody {
		return nil, errors.New("run: body too large")
	}
	for rest := st.BodyRest; rest > 0; {
		up, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		part := up.GetBody().GetData()
		if len(part) == 0 {
			return nil, errors.New("run: empty body part")
		}
		body = append(body, part...)
		rest -= int64(len(part))
	}
	return body, nil
}

// watchCancel ends the run when the router says so or its link is lost.
func watchCancel(stream wire.DRPCSidecar_RunStream, cancel context.CancelFunc) {
	for {
		up, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil || up.GetCancel() != nil {
			cancel()
			return
		}
	}
}

// serve calls the backend server and streams its answer back.
func (s *Sidecar) serve(ctx context.Context, stream wire.DRPCSidecar_RunStream, a *attempt, body []byte) error {
	began := time.Now()
	a.meter.start(began)
	resp, err := s.backend.do(ctx, a.start, bytes.NewReader(body), int64(len(body)))
	if err != nil {
		return sendEnd(stream, &wire.End{
			Attempt: a.start.Attempt.Number,
			Outcome: string(outcome.Unknown),
			Reason:  string(outcome.ReasonBackend),
		})
	}
	defer resp.Body.Close()
	down := &wire.RunDown{Kind: &wire.RunDown_Head{Head: headOf(resp, s.incarnation)}}
	if err := stream.Send(down); err != nil {
		return err
	}
	end, err := s.copyAnswer(stream, a, resp.Body)
	if err != nil {
		return err
	}
	a.meter.settle(end.tail.buf)
	end.message.Cost = a.meter.cost()
	end.message.BackendUs = time.Since(began).Microseconds()
	return sendEnd(stream, end.message)
}

// answerEnd is the end of an answer that was read as far as it went.
type answerEnd struct {
	message *wire.End
	tail    tail
}

// copyAnswer sends the body in chunks. An answer that the backend server cut
// short ends as failed, never as completed.
func (s *Sidecar) copyAnswer(stream wire.DRPCSidecar_RunStream, a *attempt, body io.Reader) (answerEnd, error) {
	number := a.start.Attempt.Number
	end := answerEnd{message: &wire.End{Attempt: number, Outcome: string(outcome.Completed)}}
	sum := xxhash.New()
	buf := make([]byte, readSize)
	var offset int64
	for {
		n, err := body.Read(buf)
		if n > 0 {
			part := buf[:n]
			a.meter.read(part)
			end.tail.write(part)
			_, _ = sum.Write(part)
			chunk := &wire.Chunk{Attempt: number, Offset: offset, Data: part}
			if err := stream.Send(&wire.RunDown{Kind: &wire.RunDown_Chunk{Chunk: chunk}}); err != nil {
				return end, err
			}
			offset += int64(n)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			end.message.Outcome = string(outcome.Failed)
			end.message.Reason = string(outcome.ReasonBackend)
			break
		}
	}
	end.message.Length = offset
	end.message.Checksum = sum.Sum64()
	return end, nil
}

func sendEnd(stream wire.DRPCSidecar_RunStream, end *wire.End) error {
	return stream.Send(&wire.RunDown{Kind: &wire.RunDown_End{End: end}})
}
