package sidecar

import (
	"bytes"
	"encoding/json"
	"sync/atomic"
	"time"

	"goldcrestport/state/config"
)

// eventSeparator ends a server-sent event.
var eventSeparator = []byte("\n\n")

// meter counts the cost of one attempt while it runs.
type meter struct {
	kind         config.ServiceKind
	promptWeight float64
	started      atomic.Int64
	tokens       atomic.Int64
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
		m.tokens.Add(int64(bytes.Count(part, eventSeparator)))
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

// settle fixes the final cost from the answer's tail, if it tells.
func (m *meter) settle(tail []byte) {
	cost := m.cost()
	if u, ok := lastUsage(tail); m.kind == config.KindModel && ok {
		fresh := u.Usage.PromptTokens - u.Usage.Details.CachedTokens
		cost = float64(u.Usage.CompletionTokens) + m.promptWeight*float64(fresh)
	}
	m.final.Store(&cost)
}

// lastUsage finds the usage object in a whole answer or in the last events of
// a stream.
func lastUsage(tail []byte) (usage, bool) {
	var u usage
	if json.Unmarshal(tail, &u) == nil && u.Usage != nil {
		return u, true
	}
	events := bytes.Split(tail, eventSeparator)
	for i := len(events) - 1; i >= 0; i-- {
		data, found := bytes.CutPrefix(bytes.TrimSpace(events[i]), []byte("data:"))
		if found && json.Unmarshal(data, &u) == nil && u.Usage != nil {
			return u, true
		}
	}
	return u, false
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
