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

// eventStream is the media type of a streamed response.
const eventStream = "text/event-stream"

// isStream reports whether the response is a stream of server-sent events.
func isStream(resp *http.Response) bool {
	return resp.StatusCode < http.StatusMultipleChoices && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream)
}

// trackedBody is a response body that records what is needed to decide whether
// it ended completely.
type trackedBody struct {
	body     io.Reader
	framing  completeness.Framing
	isStream bool
	// position is the position within the stream's events; err is the error of
	// the last read.
	position eventstream.Position
	err      error
}

func trackBody(resp *http.Response) *trackedBody {
	return &trackedBody{body: resp.Body, framing: framing.Of(resp), isStream: isStream(resp)}
}

// Read implements io.Reader.
func (f *trackedBody) Read(p []byte) (int, error) {
	n, err := f.body.Read(p)
	if f.isStream {
		f.position.Advance(p[:n])
	}
	f.err = err
	return n, err
}

// judge returns whether the end of the body marks a complete response.
func (f *trackedBody) judge() completeness.Verdict {
	return completeness.Judge(completeness.Answer{
		Framing: f.framing, End: framing.End(f.framing, f.err),
		IsStream: f.isStream, Events: f.position.Count(), IsInside: f.position.IsInside(),
	})
}

// checkComplete changes the outcome of a response that was read without an
// error to failed if the response is incomplete.
func (s *Sidecar) checkComplete(ctx context.Context, end *wire.End, body *trackedBody) {
	if end.Outcome != string(outcome.Completed) {
		return
	}
	verdict := body.judge()
	if verdict == completeness.Unmarked {
		verdict = verdict.Settle(s.backend.probeConnect(ctx))
	}
	if verdict == completeness.Broken {
		end.Outcome, end.Reason = string(outcome.Failed), string(outcome.ReasonBackend)
	}
}
