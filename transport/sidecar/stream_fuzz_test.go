package sidecar

import (
	"bytes"
	"context"
	"io"
	"math"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/config"
)

// cutReader hands the text out in parts of the given sizes and calls seen
// before each.
type cutReader struct {
	text []byte
	cuts []byte
	seen func()
}

func (r *cutReader) Read(p []byte) (int, error) {
	r.seen()
	if len(r.text) == 0 {
		return 0, io.EOF
	}
	n := len(r.text)
	if len(r.cuts) > 0 {
		n, r.cuts = int(r.cuts[0]), r.cuts[1:]
	}
	n = copy(p, r.text[:min(n, len(r.text))])
	r.text = r.text[n:]
	return n, nil
}

// costOf copies an answer that comes in the parts and returns its cost. It
// checks the bytes, and the cost on the way.
func costOf(c *qt.C, text, cuts []byte) float64 {
	a := &attempt{answer: newAnswer(len(text) + 1)}
	a.meter.kind, a.meter.promptWeight = config.KindModel, 0.1
	a.meter.start(time.Now())
	last := 0.0
	watch := func() {
		cost := a.meter.cost()
		c.Check(cost >= last, qt.IsTrue, qt.Commentf("%v after %v", cost, last))
		last = cost
	}
	end := copyAnswer(context.Background(), a, &cutReader{text: text, cuts: cuts, seen: watch})
	c.Check(end.Outcome, qt.Equals, string(outcome.Completed))
	c.Check(end.Length, qt.Equals, int64(len(text)))
	c.Check(end.Checksum, qt.Equals, xxhash.Sum64(text))
	c.Check(bytes.Equal(a.answer.buf, text), qt.IsTrue)
	cost := a.meter.cost()
	c.Check(cost >= 0 && !math.IsInf(cost, 0), qt.IsTrue, qt.Commentf("%v", cost))
	c.Check(a.meter.cost(), qt.Equals, cost)
	c.Check(wire.Amount(cost), qt.Equals, cost)
	return cost
}

// Whatever an engine sends, in whatever parts: the bytes pass unchanged, the
// cost counted while it runs never falls, the settled one is no less than
// nothing, and neither depends on where the parts end.
func FuzzEngineStream(f *testing.F) {
	event := "data: {\"choices\":[]}\n\n"
	for _, text := range []string{
		"", "\n", "\n\n\n", event + event + "data: [DONE]\n\n",
		event + "data: {\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":2}}\n\n",
		event + "data: {\"usage\":{\"prompt_tokens\":5,\"prompt_tokens_details\":{\"cached_tokens\":50}}}\n\n",
		"{\"usage\":{\"prompt_tokens\":-9223372036854775808,\"completion_tokens\":-4}}",
		"{\"usage\":{\"prompt_tokens\":9223372036854775807,\"prompt_tokens_details\":{\"cached_tokens\":-9223372036854775807}}}",
		"data: {}\n\ndata: {\"usage\":{\"completion_tokens\":9},\"usage\":7}\n\n",
	} {
		f.Add([]byte(text), []byte{1, 1, 1, 0, 2, 30, 1, 1, 1, 1, 1, 1, 1, 1})
		f.Add([]byte(text), bytes.Repeat([]byte{1}, len(text)))
	}
	f.Fuzz(func(t *testing.T, text, cuts []byte) {
		c := qt.New(t)
		c.Check(costOf(c, text, cuts), qt.Equals, costOf(c, text, nil))
	})
}

// A usage that could not be read leaves nothing behind for the next one.
func TestUsageIsReadFromOneEvent(t *testing.T) {
	c := qt.New(t)
	_, ok := lastUsage([]byte("data: {}\n\ndata: {\"usage\":{\"completion_tokens\":9},\"usage\":7}\n\n"))
	c.Assert(ok, qt.IsFalse)
}
