package observe

import (
	"bytes"
	"encoding/json"
	"expvar"
	"fmt"
	"maps"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Vars is the metrics registry of one process. It serves them together with the
// variables that package expvar publishes.
type Vars struct {
	metrics *expvar.Map
}

// NewVars returns a registry with the metrics common to all processes.
func NewVars() *Vars {
	v := &Vars{metrics: new(expvar.Map).Init()}
	v.Func("process_goroutines", func() any { return runtime.NumGoroutine() })
	v.Func("process_cpu_us", func() any { return cpuTime().Microseconds() })
	return v
}

// Int adds a counter or gauge.
func (v *Vars) Int(name string) *expvar.Int {
	i := new(expvar.Int)
	v.metrics.Set(name, i)
	return i
}

// Map adds a set of counters.
func (v *Vars) Map(name string) *expvar.Map {
	m := new(expvar.Map).Init()
	v.metrics.Set(name, m)
	return m
}

// Func adds a metric that is computed on each read. Its value must be encodable
// as JSON.
func (v *Vars) Func(name string, read func() any) { v.metrics.Set(name, expvar.Func(read)) }

// Names returns the names of all metrics of the process, sorted.
func (v *Vars) Names() []string {
	var out []string
	v.metrics.Do(func(kv expvar.KeyValue) { out = append(out, kv.Key) })
	return out
}

// ServeHTTP writes all metrics as one JSON object.
func (v *Vars) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var b bytes.Buffer
	separator := "{\n"
	write := func(kv expvar.KeyValue) {
		fmt.Fprintf(&b, "%s%q: %s", separator, kv.Key, kv.Value)
		separator = ",\n"
	}
	expvar.Do(write)
	v.metrics.Do(write)
	b.WriteString("\n}\n")
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write(b.Bytes())
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// ServeText writes the numeric metrics in the text format of scrapers, one
// "name value" or "name{key} value" per line.
func (v *Vars) ServeText(w http.ResponseWriter, _ *http.Request) {
	var b bytes.Buffer
	v.metrics.Do(func(kv expvar.KeyValue) { writeText(&b, kv) })
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write(b.Bytes())
}

func writeText(b *bytes.Buffer, kv expvar.KeyValue) {
	var value any
	if json.Unmarshal([]byte(kv.Value.String()), &value) != nil {
		return
	}
	writeNumbers(b, kv.Key, "", value)
}

// writeNumbers writes a number, or the numbers of a map with their key path as a
// label.
func writeNumbers(b *bytes.Buffer, name, label string, value any) {
	switch value := value.(type) {
	case float64:
		if label != "" {
			label = "{key=" + strconv.Quote(label) + "}"
		}
		fmt.Fprintf(b, "%s%s %v\n", name, label, value)
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(value)) {
			writeNumbers(b, name, strings.TrimPrefix(label+"/"+key, "/"), value[key])
		}
	}
}
