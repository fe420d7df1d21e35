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

// meter counts the cost of one attempt while it runs.
type meter struct {
	kind         config.ServiceKind
	promptWeight float64
	started      atomic.Int64
	tokens       atomic.Int64
	events       eventstream.Position
	final        atomic.Pointer[float64]
}

// start marks the begin of the run.
func (m *meter) start(now time.Time) { m.started.Store(now.UnixNano()) }

// cost returns the cost so far: tokens of a model, slot milliseconds of a
// plain service.
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

// read counts a part of a streamed answer.
func (m *meter) read(part []byte) {
	if m.kind == config.KindModel {
		m.events.Advance(part)
		m.tokens.Store(int64(m.events.Count()))
	}
}

// usage is the part of a chat completion that tells its cost.
type usage struct {
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// cost returns what the usage comes to. An engine may tell anything; no part
// counts less than nothing.
func (u usage) cost(promptWeight float64) float64 {
	prompt := max(u.Usage.PromptTokens, 0)
	fresh := prompt - min(max(u.Usage.Details.CachedTokens, 0), prompt)
	return float64(max(u.Usage.CompletionTokens, 0)) + promptWeight*float64(fresh)
}

// settle fixes the final cost from the answer's tail, if it tells.
func (m *meter) settle(tail []byte) {
	cost := m.cost()
	if u, ok := lastUsage(tail); m.kind == config.KindModel && ok {
		cost = u.cost(m.promptWeight)
	}
	m.final.Store(&cost)
}

// lastUsage finds the usage object in a whole answer or in the last events of
// a stream.
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

// usageOf reads one object.
func usageOf(data []byte) (usage, bool) {
	var u usage
	ok := json.Unmarshal(data, &u) == nil && u.Usage != nil
	return u, ok
}

// tailSize is how much of an answer's end is kept to read the usage, in bytes.
const tailSize = 64 << 10

// tail keeps the last bytes of an answer.
type tail struct{ buf []byte }

func (t *tail) write(p []byte) {
	t.buf = append(t.buf, p...)
	if over := len(t.buf) - tailSize; over > 0 {
		t.buf = append(t.buf[:0], t.buf[over:]...)
	}
}
