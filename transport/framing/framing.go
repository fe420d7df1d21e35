// Package framing tells of answers over HTTP/1.1 how they say where their body ends, and how
// their reading ended.
//
// transport/backend and transport/sidecar call it, for coordination/completeness.
package framing

import (
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/completeness"
)

// Of returns how the answer, as net/http read it, tells where its body ends. The body must
// be the one that net/http made.
func Of(resp *http.Response) completeness.Framing {
	switch {
	case resp.Body == http.NoBody && resp.ContentLength <= 0:
		return completeness.NoBody
	case resp.ContentLength >= 0:
		return completeness.Length
	case len(resp.TransferEncoding) > 0:
		return completeness.Chunks
	default:
		return completeness.Connection
	}
}

// End returns how the reading of a body in the framing ended, by the error of its last read:
// nil when it was not read to its end.
func End(f completeness.Framing, err error) completeness.End {
	var network net.Error
	switch {
	case err == nil, errors.Is(err, net.ErrClosed):
		return completeness.GivenUp
	case errors.Is(err, io.EOF) && f == completeness.Connection:
		return completeness.Closed
	case errors.Is(err, io.EOF):
		return completeness.Marked
	case errors.Is(err, io.ErrUnexpectedEOF):
		return completeness.Closed
	case errors.As(err, &network):
		return completeness.Reset
	default:
		return completeness.Invalid
	}
}
