package callerbody

import (
	"io"
	"net/http"
	"time"
)

// discardIdle is the longest pause of a caller whose refused body is still read.
const discardIdle = 2 * time.Second

// discardBuffer is the size of one read of a refused body, in bytes.
const discardBuffer = 8 << 10

// Discard reads on what remains of a refused body, up to the limit in bytes, and drops it, so that a caller that
// sends its whole body before it reads sees the refusal and no reset. It first delivers the response, which must be
// complete. It ends at the deadline, when the caller pauses for long, and once stop returns true.
func Discard(w http.ResponseWriter, body io.Reader, limit int64, deadline time.Time, stop func() bool) {
	rc := http.NewResponseController(w)
	if rc.Flush() != nil {
		return
	}
	buffer := make([]byte, discardBuffer)
	for read := int64(0); read <= limit && !stop(); {
		until := time.Now().Add(discardIdle)
		if deadline.Before(until) {
			until = deadline
		}
		if rc.SetReadDeadline(until) != nil {
			return
		}
		n, err := body.Read(buffer)
		if err != nil {
			return
		}
		read += int64(n)
	}
}
