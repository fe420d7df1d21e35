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

// Bounds of what the headers may say.
const (
	maxKey      = 255
	maxCostHint = 1e9
	// fieldOverhead is counted for each header field beside its text.
	fieldOverhead = 4
)

// options is what a caller asks for in headers.
type options struct {
	key           string
	nonIdempotent bool
	deadline      time.Duration
	estimate      float64
}

// readOptions reads the caller's headers; its error names the header.
func readOptions(h http.Header, longest time.Duration) (options, error) {
	o := options{deadline: longest, estimate: 1}
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

// readDeadline shortens the deadline; a longer one than allowed is cut.
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

// headersFit reports whether the headers keep their bounds.
func headersFit(h http.Header, limits settings.CallerLimits) bool {
	fields, bytes := 0, 0
	for name, values := range h {
		for _, v := range values {
			fields++
			bytes += len(name) + len(v) + fieldOverhead
		}
	}
	return fields <= limits.HeaderFields && int64(bytes) <= limits.Headers.Bytes()
}

// ownHeaders are read by the router or belong to one connection; they are not
// passed on.
var ownHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Content-Length": true,
	"Traceparent": true, "X-Request-Id": true, "X-Team": true, headerKey: true,
}

// passedHeaders returns the headers that the backend server gets.
func passedHeaders(h http.Header) []*wire.Header {
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

// namedByConnection reports whether the Connection header keeps a field to
// this connection.
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
