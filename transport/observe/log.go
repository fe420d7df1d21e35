// Package observe sets up what a process shows of itself: logs, metrics and
// health.
package observe

import (
	"os"
	"time"

	"github.com/go-kit/log"
)

// NewLogger returns a logger that writes one key=value line per event to
// standard error. The role and id name the process.
func NewLogger(role, id string) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	stamp := log.TimestampFormat(func() time.Time { return time.Now().UTC() }, time.RFC3339Nano)
	return log.With(l, "ts", stamp, "role", role, "id", id)
}
