package sidecar

import (
	"context"
	"io"
	"net/http"
	"strings"

	"goldcrestport/coordination/completeness"
	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/eventstream"
	"goldcrestport/transport/framing"
)

// eventStream is the media type of a streamed answer.
const eventStream = "text/event-stream"

// isStream reports whether the answer is a stream of events.
func isStream(resp *http.Response) bool {
	return resp.StatusCode < http.StatusMultipleChoices && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream)
}

// followed is the body of an answer that is followed to its end.
type followed struct {
	body     io.Reader
	framing  completeness.Framing
	isStream bool
	// position is that in the stream's events, and err what the last read returned.
	position eventstream.Position
	err      error
}

func follow(resp *http.Response) *followed {
	return &followed{body: resp.Body, framing: framing.Of(resp), isStream: isStream(resp)}
}

// Read implements io.Reader.
func (f *followed) Read(p []byte) (int, error) {
	n, err := f.body.Read(p)
	if f.isStream {
		f.position.Advance(p[:n])
	}
	f.err = err
	return n, err
}

// verdict says what the end of the answer means.
func (f *followed) verdict() completeness.Verdict {
	return completeness.Judge(completeness.Answer{
		Framing: f.framing, End: framing.End(f.framing, f.err),
		IsStream: f.isStream, Events: f.position.Count(), IsInside: f.position.IsInside(),
	})
}

// checkWhole turns the end of an answer that was read without an error into a failure if the
// answer is not whole.
func (s *Sidecar) checkWhole(ctx context.Context, end *wire.End, body *followed) {
	if end.Outcome != string(outcome.Completed) {
		return
	}
	verdict := body.verdict()
	if verdict == completeness.Unmarked {
		verdict = verdict.Settle(s.backend.sign(ctx))
	}
	if verdict == completeness.Broken {
		end.Outcome, end.Reason = string(outcome.Failed), string(outcome.ReasonBackend)
	}
}
