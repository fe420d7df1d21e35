package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/health"
)

// serve repeatedly sends three requests with the prompt at a time, for the given
// span, to servers that take slower[id] times as long as estimated. It returns the
// time at the end and the number of requests that went to each server.
func serve(s *State, now time.Time, span time.Duration, tokens int, slower map[string]float64) (time.Time, map[string]int) {
	sent := map[string]int{}
	for end := now.Add(span); now.Before(end); {
		last := now.Add(time.Millisecond)
		var runs []*Run
		var done []time.Time
		for range 3 {
			d := s.Place(now, prompt(tokens))
			if d.Verdict != Send {
				continue
			}
			sent[d.Server]++
			runs, done = append(runs, d.Run), append(done, now.Add(scaled(d.Run.estimate, slower[d.Server])))
		}
		for i, r := range runs {
			s.FirstByte(done[i], r)
			s.Ended(done[i], r, health.Success)
			if done[i].After(last) {
				last = done[i]
			}
		}
		now = last
	}
	return now, sent
}

// Guards against sending work to an engine that becomes four times as slow for some
// seconds: it is detected after a few prompts, so that requests go to the others and
// wait estimates are right, and its recovery is detected soon after.
func TestSlowEngineGetsLess(t *testing.T) {
	s := engines(2)
	now, before := serve(s, epoch, 4*time.Second, 6000, map[string]float64{"i-0": 1, "i-1": 1})
	qt.Check(t, before["i-0"] > 10, qt.IsTrue)
	now, slow := serve(s, now, 12*time.Second, 6000, map[string]float64{"i-0": 4, "i-1": 1})
	qt.Check(t, slow["i-0"]*3 <= slow["i-1"]*2, qt.IsTrue, qt.Commentf("%v", slow))
	now, after := serve(s, now.Add(4*slowdownDecay), 4*time.Second, 6000, map[string]float64{"i-0": 1, "i-1": 1})
	qt.Check(t, after["i-0"] > 10, qt.IsTrue, qt.Commentf("%v at %v", after, now))
}

// Guards against wait estimates from the configured prefill rate where engines are
// half as fast: requests are refused by the observed rate.
func TestSlowdownOfAllEnginesIsLearnt(t *testing.T) {
	s := engines(1)
	now, _ := serve(s, epoch, 5*time.Second, 8000, map[string]float64{"i-0": 2.2})
	ahead := s.Place(now, prompt(8000))
	qt.Assert(t, ahead.Verdict, qt.Equals, Send)
	next := s.Place(now, prompt(600))
	qt.Check(t, next.Wait > scaled(s.prefillTime(8000), 1.8), qt.IsTrue, qt.Commentf("%v", next.Wait))
	qt.Check(t, next.Wait < scaled(s.prefillTime(8000), 2.4), qt.IsTrue, qt.Commentf("%v", next.Wait))
}

// Short estimates are ignored, the factor is limited, and observations lose their
// weight with time.
func TestSlowdownIsLimited(t *testing.T) {
	var p slowdown
	p.observe(epoch, slowdownMinEstimate/2, time.Minute)
	qt.Check(t, p.factor(epoch), qt.Equals, 1.0)
	for range 100 {
		p.observe(epoch, time.Second, time.Hour)
	}
	qt.Check(t, p.factor(epoch), qt.Equals, float64(maxSlowdown))
	qt.Check(t, p.factor(epoch.Add(time.Hour)) < 1.01, qt.IsTrue)
	for range 100 {
		p.observe(epoch.Add(time.Hour), time.Second, time.Millisecond)
	}
	qt.Check(t, p.factor(epoch.Add(time.Hour)), qt.Equals, minSlowdown)
}
