package direct

import (
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"goldcrestport/protocol/settings"
)

// Guards against retries that cannot be told from the logs: each decision of the retry budget is
// logged with what it held, and counted by service, cause and verdict.
func TestEachRetryIsLogged(t *testing.T) {
	broken := newBackend(t, "i-1", func(io.Writer, *http.Request) bool { return false })
	alsoBroken := newBackend(t, "i-2", func(io.Writer, *http.Request) bool { return false })
	var lines lineBuffer
	f := startLogged(t, testConfig(1), log.NewLogfmtLogger(&lines), func(*settings.Direct, *testSource) {}, broken, alsoBroken)
	f.call("/safe/", "a1")
	line := lines.find("event=retry ", "request=a1")
	qt.Check(t, line, qt.Contains, "cause=failed verdict=granted sent=1 reached=1")
	qt.Check(t, line, qt.Contains, "requests=1 retries=0")
	qt.Check(t, line, qt.Contains, "routers=1")
	qt.Check(t, f.router.metrics.retries.Get("app/failed/granted").String(), qt.Equals, "1")
}
