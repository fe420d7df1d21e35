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

// fleetOf is a model of a router before servers that stream, each in any framing, from any
// event on, to any end; what comes is cut into pieces. Events are numbered from 1 to last.
type fleetOf struct {
	t       *rapid.T
	last    int
	lineEnd string
}

// text returns the events from one to another.
func (m fleetOf) text(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d%sdata: e%d%s%s", n, m.lineEnd, n, m.lineEnd, m.lineEnd)
	}
	return b.String()
}

// answer draws what a server sends that is asked to go on after the event, and how it ends.
// crashed tells that it takes no connections after it, early that it marks, or closes alive, an
// end between two events that is not the last: nobody could know.
func (m fleetOf) answer(after int) (text string, a completeness.Answer, sign completeness.Sign, early bool) {
	from := after + 1
	if after > 0 && rapid.IntRange(0, 4).Draw(m.t, "lies") == 0 {
		from = rapid.IntRange(1, m.last).Draw(m.t, "from")
	}
	if after == 1 {
		// One id shows no step: a gap after it cannot be known.
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
		// What a crash closed, or a server that lives.
		sign = rapid.SampledFrom([]completeness.Sign{completeness.Takes, completeness.Refuses}).Draw(m.t, "sign")
	}
	early = text != whole && (a.End == completeness.Marked || a.Framing == completeness.Connection && sign != completeness.Refuses)
	return text, a, sign, early
}

// Whatever servers send and however they end: what a caller gets is the first events of one
// stream, each once and in order, and it is told that they are all only if they are, or if the
// last server ended early between two events in a way that nobody could know.
func TestNoStreamIsTakenForWholeThatIsNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := fleetOf{t: t, last: rapid.IntRange(1, 5).Draw(t, "events"), lineEnd: rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")}
		var events eventstream.Follower
		got, told, early := "", false, false
		for attempt := 0; attempt < 4 && !told; attempt++ {
			if attempt > 0 && !events.CanGoOn() {
				break
			}
			events.Restart()
			text, a, sign, isEarly := m.answer(events.Count())
			early = isEarly
			err := pass(t, &events, text, &got)
			a.Events, a.IsInside, a.Continues = events.Events(), events.IsInside(), events.Continues()
			told = err == nil && completeness.Judge(a).Settle(sign) == completeness.Whole
		}
		all, got := lines.Replace(m.text(1, m.last)), lines.Replace(got)
		if !strings.HasPrefix(all, got) {
			t.Fatalf("%q is not the begin of %q", got, all)
		}
		if told && got != all && !early {
			t.Fatalf("%q was told as all of %q", got, all)
		}
	})
}

// lines makes all line ends alike: a stream may go on elsewhere between the two bytes of one.
var lines = strings.NewReplacer("\r\n", "\n", "\r", "\n")

// pass lets the text come in pieces.
func pass(t *rapid.T, events *eventstream.Follower, text string, got *string) error {
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
