package completeness_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcrestport/coordination/completeness"
	"goldcrestport/state/eventstream"
)

// serverModel models servers that stream events to a router: with any framing, starting at any
// event, ending in any way and read in pieces of any size. Events are numbered from 1 to last.
type serverModel struct {
	t       *rapid.T
	last    int
	lineEnd string
}

// text returns the encoded events between two numbers, inclusive.
func (m serverModel) text(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d%sdata: e%d%s%s", n, m.lineEnd, n, m.lineEnd, m.lineEnd)
	}
	return b.String()
}

// answer draws the response of a server that is asked to continue after the event, how it ends
// and the server's state after it. early reports that the server stopped before the last event
// in a way that a reader can't detect between two events: it marked the end, or closed the
// connection and still accepts others.
func (m serverModel) answer(after int) (text string, a completeness.Answer, sign completeness.Sign, early bool) {
	from := after + 1
	if after > 0 && rapid.IntRange(0, 4).Draw(m.t, "wrong start") == 0 {
		from = rapid.IntRange(1, m.last).Draw(m.t, "from")
	}
	if after == 1 {
		// The increment of the ids is unknown after a single id, so a gap can't be detected.
		from = min(from, 2)
	}
	whole := m.text(from, m.last)
	text = whole[:rapid.IntRange(0, len(whole)).Draw(m.t, "cut")]
	if rapid.Bool().Draw(m.t, "to the end") {
		text = whole
	}
	a = completeness.Answer{
		Framing: rapid.SampledFrom([]completeness.Framing{completeness.Length, completeness.Chunks, completeness.Connection}).Draw(m.t, "framing"),
		End:     rapid.SampledFrom([]completeness.End{completeness.Marked, completeness.Closed, completeness.Reset}).Draw(m.t, "end"), IsStream: true,
	}
	if a.Framing == completeness.Connection && a.End == completeness.Marked {
		a.End = completeness.Closed
	}
	sign = completeness.Takes
	if text != whole && a.End == completeness.Closed {
		// The connection was closed by a crash or by a running server.
		sign = rapid.SampledFrom([]completeness.Sign{completeness.Takes, completeness.Refuses}).Draw(m.t, "sign")
	}
	early = text != whole && (a.End == completeness.Marked || a.Framing == completeness.Connection && sign != completeness.Refuses)
	return text, a, sign, early
}

// For any responses of the servers: the caller receives a prefix of one stream, each event once
// and in order. The stream is reported complete only if it is, or if the last server stopped
// early between two events in a way that can't be detected.
func TestIncompleteStreamIsNotReportedWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := serverModel{t: t, last: rapid.IntRange(1, 5).Draw(t, "events"), lineEnd: rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")}
		var events eventstream.Follower
		got, reportedWhole, early := "", false, false
		for attempt := 0; attempt < 4 && !reportedWhole; attempt++ {
			if attempt > 0 && !events.CanGoOn() {
				break
			}
			events.Restart()
			text, a, sign, isEarly := m.answer(events.Count())
			early = isEarly
			err := feed(t, &events, text, &got)
			a.Events, a.IsInside, a.Continues = events.Events(), events.IsInside(), events.Continues()
			reportedWhole = err == nil && completeness.Judge(a).Settle(sign) == completeness.Whole
		}
		all, got := normalizeLineEnds.Replace(m.text(1, m.last)), normalizeLineEnds.Replace(got)
		if !strings.HasPrefix(all, got) {
			t.Fatalf("%q is not a prefix of %q", got, all)
		}
		if reportedWhole && got != all && !early {
			t.Fatalf("%q was reported as the complete stream %q", got, all)
		}
	})
}

// normalizeLineEnds normalizes line ends: a continuation may start between the two bytes of a
// CRLF.
var normalizeLineEnds = strings.NewReplacer("\r\n", "\n", "\r", "\n")

// feed passes the text to the follower in pieces of random size.
func feed(t *rapid.T, events *eventstream.Follower, text string, got *string) error {
	for text != "" {
		n := rapid.IntRange(1, len(text)).Draw(t, "piece")
		out, err := events.Take([]byte(text[:n]))
		*got += string(out)
		events.PassedOn(time.Unix(0, 0))
		if err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}
