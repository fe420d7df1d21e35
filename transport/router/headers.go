package router

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/settings"
	"goldcrestport/protocol/wire"
)

// Request headers that the router reads.
const (
	headerKey           = "Idempotency-Key"
	headerNonIdempotent = "Goldcrest-Non-Idempotent"
	headerDeadline      = "Goldcrest-Deadline"
	headerCostHint      = "Goldcrest-Cost-Hint"
	headerRequestID     = "Goldcrest-Request-Id"
)

// Limits of header values.
const (
	maxKey      = 255
	maxCostHint = 1e9
	// fieldOverhead is the number of bytes counted for each header field in
	// addition to its name and value.
	fieldOverhead = 4
)

// options are the request options that a caller sets in headers.
type options struct {
	key           string
	nonIdempotent bool
	deadline      time.Duration
	estimate      float64
}

// readOptions parses the caller's option headers; an error includes the name of
// the header.
func readOptions(h http.Header, maxDeadline time.Duration) (options, error) {
	o := options{deadline: maxDeadline, estimate: 1}
	for _, read := range []struct {
		name string
		into func(string) error
	}{
		{headerKey, o.readKey},
		{headerNonIdempotent, o.readNonIdempotent},
		{headerDeadline, o.readDeadline},
		{headerCostHint, o.readCostHint},
	} {
		values := h.Values(read.name)
		if len(values) == 0 {
			continue
		}
		if len(values) > 1 {
			return o, errors.Newf("%s is given more than once", read.name)
		}
		if err := read.into(values[0]); err != nil {
			return o, errors.Wrap(err, read.name)
		}
	}
	return o, nil
}

func (o *options) readKey(v string) error {
	if v == "" || len(v) > maxKey {
		return errors.Newf("want 1 to %d characters", maxKey)
	}
	for _, c := range []byte(v) {
		if c < ' ' || c > '~' {
			return errors.New("want printable ASCII characters")
		}
	}
	o.key = v
	return nil
}

func (o *options) readNonIdempotent(v string) error {
	if v != "true" && v != "false" {
		return errors.New("want true or false")
	}
	o.nonIdempotent = v == "true"
	return nil
}

// readDeadline sets a shorter deadline; a longer one than allowed is capped.
func (o *options) readDeadline(v string) error {
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		return errors.New(`want a positive duration such as "30s"`)
	}
	o.deadline = min(d, o.deadline)
	return nil
}

func (o *options) readCostHint(v string) error {
	cost, err := strconv.ParseFloat(v, 64)
	if err != nil || !(cost > 0 && cost <= maxCostHint) {
		return errors.Newf("want a number above 0 and up to %g", maxCostHint)
	}
	o.estimate = cost
	return nil
}

// headersWithinLimits reports whether the headers are within their limits.
func headersWithinLimits(h http.Header, limits settings.CallerLimits) bool {
	fields, bytes := 0, 0
	for name, values := range h {
		for _, v := range values {
			fields++
			bytes += len(name) + len(v) + fieldOverhead
		}
	}
	return fields <= limits.HeaderFields && int64(bytes) <= limits.Headers.Bytes()
}

// ownHeaders are consumed by the router or apply to one connection; they are
// not forwarded.
var ownHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Content-Length": true,
	"Traceparent": true, "X-Request-Id": true, "X-Team": true, headerKey: true,
}

// forwardedHeaders returns the headers to forward to the backend server.
func forwardedHeaders(h http.Header) []*wire.Header {
	var out []*wire.Header
	for name, values := range h {
		if ownHeaders[name] || namedByConnection(h, name) {
			continue
		}
		for _, v := range values {
			out = append(out, &wire.Header{Name: name, Value: v})
		}
	}
	return out
}

// namedByConnection reports whether the Connection header lists the field,
// which makes it hop-by-hop.
func namedByConnection(h http.Header, name string) bool {
	for _, v := range h["Connection"] {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}
