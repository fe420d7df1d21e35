// Package framing determines how an HTTP/1.1 response delimits its body and how the reading of
// the body ended, as input to coordination/completeness.
//
// It is used by transport/backend and transport/sidecar.
package framing

import (
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/completeness"
)

// Range of the statuses of responses (RFC 9110, section 15).
const minStatus, maxStatus = 100, 599

// IsStatus reports whether the status is one that a response can have. Of others nothing is known, so what carries
// them is no response: neither an interim nor a final one.
func IsStatus(status int) bool { return status >= minStatus && status <= maxStatus }

// Of returns how the end of the response's body is delimited. The response and its body must be
// those that net/http returned.
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

// End returns how the reading of a body with the given framing ended. err is the error of the
// last read, or nil if the body was not read to its end.
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
