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

// maxBody bounds a request body, in bytes.
const maxBody = 64 << 20

// Reasons of a Declined.
const (
	reasonNoSlot      = "no free slot"
	reasonIncarnation = "another incarnation"
	reasonBlocked     = "settled before"
	reasonWithdrawn   = "withdrawn"
	reasonLease       = "no lease"
)

// attempt is one attempt that this sidecar was offered.
type attempt struct {
	// runs is the table that the attempt is in.
	runs    *runs
	key     uint64
	id      attempts.ID
	start   *wire.RunStart
	verdict chan verdict
	meter   meter
	answer  *answer
	// prefix of the prompt, 0 for none.
	prefix uint64
	// status of the backend server's answer, 0 before there is one.
	status int
	// received is when the attempt was offered.
	received time.Time
	// ctx of the run, which outlives the stream that started it.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// lastKey numbers the attempts of this process.
var lastKey atomic.Uint64

func (s *Sidecar) newAttempt(runs *runs, st *wire.RunStart) *attempt {
	a := &attempt{
		runs:     runs,
		key:      lastKey.Add(1),
		id:       idOf(st.Attempt),
		start:    st,
		verdict:  make(chan verdict, 1),
		answer:   newAnswer(answerWindow),
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
	s.held.Add(1)
	defer s.held.Add(-1)
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
		return s.offered(stream, runs, st, body)
	case attempts.Blocked, attempts.Declined:
		return s.decline(stream, reasonBlocked)
	default:
		return errors.New("run: the attempt is known")
	}
}

// offered brings a new attempt to its verdict, and runs it.
func (s *Sidecar) offered(stream wire.DRPCSidecar_RunStream, runs *runs, st *wire.RunStart, body []byte) error {
	a := s.newAttempt(runs, st)
	up := readUp(stream, a)
	s.chooser.post(s.ctx, message{attempt: a, event: share.Offered{
		Attempt:  a.key,
		Pull:     st.Pull,
		Router:   st.Router,
		Team:     st.Team,
		Class:    st.Class,
		Estimate: wire.Amount(st.Estimate),
	}})
	select {
	case v := <-a.verdict:
		if v == verdictDecline {
			a.runs.decline(a.id)
			return s.decline(stream, reasonNoSlot)
		}
	case <-up.done:
	}
	if up.how() != upOpen {
		s.withdraw(a)
		return errors.New("run: the stream ended before the start")
	}
	if !s.slot.mayStart(runs) {
		s.withdraw(a)
		return s.decline(stream, reasonLease)
	}
	if !runs.start(a) {
		s.free(a)
		return s.decline(stream, reasonWithdrawn)
	}
	s.started()
	s.held.Add(1)
	go s.execute(a, body)
	return s.deliver(stream, up, a, 0)
}

// withdraw gives up an attempt that was not started.
func (s *Sidecar) withdraw(a *attempt) {
	a.runs.decline(a.id)
	s.free(a)
}

// free gives the attempt's slot back.
func (s *Sidecar) free(a *attempt) {
	s.chooser.post(s.ctx, message{event: share.Ended{
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

// readBody collects the request body, which is bounded.
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
		part := up.GetBody().GetData()
		if len(part) == 0 || int64(len(part)) > rest {
			return nil, errors.New("run: a body part has the wrong size")
		}
		body = append(body, part...)
		rest -= int64(len(part))
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
	a.answer.ack(st.FromOffset)
	return s.deliver(stream, readUp(stream, a), a, st.FromOffset)
}

// deliver sends the answer from the offset on. If the stream is lost, the run
// goes on for the grace time, in which the router may resume it.
func (s *Sidecar) deliver(stream wire.DRPCSidecar_RunStream, up *upstream, a *attempt, offset int64) error {
	reader := a.answer.attach()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	stop := context.AfterFunc(up.ctx, cancel)
	defer stop()
	err := sendAnswer(ctx, stream, a, reader, offset)
	if err == nil {
		// The router closes the stream when it has the end.
		select {
		case <-up.done:
		case <-time.After(closeWait):
		}
	}
	switch how := up.how(); {
	case how == upCancelled:
		a.cancel(errCancelled)
	case err == nil && how == upClosed:
		a.runs.release(a.id)
	case a.answer.detach(reader):
		time.AfterFunc(s.set.Backend.ResumeGrace.D(), func() {
			if a.answer.abandoned(reader) {
				a.cancel(errAbandoned)
			}
		})
	}
	return err
}

// closeWait is how long a stream is held open after the end was sent.
const closeWait = time.Second

// sendAnswer sends what the answer has from the offset on, until the end.
func sendAnswer(ctx context.Context, stream wire.DRPCSidecar_RunStream, a *attempt, reader uint64, offset int64) error {
	number := a.start.Attempt.Number
	buf := buffers.Get().(*[readSize]byte)
	defer buffers.Put(buf)
	into := buf[:]
	wantHead := true
	for {
		p, err := a.answer.next(ctx, reader, offset, wantHead, into)
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
