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

// cutReader returns the text in chunks of the given sizes and calls onRead
// before each.
type cutReader struct {
	text   []byte
	cuts   []byte
	onRead func()
}

func (r *cutReader) Read(p []byte) (int, error) {
	r.onRead()
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

// costOf copies a response that arrives in the given chunks and returns its cost.
// It checks the copied bytes, and that the cost never decreases meanwhile.
func costOf(c *qt.C, text, cuts []byte) float64 {
	a := &attempt{response: newResponseBuffer(len(text) + 1)}
	a.meter.kind, a.meter.promptWeight = config.KindModel, 0.1
	a.meter.start(time.Now())
	last := 0.0
	watch := func() {
		cost := a.meter.cost()
		c.Check(cost >= last, qt.IsTrue, qt.Commentf("%v after %v", cost, last))
		last = cost
	}
	end := copyResponse(context.Background(), a, &cutReader{text: text, cuts: cuts, onRead: watch})
	c.Check(end.Outcome, qt.Equals, string(outcome.Completed))
	c.Check(end.Length, qt.Equals, int64(len(text)))
	c.Check(end.Checksum, qt.Equals, xxhash.Sum64(text))
	c.Check(bytes.Equal(a.response.buf, text), qt.IsTrue)
	cost := a.meter.cost()
	c.Check(cost >= 0 && !math.IsInf(cost, 0), qt.IsTrue, qt.Commentf("%v", cost))
	c.Check(a.meter.cost(), qt.Equals, cost)
	c.Check(wire.Amount(cost), qt.Equals, cost)
	return cost
}

// Whatever an engine sends, in whatever chunks: the bytes are copied unchanged,
// the running cost never decreases, the final cost is not negative, and neither
// depends on the chunk boundaries.
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

// A usage object that cannot be decoded must not leave partial values that are
// taken for those of another event.
func TestUsageIsReadFromOneEvent(t *testing.T) {
	c := qt.New(t)
	_, ok := lastUsage([]byte("data: {}\n\ndata: {\"usage\":{\"completion_tokens\":9},\"usage\":7}\n\n"))
	c.Assert(ok, qt.IsFalse)
}
