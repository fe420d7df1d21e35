package runs

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"
)

func TestJournalRecordsStartAndEnd(t *testing.T) {
	c := quicktest.New(t)
	var journal bytes.Buffer
	l := NewLog(1)
	l.Journal(&journal)
	r := httptest.NewRequest("POST", "/", nil)
	r.Header.Set("X-Call-Id", "c-1")
	h := l.Start(r)
	_, _ = h.Write([]byte("answer"))
	h.End(Done)
	h.End(Cancelled)
	d := json.NewDecoder(&journal)
	var start, end Line
	c.Assert(d.Decode(&start), quicktest.IsNil)
	c.Assert(d.Decode(&end), quicktest.IsNil)
	c.Assert(d.More(), quicktest.IsFalse)
	c.Assert(start.State, quicktest.Equals, Running)
	c.Assert(end.State, quicktest.Equals, Done)
	c.Assert(end.CallID, quicktest.Equals, "c-1")
	c.Assert(end.Bytes, quicktest.Equals, int64(6))
	c.Assert(end.Born, quicktest.Equals, start.Born)
}
