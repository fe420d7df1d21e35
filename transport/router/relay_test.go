package router

import (
	"net/http/httptest"
	"testing"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/wire"
)

func head(incarnation string) *wire.RunDown {
	return &wire.RunDown{Kind: &wire.RunDown_Head{Head: &wire.Head{Status: 200, Incarnation: incarnation}}}
}

func chunk(attempt uint32, offset int64, data string) *wire.RunDown {
	return &wire.RunDown{Kind: &wire.RunDown_Chunk{Chunk: &wire.Chunk{Attempt: attempt, Offset: offset, Data: []byte(data)}}}
}

func end(attempt uint32, length int64, of string) *wire.RunDown {
	return &wire.RunDown{Kind: &wire.RunDown_End{End: &wire.End{
		Attempt: attempt, Outcome: "completed", Length: length, Checksum: xxhash.Sum64String(of),
	}}}
}

// Guards against mixing answers: with late, foreign, repeated or missing
// messages, the caller gets a prefix of its own answer, and only the full answer
// counts as complete.
func TestRelayAcceptsOnlyItsOwnAnswer(t *testing.T) {
	tests := map[string]struct {
		messages  []*wire.RunDown
		state     relayState
		body      string
		droppedAs string
		complete  bool
	}{
		"complete":          {[]*wire.RunDown{head("i"), chunk(2, 0, "ab"), chunk(2, 2, "cd"), end(2, 4, "abcd")}, relayEnded, "abcd", "", true},
		"foreign chunk":     {[]*wire.RunDown{head("i"), chunk(2, 0, "ab"), chunk(1, 2, "xx"), chunk(2, 2, "cd"), end(2, 4, "abcd")}, relayEnded, "abcd", chunkForeign, true},
		"foreign end":       {[]*wire.RunDown{head("i"), chunk(2, 0, "ab"), end(1, 2, "ab")}, relayOpen, "ab", chunkForeign, false},
		"repeated chunk":    {[]*wire.RunDown{head("i"), chunk(2, 0, "ab"), chunk(2, 0, "ab"), end(2, 2, "ab")}, relayEnded, "ab", chunkRepeated, true},
		"missing chunk":     {[]*wire.RunDown{head("i"), chunk(2, 0, "ab"), chunk(2, 4, "ef")}, relayBroken, "ab", chunkMissing, false},
		"missing at end":    {[]*wire.RunDown{head("i"), chunk(2, 0, "ab"), end(2, 4, "abcd")}, relayBroken, "ab", chunkMissing, false},
		"missing head":      {[]*wire.RunDown{chunk(2, 0, "ab")}, relayBroken, "", chunkMissing, false},
		"other incarnation": {[]*wire.RunDown{head("other")}, relayBroken, "", chunkForeign, false},
		"resumed by other":  {[]*wire.RunDown{head("i"), chunk(2, 0, "ab"), head("other")}, relayBroken, "ab", chunkForeign, false},
		"late decline":      {[]*wire.RunDown{head("i"), chunk(2, 0, "ab"), {Kind: &wire.RunDown_Declined{Declined: &wire.Declined{}}}}, relayBroken, "ab", "", false},
		"wrong checksum":    {[]*wire.RunDown{head("i"), chunk(2, 0, "ab"), end(2, 2, "xx")}, relayEnded, "ab", answerMismatch, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := httptest.NewRecorder()
			m := newMetrics()
			l := newRelay(w, "r", m)
			l.expect(2, "i")
			var state relayState
			for _, m := range test.messages {
				state = l.handle(m)
			}
			c.Assert(state, qt.Equals, test.state)
			c.Assert(w.Body.String(), qt.Equals, test.body)
			c.Assert(state == relayEnded && l.complete(), qt.Equals, test.complete)
			if test.droppedAs != "" {
				c.Assert(droppedCount(m, test.droppedAs), qt.Equals, int64(1))
			}
		})
	}
}

func droppedCount(m *metrics, kind string) int64 {
	v, ok := m.chunksDropped.Get(kind).(interface{ Value() int64 })
	if !ok {
		return 0
	}
	return v.Value()
}
