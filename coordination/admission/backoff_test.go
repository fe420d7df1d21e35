package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/backoff"
)

// plainFleet returns servers of a plain service, none of which does anything.
func plainFleet(n int) *State {
	s := New(DefaultConfig())
	for i := range n {
		s.Add(fmt.Sprintf("i-%d", i), 0, "app", "", 4)
	}
	return s
}

// Pattern: a third of the servers turn everything away and ask for seconds without
// requests, again and again. They look idle beside the others, which must not draw the
// work back to them.
func TestIdleServersThatAskForNoRequestsGetNone(t *testing.T) {
	s, now := plainFleet(9), epoch
	end := map[string]time.Time{}
	for i := range 2000 {
		now = now.Add(5 * time.Millisecond)
		d := s.Place(now, Request{Service: "app"})
		qt.Assert(t, d.Verdict, qt.Equals, Send)
		if d.Server <= "i-2" {
			qt.Assert(t, now.Before(end[d.Server]), qt.IsFalse, qt.Commentf("request %d in the time of %s", i, d.Server))
			s.BackOff(now, d.Run, 3*time.Second)
			end[d.Server] = now.Add(3 * time.Second)
			s.Ended(now, d.Run, 0)
		}
	}
	qt.Check(t, end, qt.HasLen, 3)
}

// All servers want no requests: the refusal tells when the first one takes some, and
// those who are told the same moment come back spread over a quarter of a second.
func TestARefusalTellsWhenTheFirstServerTakesRequests(t *testing.T) {
	s, now := plainFleet(3), epoch
	var req Request
	req.Service = "app"
	for i := range 3 {
		d := s.Place(now, req)
		s.BackOff(now, d.Run, time.Duration(4+i)*time.Second)
		s.Ended(now, d.Run, 0)
		req.Avoid = append(req.Avoid, d.Server)
	}
	now = now.Add(time.Second)
	quarters := map[time.Duration]int{}
	for i := range 400 {
		if i%2 == 0 {
			// Also one that those servers turned away themselves.
			req.Avoid = nil
		}
		d := s.Place(now, req)
		qt.Assert(t, d.Verdict, qt.Equals, Refuse)
		qt.Assert(t, d.Reason, qt.Equals, ReasonBackoff)
		qt.Assert(t, d.BackingOff, qt.Equals, 3)
		qt.Assert(t, d.RetryAfter >= 3*time.Second && d.RetryAfter < 3*time.Second+returnSpread, qt.IsTrue)
		quarters[(d.RetryAfter-3*time.Second)/(returnSpread/4)]++
	}
	for _, n := range quarters {
		qt.Check(t, n > 90 && n < 110, qt.IsTrue, qt.Commentf("%v", quarters))
	}
	qt.Check(t, s.BackoffWait(now, "app"), qt.Equals, 3*time.Second)
	qt.Check(t, s.Place(now.Add(3*time.Second), Request{Service: "app"}).Server, qt.Equals, "i-0")
}

// One server wants none for long, and another one only turned this request away: it is
// to come back when that one may be asked.
func TestARefusalGoesByTheServerThatIsDueFirst(t *testing.T) {
	s, now := plainFleet(2), epoch
	first := s.Place(now, Request{Service: "app"})
	s.BackOff(now, first.Run, time.Minute)
	second := s.Place(now, Request{Service: "app", Avoid: []string{first.Server}})
	s.Refused(now, second.Run)
	d := s.Place(now, Request{Service: "app", Avoid: []string{first.Server, second.Server}})
	qt.Check(t, d.RetryAfter, qt.Equals, s.cfg.ReturnLeast)
	qt.Check(t, s.HasOther(now, "app", []string{second.Server}), qt.IsFalse)
	qt.Check(t, s.HasOther(now, "app", []string{first.Server}), qt.IsTrue)
}

// An answer that begins in the time, and one that tries the server while another is
// turned away, end nothing; the one that is taken does.
func TestOnlyATakenTrialEndsTheTime(t *testing.T) {
	s, now := plainFleet(1), epoch
	req := Request{Service: "app"}
	before, turned, also := s.Place(now, req), s.Place(now, req), s.Place(now, req)
	s.BackOff(now, turned.Run, time.Second)
	s.FirstByte(now.Add(time.Millisecond), before.Run)
	qt.Check(t, s.Place(now.Add(900*time.Millisecond), req).Verdict, qt.Equals, Refuse)
	now = now.Add(time.Second)
	trial := s.Place(now, req)
	qt.Assert(t, trial.Verdict, qt.Equals, Send)
	qt.Check(t, trial.SinceBackoff, qt.Equals, time.Second)
	qt.Check(t, s.Place(now, req).Verdict, qt.Equals, Refuse)
	s.BackOff(now, also.Run, time.Second)
	qt.Check(t, s.MaySend(now, trial.Run), qt.IsFalse)
	qt.Check(t, s.FirstByte(now.Add(time.Millisecond), trial.Run), qt.IsFalse)
	qt.Check(t, s.Place(now.Add(900*time.Millisecond), req).Verdict, qt.Equals, Refuse)
	now = now.Add(time.Second)
	trial = s.Place(now, req)
	qt.Check(t, s.FirstByte(now.Add(time.Millisecond), trial.Run), qt.IsTrue)
	qt.Check(t, s.Place(now.Add(time.Millisecond), req).SinceBackoff, qt.Equals, -time.Millisecond)
}

// A server's entry lapses and comes back, and it wants no more requests than before; a
// later process under its id never asked.
func TestWhatAServerAskedForOutlivesItsEntry(t *testing.T) {
	s, now := New(DefaultConfig()), epoch
	s.Add("i-0", 100, "app", "", 4)
	req := Request{Service: "app"}
	d := s.Place(now, req)
	s.BackOff(now, d.Run, 2*time.Second)
	s.Remove("i-0")
	s.Tick(now.Add(time.Second))
	s.Add("i-0", 100, "app", "", 4)
	qt.Check(t, s.Place(now.Add(time.Second), req).Verdict, qt.Equals, Refuse)
	s.Add("i-0", 200, "app", "", 4)
	qt.Check(t, s.Place(now.Add(time.Second), req).Verdict, qt.Equals, Send)
	qt.Check(t, s.parted, qt.HasLen, 1)
	s.Tick(now.Add(2 * time.Second))
	qt.Check(t, s.parted, qt.HasLen, 0)
}

// A server's entry lapses and comes back while a request is there, which is turned away:
// the time counts for the server as it is known now.
func TestWhatAServerAsksForWhileItsEntryIsAwayCounts(t *testing.T) {
	for name, steps := range map[string]func(s *State, answer func()){
		"before it is back": func(s *State, answer func()) {
			s.Remove("i-0")
			answer()
			s.Add("i-0", 100, "app", "", 4)
		},
		"after it is back": func(s *State, answer func()) {
			s.Remove("i-0")
			s.Add("i-0", 100, "app", "", 4)
			answer()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(DefaultConfig())
			s.Add("i-0", 100, "app", "", 4)
			d, also := s.Place(epoch, Request{Service: "app"}), s.Place(epoch, Request{Service: "app"})
			steps(s, func() { s.BackOff(epoch, d.Run, time.Second) })
			qt.Check(t, s.Place(epoch, Request{Service: "app"}).Reason, qt.Equals, ReasonBackoff)
			qt.Check(t, s.MaySend(epoch, also.Run), qt.IsFalse)
		})
	}
}

// What a decision costs beside 180 servers of which 60 want no requests.
func BenchmarkPlaceBesideServersThatBackOff(b *testing.B) {
	for _, asking := range []int{0, 60} {
		b.Run(fmt.Sprintf("asking=%d", asking), func(b *testing.B) {
			s, now := coldFleet(180, 0)
			for i := range asking {
				s.servers[fmt.Sprintf("i-%d", 3*i)].backoff.BackoffRequested(now, 1000*time.Hour, backoff.Config{Longest: 1000 * time.Hour, ProbeTime: time.Second})
			}
			benchmarkPlace(b, s, now)
		})
	}
}
