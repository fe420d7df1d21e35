package sidecar

import (
	"bytes"
	"encoding/json"
	"sync/atomic"
	"time"

	"goldcrestport/state/config"
	"goldcrestport/state/eventstream"
)

// eventSeparator ends a server-sent event.
var eventSeparator = []byte("\n\n")

// meter measures the cost of one attempt while it runs.
type meter struct {
	kind         config.ServiceKind
	promptWeight float64
	started      atomic.Int64
	tokens       atomic.Int64
	events       eventstream.Position
	final        atomic.Pointer[float64]
}

// start records the start time of the run.
func (m *meter) start(now time.Time) { m.started.Store(now.UnixNano()) }

// cost returns the cost so far: tokens for a model, milliseconds of slot time
// for a plain service.
func (m *meter) cost() float64 {
	if f := m.final.Load(); f != nil {
		return *f
	}
	started := m.started.Load()
	if started == 0 {
		return 0
	}
	if m.kind == config.KindModel {
		return float64(m.tokens.Load())
	}
	return float64(time.Now().UnixNano()-started) / float64(time.Millisecond)
}

// settled reports whether the final cost is fixed.
func (m *meter) settled() bool { return m.final.Load() != nil }

// count adds the tokens of a chunk of a streamed response.
func (m *meter) count(chunk []byte) {
	if m.kind == config.KindModel {
		m.events.Advance(chunk)
		m.tokens.Store(int64(m.events.Count()))
	}
}

// usage is the part of a chat completion from which its cost is computed.
type usage struct {
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// cost returns the cost of the usage. An engine may report any numbers;
// negative ones count as zero.
func (u usage) cost(promptWeight float64) float64 {
	prompt := max(u.Usage.PromptTokens, 0)
	fresh := prompt - min(max(u.Usage.Details.CachedTokens, 0), prompt)
	return float64(max(u.Usage.CompletionTokens, 0)) + promptWeight*float64(fresh)
}

// settle fixes the final cost: that of the usage object in the response's tail
// if there is one, otherwise the cost counted so far.
func (m *meter) settle(tail []byte) {
	cost := m.cost()
	if u, ok := lastUsage(tail); m.kind == config.KindModel && ok {
		cost = u.cost(m.promptWeight)
	}
	m.final.Store(&cost)
}

// lastUsage finds the usage object in a complete response or in the last
// events of a stream.
func lastUsage(tail []byte) (usage, bool) {
	if u, ok := usageOf(tail); ok {
		return u, true
	}
	events := bytes.Split(tail, eventSeparator)
	for i := len(events) - 1; i >= 0; i-- {
		data, found := bytes.CutPrefix(bytes.TrimSpace(events[i]), []byte("data:"))
		if u, ok := usageOf(data); found && ok {
			return u, true
		}
	}
	return usage{}, false
}

// usageOf decodes one JSON object.
func usageOf(data []byte) (usage, bool) {
	var u usage
	ok := json.Unmarshal(data, &u) == nil && u.Usage != nil
	return u, ok
}

// tailSize is how much of the end of a response is kept to find the usage
// object, in bytes.
const tailSize = 64 << 10

// tail keeps the last tailSize bytes of a response.
type tail struct{ buf []byte }

func (t *tail) write(p []byte) {
	t.buf = append(t.buf, p...)
	if over := len(t.buf) - tailSize; over > 0 {
		t.buf = append(t.buf[:0], t.buf[over:]...)
	}
}
