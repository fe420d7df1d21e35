package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/share"
	"goldcrestport/protocol/prefix"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/attempts"
)

// maxBody bounds the size of a request body, in bytes.
const maxBody = 64 << 20

// Reasons in a Declined message.
const (
	reasonNoSlot      = "no free slot"
	reasonIncarnation = "another incarnation"
	reasonBlocked     = "settled before"
	reasonWithdrawn   = "withdrawn"
	reasonLease       = "no lease"
)

// attempt is one attempt of a request, offered to this sidecar by a router.
type attempt struct {
	// runs is the table that contains the attempt.
	runs     *runs
	key      uint64
	id       attempts.ID
	start    *wire.RunStart
	decision chan decision
	meter    meter
	response *responseBuffer
	// prefix identifies the prompt prefix, 0 for none.
	prefix uint64
	// status is the HTTP status of the backend server's response, 0 before
	// there is one.
	status int
	// received is when the attempt was offered.
	received time.Time
	// ctx is the context of the run, which outlives the stream that started it.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// lastKey is the last key assigned to an attempt of this process.
var lastKey atomic.Uint64

func (s *Sidecar) newAttempt(runs *runs, st *wire.RunStart) *attempt {
	a := &attempt{
		runs:     runs,
		key:      lastKey.Add(1),
		id:       idOf(st.Attempt),
		start:    st,
		decision: make(chan decision, 1),
		response: newResponseBuffer(responseWindow),
		prefix:   prefix.Of(st.Body),
		received: time.Now(),
	}
	a.meter.kind = s.serviceKind()
	a.meter.promptWeight = s.set.Backend.PromptWeight
	a.ctx, a.cancel = context.WithCancelCause(s.ctx)
	return a
}

// Run implements wire.DRPCSidecarServer.
func (s *Sidecar) Run(stream wire.DRPCSidecar_RunStream) error {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	up, err := stream.Recv()
	if err != nil {
		return err
	}
	st := up.GetStart()
	if st == nil || st.Attempt == nil {
		return errors.New("run: first message has no start")
	}
	if st.Resume {
		return s.resume(stream, st)
	}
	body, err := readBody(stream, st)
	if err != nil {
		return err
	}
	runs := s.runs.Load()
	if in := st.Attempt.Incarnation; in != "" && in != runs.incarnation {
		return s.decline(stream, reasonIncarnation)
	}
	switch runs.offer(idOf(st.Attempt)) {
	case attempts.Unseen:
		return s.handleOffer(stream, runs, st, body)
	case attempts.Blocked, attempts.Declined:
		return s.decline(stream, reasonBlocked)
	default:
		return errors.New("run: the attempt is known")
	}
}

// handleOffer waits for the decision on a new attempt and runs it if it is
// admitted.
func (s *Sidecar) handleOffer(stream wire.DRPCSidecar_RunStream, runs *runs, st *wire.RunStart, body []byte) error {
	a := s.newAttempt(runs, st)
	up := readUpstream(stream, a)
	s.scheduler.post(s.ctx, message{attempt: a, event: share.Offered{
		Attempt:  a.key,
		Pull:     st.Pull,
		Router:   st.Router,
		Team:     st.Team,
		Class:    st.Class,
		Estimate: wire.Amount(st.Estimate),
	}})
	select {
	case v := <-a.decision:
		if v == decisionDecline {
			a.runs.decline(a.id)
			return s.decline(stream, reasonNoSlot)
		}
	case <-up.done:
	}
	if up.state() != upOpen {
		s.withdraw(a)
		return errors.New("run: the stream ended before the start")
	}
	if !s.slot.mayStart(runs) {
		s.withdraw(a)
		return s.decline(stream, reasonLease)
	}
	if !runs.start(a) {
		s.releaseSlot(a)
		return s.decline(stream, reasonWithdrawn)
	}
	s.recordStart()
	s.inFlight.Add(1)
	go s.execute(a, body)
	return s.deliver(stream, up, a, 0)
}

// withdraw declines an attempt that was not started and releases its slot.
func (s *Sidecar) withdraw(a *attempt) {
	a.runs.decline(a.id)
	s.releaseSlot(a)
}

// releaseSlot reports the end of the attempt to the scheduler, which frees its
// slot.
func (s *Sidecar) releaseSlot(a *attempt) {
	s.scheduler.post(s.ctx, message{event: share.Ended{
		Attempt:   a.key,
		Cost:      a.meter.cost(),
		Completed: a.status != 0 && a.meter.settled(),
	}})
}

func (s *Sidecar) decline(stream wire.DRPCSidecar_RunStream, reason string) error {
	s.metrics.declined.Add(reason, 1)
	return stream.Send(&wire.RunDown{Kind: &wire.RunDown_Declined{Declined: &wire.Declined{
		Reason:   reason,
		Revision: s.revision(),
	}}})
}

// readBody reads the request body, of at most maxBody bytes.
func readBody(stream wire.DRPCSidecar_RunStream, st *wire.RunStart) ([]byte, error) {
	body := st.Body
	if st.BodyRest < 0 || st.BodyRest > maxBody-int64(len(body)) {
		return nil, errors.New("run: body too large")
	}
	for rest := st.BodyRest; rest > 0; {
		up, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		chunk := up.GetBody().GetData()
		if len(chunk) == 0 || int64(len(chunk)) > rest {
			return nil, errors.New("run: a body part has the wrong size")
		}
		body = append(body, chunk...)
		rest -= int64(len(chunk))
	}
	return body, nil
}

// resume attaches a new stream to a known attempt.
func (s *Sidecar) resume(stream wire.DRPCSidecar_RunStream, st *wire.RunStart) error {
	runs := s.runs.Load()
	if st.Attempt.Incarnation != runs.incarnation {
		return errors.New("resume: another incarnation")
	}
	a := runs.find(idOf(st.Attempt))
	if a == nil {
		return errors.New("resume: the answer is not kept")
	}
	a.response.ack(st.FromOffset)
	return s.deliver(stream, readUpstream(stream, a), a, st.FromOffset)
}

// deliver sends the response from the offset on. If the stream is lost, the run
// continues for the grace period, during which the router may resume it.
func (s *Sidecar) deliver(stream wire.DRPCSidecar_RunStream, up *upstream, a *attempt, offset int64) error {
	reader := a.response.attach()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	stop := context.AfterFunc(up.ctx, cancel)
	defer stop()
	err := sendResponse(ctx, stream, a, reader, offset)
	if err == nil {
		// The router closes the stream once it has received the end.
		select {
		case <-up.done:
		case <-time.After(closeTimeout):
		}
	}
	switch state := up.state(); {
	case state == upCancelled:
		a.cancel(errCancelled)
	case err == nil && state == upClosed:
		a.runs.release(a.id)
	case a.response.detach(reader):
		time.AfterFunc(s.set.Backend.ResumeGrace.D(), func() {
			if a.response.abandoned(reader) {
				a.cancel(errAbandoned)
			}
		})
	}
	return err
}

// closeTimeout is how long a stream is kept open after the end was sent.
const closeTimeout = time.Second

// sendResponse sends the response from the offset on until its end.
func sendResponse(ctx context.Context, stream wire.DRPCSidecar_RunStream, a *attempt, reader uint64, offset int64) error {
	number := a.start.Attempt.Number
	buf := readBuffers.Get().(*[readSize]byte)
	defer readBuffers.Put(buf)
	into := buf[:]
	wantHead := true
	for {
		p, err := a.response.next(ctx, reader, offset, wantHead, into)
		if err != nil {
			return err
		}
		down := &wire.RunDown{}
		var chunk *wire.Chunk
		if len(p.data) > 0 {
			chunk = &wire.Chunk{Attempt: number, Offset: offset, Data: p.data}
		}
		switch {
		case p.head != nil:
			down.Kind, down.First, down.Last = &wire.RunDown_Head{Head: p.head}, chunk, p.end
		case chunk != nil:
			down.Kind, down.Last = &wire.RunDown_Chunk{Chunk: chunk}, p.end
		default:
			down.Kind = &wire.RunDown_End{End: p.end}
		}
		if err := stream.Send(down); err != nil {
			return err
		}
		if p.end != nil {
			return nil
		}
		wantHead = wantHead && p.head == nil
		offset += int64(len(p.data))
	}
}
