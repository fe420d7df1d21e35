package observe

import (
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"goldcrestport/protocol/settings"
)

// NewLogger returns a logger that writes one logfmt line per event. The role and
// id identify the process. An event without a level is logged as info.
func NewLogger(w io.Writer, role, id string, set settings.Log) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	stamp := log.TimestampFormat(func() time.Time { return time.Now().UTC() }, time.RFC3339Nano)
	l = log.With(l, "ts", stamp, "role", role, "id", id)
	l = level.NewFilter(l, levelFilter(set.Level))
	return level.NewInjector(l, level.InfoValue())
}

func levelFilter(minimum settings.LogLevel) level.Option {
	switch minimum {
	case settings.LogDebug:
		return level.AllowDebug()
	case settings.LogWarn:
		return level.AllowWarn()
	case settings.LogError:
		return level.AllowError()
	default:
		return level.AllowInfo()
	}
}
