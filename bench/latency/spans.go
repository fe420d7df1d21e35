package latency

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/transport/observe"
)

// maxLine bounds one line of a process's log, in bytes.
const maxLine = 1 << 20

// span is what a breakdown needs of one exported span.
type span struct {
	Name        string
	SpanContext struct{ TraceID string }
	StartTime   time.Time
	EndTime     time.Time
}

// request holds the spans of one request by name.
type request map[string]span

func (r request) took(name string) time.Duration {
	return r[name].EndTime.Sub(r[name].StartTime)
}

// readSpans reads the spans in the logs, by trace.
func readSpans(dir string, names ...string) (map[string]request, error) {
	out := map[string]request{}
	for _, name := range names {
		if err := readLog(filepath.Join(dir, name+".log"), out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func readLog(path string, into map[string]request) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "spans")
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var s span
		if json.Unmarshal(lines.Bytes(), &s) != nil || s.Name == "" {
			continue // a log line
		}
		id := s.SpanContext.TraceID
		if into[id] == nil {
			into[id] = request{}
		}
		into[id][s.Name] = s
	}
	return lines.Err()
}

// Hop is the time that requests spend in one part of the path.
type Hop struct {
	Name   string  `json:"name"`
	Median float64 `json:"median_us"`
	P99    float64 `json:"p99_us"`
}

// hops takes the requests apart. Each span's own time is what its child spans
// leave of it.
func hops(requests map[string]request) []Hop {
	parts := []struct {
		name string
		took func(request) time.Duration
	}{
		{"router: caller's edge", func(r request) time.Duration {
			return r.took(observe.SpanReceive) - r.took(observe.SpanQueue) - r.took(observe.SpanDispatch)
		}},
		{"router: queue", func(r request) time.Duration { return r.took(observe.SpanQueue) }},
		{"link and the sidecar's choice", func(r request) time.Duration {
			return r.took(observe.SpanDispatch) - r.took(observe.SpanSidecar)
		}},
		{"sidecar: run", func(r request) time.Duration {
			return r.took(observe.SpanSidecar) - r.took(observe.SpanBackend)
		}},
		{"backend server's call", func(r request) time.Duration { return r.took(observe.SpanBackend) }},
	}
	out := make([]Hop, 0, len(parts))
	for _, part := range parts {
		var times []time.Duration
		for _, r := range requests {
			if len(r) == len(parts) {
				times = append(times, part.took(r))
			}
		}
		out = append(out, Hop{Name: part.name, Median: quantile(times, 0.5), P99: quantile(times, 0.99)})
	}
	return out
}
