package settings

import "time"

// Platform configures access to the platform.
type Platform struct {
	// URL of the platform's HTTP interface.
	URL string `json:"url"`
	// Timeout of one call. Default 1s.
	Timeout Duration `json:"timeout"`
	// InstancesEvery is the time between reads of the instance list.
	// Default 1s.
	InstancesEvery Duration `json:"instances_every"`
}

// Stop configures a graceful shutdown.
type Stop struct {
	// Bound is the time after which work still running is ended. Default 30s.
	Bound Duration `json:"bound"`
	// Linger is the time in which the process reports that it is not ready but
	// still accepts new work. Default 0s.
	Linger Duration `json:"linger"`
}

// LogLevel is the lowest level that is logged.
type LogLevel string

// Log levels, from most to least.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Log configures logging.
type Log struct {
	// Level below which events are dropped. Default "info".
	Level LogLevel `json:"level"`
}

// TraceExporter is the kind of exporter that spans are sent to.
type TraceExporter string

// Trace exporters.
const (
	TraceNone   TraceExporter = "none"
	TraceStdout TraceExporter = "stdout"
	TraceOTLP   TraceExporter = "otlp-http"
)

// Trace configures which requests are traced and where their spans are sent.
type Trace struct {
	// Exporter of the spans. Default "none".
	Exporter TraceExporter `json:"exporter"`
	// Endpoint of the collector's HTTP interface, for "otlp-http".
	Endpoint string `json:"endpoint,omitempty"`
	// Fraction of requests that are traced if the caller does not decide it,
	// 0 to 1. Default 0.01.
	Fraction float64 `json:"fraction"`
}

func defaultPlatform() Platform {
	return Platform{Timeout: Duration(time.Second), InstancesEvery: Duration(time.Second)}
}

func defaultTrace() Trace { return Trace{Exporter: TraceNone, Fraction: 0.01} }

func defaultStop() Stop { return Stop{Bound: Duration(30 * time.Second)} }

// checkConflicts reports conflicts between the times of a graceful shutdown.
func (s Stop) checkConflicts(p *Problems) {
	if s.Bound < s.Linger {
		p.add("stop.bound", "%s is below stop.linger, %s", s.Bound.D(), s.Linger.D())
	}
}

// checkConflicts reports conflicts between the trace settings.
func (t Trace) checkConflicts(p *Problems) {
	if t.Exporter == TraceOTLP && t.Endpoint == "" {
		p.add("trace.endpoint", "is required by trace.exporter %q", TraceOTLP)
	}
	if t.Exporter != TraceOTLP && t.Endpoint != "" {
		p.add("trace.endpoint", "is used by trace.exporter %q only", TraceOTLP)
	}
}
