package report_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestport/coordination/report"
)

var epoch = time.Unix(1_000_000, 0)

func room(free int) report.Changed { return report.Changed{Room: report.Room{Slots: 8, Free: free}} }

// connected returns a state with n routers and no reports due.
func connected(n int) (*report.State, time.Time) {
	s := report.New(report.DefaultConfig())
	for i := range n {
		s.Step(epoch, report.Connected{Router: fmt.Sprint(i)})
	}
	now := epoch.Add(time.Minute)
	for range 100 {
		now = now.Add(time.Second)
		s.Step(now, report.Ticked{})
	}
	return s, now
}

func TestValidateNamesInvalidField(t *testing.T) {
	qt.Assert(t, report.DefaultConfig().Validate(), qt.IsNil)
	qt.Assert(t, report.Config{}.Validate(), qt.ErrorMatches, "PerSecond must be positive")
}

func TestFewRoutersAreUpdatedAtOnce(t *testing.T) {
	c := qt.New(t)
	s, now := connected(3)
	c.Assert(s.Step(now, room(4)), qt.HasLen, 3, qt.Commentf("from no free slot to some"))
	c.Assert(s.Step(now, room(3)), qt.HasLen, 0, qt.Commentf("some slots still free"))
	c.Assert(s.Step(now, room(0)), qt.HasLen, 3, qt.Commentf("from some free slots to none"))
	c.Assert(s.Step(now.Add(time.Second/2), report.Ticked{}), qt.HasLen, 0)
	c.Assert(s.Step(now.Add(time.Second), report.Ticked{}), qt.HasLen, 3, qt.Commentf("refresh"))
}

func TestReportsToManyRoutersStayWithinBudget(t *testing.T) {
	c := qt.New(t)
	s, now := connected(800)
	sent, last := 0, map[string]time.Time{}
	longest := time.Duration(0)
	const seconds = 60
	for i := range seconds * 50 {
		now = now.Add(20 * time.Millisecond)
		for _, r := range s.Step(now, room(i%2)) { // changes all the time
			sent++
			if at, known := last[r]; known {
				longest = max(longest, now.Sub(at))
			}
			last[r] = now
		}
	}
	c.Assert(sent <= 50*seconds+100, qt.IsTrue, qt.Commentf("%d", sent))
	c.Assert(last, qt.HasLen, 800)
	c.Assert(longest < 40*time.Second, qt.IsTrue, qt.Commentf("%v", longest))
}

func TestUrgentReportsIgnoreBudget(t *testing.T) {
	for name, ev := range map[string]report.Event{
		"leaving":   report.Changed{Room: report.Room{Leaving: true}},
		"ejected":   report.Changed{Room: report.Room{Ejected: true}},
		"announced": report.Announced{},
	} {
		s, now := connected(800)
		qt.Assert(t, s.Step(now, ev), qt.HasLen, 800, qt.Commentf(name))
	}
}

// For any sequence of events: no router is sent two reports in one step, only connected
// routers are sent any, and after an idle period all of them know whether slots are free.
func TestEveryRouterIsEventuallyUpdated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := report.New(report.Config{PerSecond: 5, Burst: 3, RefreshInterval: time.Second})
		now, free := epoch, 0
		sent := map[string]int{}
		step := func(ev report.Event) {
			seen := map[string]bool{}
			for _, r := range s.Step(now, ev) {
				if _, connected := sent[r]; !connected || seen[r] {
					t.Fatalf("%s was sent a report though disconnected or already sent one", r)
				}
				seen[r] = true
				sent[r] = free
			}
		}
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			r := fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "router"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				sent[r] = -1
				step(report.Connected{Router: r})
				if sent[r] != free {
					t.Fatalf("%s connected and was sent no report", r)
				}
			case 1:
				delete(sent, r)
				step(report.Disconnected{Router: r})
			case 2:
				free = rapid.IntRange(0, 2).Draw(t, "free")
				step(room(free))
			default:
				step(report.Ticked{})
			}
		}
		for range 10 {
			now = now.Add(time.Second)
			step(report.Ticked{})
		}
		for r, known := range sent {
			if (known > 0) != (free > 0) {
				t.Fatalf("%s was sent %d free slots, there are %d", r, known, free)
			}
		}
	})
}
