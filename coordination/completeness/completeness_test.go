package completeness

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against taking the end of the connection for the end of the message: the verdict
// depends on the framing and on where in the stream the response ended.
func TestJudgeRequiresEvidenceOfCompleteness(t *testing.T) {
	for name, tc := range map[string]struct {
		answer Answer
		want   Verdict
	}{
		"chunks, ended":                          {Answer{Framing: Chunks, IsStream: true, Events: 3}, Whole},
		"length, ended":                          {Answer{Framing: Length, IsStream: true, Events: 3}, Whole},
		"no body":                                {Answer{Framing: NoBody}, Whole},
		"an empty stream, ended":                 {Answer{Framing: Chunks, IsStream: true}, Whole},
		"chunks, ended inside an event":          {Answer{Framing: Chunks, IsStream: true, Events: 3, IsInside: true}, Broken},
		"length, ended inside an event":          {Answer{Framing: Length, IsStream: true, Events: 3, IsInside: true}, Broken},
		"chunks, closed":                         {Answer{Framing: Chunks, End: Closed, IsStream: true, Events: 3}, Broken},
		"length, closed":                         {Answer{Framing: Length, End: Closed}, Broken},
		"length, reset":                          {Answer{Framing: Length, End: Reset}, Broken},
		"no framing, closed inside an event":     {Answer{Framing: Connection, End: Closed, IsStream: true, Events: 3, IsInside: true}, Broken},
		"no framing, closed before any event":    {Answer{Framing: Connection, End: Closed, IsStream: true}, Broken},
		"no framing, closed between two events":  {Answer{Framing: Connection, End: Closed, IsStream: true, Events: 3}, Unmarked},
		"no framing, reset between two events":   {Answer{Framing: Connection, End: Reset, IsStream: true, Events: 3}, Broken},
		"no framing, plain, closed":              {Answer{Framing: Connection, End: Closed}, Unmarked},
		"no framing, plain, reset":               {Answer{Framing: Connection, End: Reset}, Broken},
		"bytes that are no answer":               {Answer{Framing: Chunks, End: Invalid}, Broken},
		"a continuation without an event, ended": {Answer{Framing: Chunks, IsStream: true, Continues: true}, Broken},
		"a continuation with one, ended":         {Answer{Framing: Chunks, IsStream: true, Continues: true, Events: 1}, Whole},
	} {
		qt.Check(t, Judge(tc.answer), qt.Equals, tc.want, qt.Commentf(name))
	}
}

// The kernel closes the connections of a crashed server cleanly, too. The crash shows only in
// that the server refuses new connections.
func TestUnmarkedEndIsSettledByServerState(t *testing.T) {
	qt.Check(t, Unmarked.Settle(Refuses), qt.Equals, Broken)
	qt.Check(t, Unmarked.Settle(Takes), qt.Equals, Whole)
	qt.Check(t, Unmarked.Settle(Silent), qt.Equals, Whole)
	qt.Check(t, Whole.Settle(Refuses), qt.Equals, Whole)
	qt.Check(t, Broken.Settle(Takes), qt.Equals, Broken)
}

// For any response: a reset, an end before the end mark and a partial event are never complete,
// and a response that is judged complete had an end mark.
func TestIncompleteAnswerIsNeverWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Answer{
			Framing: Framing(rapid.IntRange(0, int(Connection)).Draw(t, "framing")), End: End(rapid.IntRange(0, int(GivenUp)).Draw(t, "end")),
			IsStream: rapid.Bool().Draw(t, "stream"), Events: rapid.IntRange(0, 3).Draw(t, "events"),
			IsInside: rapid.Bool().Draw(t, "inside"), Continues: rapid.Bool().Draw(t, "continues"),
		}
		v := Judge(a)
		if v == Whole && a.End != Marked {
			t.Fatalf("%+v: whole without a mark", a)
		}
		if v != Broken && (a.IsStream && a.IsInside || a.End == Reset || a.End == Invalid) {
			t.Fatalf("%+v: %s", a, v)
		}
		if v == Unmarked && a.Framing != Connection {
			t.Fatalf("%+v: unmarked", a)
		}
	})
}
