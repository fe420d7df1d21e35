package settings

import "time"

// Platform says where the platform is.
type Platform struct {
	// URL of the platform's HTTP interface.
	URL string `json:"url"`
	// Timeout of one call. Default 1s.
	Timeout Duration `json:"timeout"`
	// InstancesEvery is the time between reads of the instance list.
	// Default 1s.
	InstancesEvery Duration `json:"instances_every"`
}

// Stop bounds a graceful shutdown.
type Stop struct {
	// Bound after which what still runs is ended. Default 30s.
	Bound Duration `json:"bound"`
	// Linger is the time in which the process says that it is not ready and
	// still takes new work. Default 0s.
	Linger Duration `json:"linger"`
}

// LogLevel is the least level that is logged.
type LogLevel string

// Log levels, from most to least.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Log says what is logged.
type Log struct {
	// Level below which events are dropped. Default "info".
	Level LogLevel `json:"level"`
}

// TraceExporter says where spans go.
type TraceExporter string

// Trace exporters.
const (
	TraceNone   TraceExporter = "none"
	TraceStdout TraceExporter = "stdout"
	TraceOTLP   TraceExporter = "otlp-http"
)

// Trace says which requests are traced and where their spans go.
type Trace struct {
	// Exporter of the spans. Default "none".
	Exporter TraceExporter `json:"exporter"`
	// Endpoint of the collector's HTTP interface, for "otlp-http".
	Endpoint string `json:"endpoint,omitempty"`
	// Fraction of the requests that are traced when their caller does not
	// say, 0 to 1. Default 0.01.
	Fraction float64 `json:"fraction"`
}

func defaultPlatform() Platform {
	return Platform{Timeout: Duration(time.Second), InstancesEvery: Duration(time.Second)}
}

func defaultTrace() Trace { return Trace{Exporter: TraceNone, Fraction: 0.01} }

func defaultStop() Stop { return Stop{Bound: Duration(30 * time.Second)} }

// clashes of the times of a graceful shutdown.
func (s Stop) clashes(p *Problems) {
	if s.Bound < s.Linger {
		p.add("stop.bound", "%s is below stop.linger, %s", s.Bound.D(), s.Linger.D())
	}
}

// clashes of the trace settings.
func (t Trace) clashes(p *Problems) {
	if t.Exporter == TraceOTLP && t.Endpoint == "" {
		p.add("trace.endpoint", "is required by trace.exporter %q", TraceOTLP)
	}
	if t.Exporter != TraceOTLP && t.Endpoint != "" {
		p.add("trace.endpoint", "is used by trace.exporter %q only", TraceOTLP)
	}
}
