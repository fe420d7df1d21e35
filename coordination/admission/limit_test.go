package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/fairshare"
)

// aiming returns n engines of a service whose most urgent route has the objective.
func aiming(n int, objective time.Duration) *State {
	s := engines(n)
	s.SetService("llm", Traits{Engine: true, Objective: objective})
	return s
}

// queued lets the only server have so long a queue of prompts.
func queued(s *State, wait time.Duration) *State {
	s.start(epoch, s.servers["i-0"], s.cfg.ReadRate*float64(wait)/float64(time.Millisecond), nil)
	return s
}

// Pattern: callers of one service can wait 3 s for a first token, those of
// another 500 ms. Ground: with one patience of 180 ms for all, requests with an
// objective of 1 s were refused at a queue that served them in time; .36 of the
// objective is the 180 ms that served best at 500.
func TestPatienceFollowsTheObjective(t *testing.T) {
	for _, tc := range []struct {
		objective, queue time.Duration
		want             Verdict
	}{
		{500 * time.Millisecond, 240 * time.Millisecond, Send},
		{500 * time.Millisecond, 300 * time.Millisecond, Refuse},
		{time.Second, 300 * time.Millisecond, Send},
		{3 * time.Second, 1200 * time.Millisecond, Send},
		{0, 240 * time.Millisecond, Send},
		{0, 300 * time.Millisecond, Refuse},
	} {
		got := queued(aiming(1, tc.objective), tc.queue).Place(epoch, prompt(600))
		qt.Check(t, got.Verdict, qt.Equals, tc.want, qt.Commentf("%+v", tc))
	}
}

// Pattern: an engine is busy for most of the objective. Ground: a first attempt
// that would be late is worth more when it comes back to a free engine; one
// that comes back has no third attempt, and one that its own reading makes late
// is late anywhere.
func TestAFirstAttemptThatWouldBeLateIsSentBack(t *testing.T) {
	s := queued(aiming(1, 500*time.Millisecond), 250*time.Millisecond)
	req := prompt(12000) // 180 ms of reading
	req.Objective = 500 * time.Millisecond
	qt.Check(t, s.Place(epoch, req).Verdict, qt.Equals, Refuse)
	req.Elapsed = 200 * time.Millisecond
	qt.Check(t, s.Place(epoch, req).Verdict, qt.Equals, Send)

	s = queued(aiming(1, 500*time.Millisecond), 50*time.Millisecond)
	req = prompt(54000) // 820 ms of reading
	req.Objective = 500 * time.Millisecond
	qt.Check(t, s.Place(epoch, req).Verdict, qt.Equals, Send)
}

// Pattern: the servers of a document's order read long prompts while others are
// idle. Ground: a small team's request that is refused twice is lost, and of a
// team with few requests that is a large part; reading the document again costs
// 74 ms of an idle engine. A team beyond its share does not get that.
func TestWithinItsShareATeamIsServedAnywhere(t *testing.T) {
	for _, tc := range []struct {
		team string
		want Verdict
	}{{"small", Send}, {"flood", Refuse}} {
		s := engines(9)
		s.SetCapacity(25000)
		flood := fairshare.IDOf("flood")
		s.teams.Ask(epoch, flood, 200000)
		s.teams.RecordStart(epoch, flood, 200000)
		for _, one := range first(s.pool("llm").servers, document.ID, s.cfg.Candidates) {
			s.start(epoch, one, 60000, nil)
		}
		req := prompt(6000, document)
		req.Team = tc.team
		qt.Check(t, s.Place(epoch, req).Verdict, qt.Equals, tc.want, qt.Commentf("%s", tc.team))
	}
}

// Pattern: engines are full, and the named capacity is not reached. A team that
// gets less than its share of what they serve is admitted at queues at which one
// that crowds it out is refused; engines stay busy with the latter's work, as its
// patience stays far above that of a team beyond the named capacity.
func TestATeamThatIsCrowdedOutGoesFirst(t *testing.T) {
	s := engines(1)
	crowding, out := standing{served: 1.7}, standing{served: 0.6}
	qt.Check(t, s.turn(crowding) < s.turn(standing{served: 1}), qt.IsTrue)
	qt.Check(t, s.turn(standing{served: 1}), qt.Equals, s.turn(out))
	qt.Check(t, s.turn(out), qt.Equals, s.cfg.Below)
	qt.Check(t, s.turn(crowding) > 4*s.turn(standing{share: 1.5}), qt.IsTrue)
	// Within its share of the named capacity a team is not held back for others.
	qt.Check(t, s.turn(standing{share: 0.9, served: 2}), qt.Equals, s.turn(standing{share: 0.9}))
}

// Pattern: engines do twice of the named capacity, and two teams are far beyond
// their shares of it, at 1.8 and 4.9 of them. The one with more attempts at more
// routers finds the short queues. Ground: their patiences of 24 and 9 ms differ by
// less than what one run adds to the estimate; the first got 46 % of what it asked
// for and 42 % of what the other got.
func TestTeamsBeyondTheirSharesAreLevelled(t *testing.T) {
	s := engines(1)
	less, more := standing{share: 1.84, served: 0.68}, standing{share: 4.89, served: 1.64}
	qt.Check(t, s.turn(less) > 12*s.turn(more), qt.IsTrue)
	// Neither gets ahead of a team at its share.
	for _, share := range []float64{1.01, 1.1, 1.5, 3} {
		qt.Check(t, s.turn(standing{share: share, served: 0.1}) <= s.turn(standing{share: 1}), qt.IsTrue)
	}
	qt.Check(t, s.turn(standing{share: 2, served: 1}), qt.Equals, s.turn(standing{share: 2}))
	// However far apart they are, none is shut out.
	qt.Check(t, s.turn(standing{share: 2, served: 100}), qt.Equals, s.turn(standing{share: 2})/s.cfg.LevelMost)
}
