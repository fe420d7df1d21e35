package direct

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"goldcrestport/protocol/settings"
)

// find returns the first line that contains all the parts, waiting for it.
func (b *lineBuffer) find(parts ...string) string {
	for range 100 {
		for _, line := range strings.Split(b.String(), "\n") {
			if hasAll(line, parts) {
				return line
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return ""
}

func hasAll(line string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(line, part) {
			return false
		}
	}
	return true
}

// Guards against abandoned attempts that leave no trace: each attempt that is abandoned after
// its first byte is logged, besides any number of refusals in the same second.
func TestEachAbandonedAttemptIsLogged(t *testing.T) {
	silent := newBackend(t, "i-1", func(io.Writer, *http.Request) bool {
		time.Sleep(time.Second)
		return false
	})
	var lines lineBuffer
	f := startLogged(t, testConfig(1), log.NewLogfmtLogger(&lines), func(*settings.Direct, *testSource) {}, silent)
	for range 2 * failureLogLimit {
		f.call("/nowhere/", "refused")
	}
	f.call("/short/", "a1", testLeft, "150")
	line := lines.find("event=attempt_abandoned", "request=a1", "server=i-1")
	qt.Check(t, line, qt.Contains, "why=deadline")
	qt.Check(t, line, qt.Contains, "answered=false unacked=0")
	qt.Check(t, lines.find("event=request_ended", "request=a1"), qt.Not(qt.Equals), "")
}
