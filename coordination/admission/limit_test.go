package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/fairshare"
)

// withObjective returns n engines of a service whose most urgent route has the
// objective.
func withObjective(n int, objective time.Duration) *State {
	s := engines(n)
	s.SetService("llm", Traits{Engine: true, Objective: objective})
	return s
}

// queued gives the only server a queue of prompts with the given wait.
func queued(s *State, wait time.Duration) *State {
	s.startRun(epoch, s.servers["i-0"], s.cfg.PrefillRate*float64(wait)/float64(time.Millisecond), nil)
	return s
}

// Guards against one wait limit for services with different objectives: with 180 ms
// for all, requests with an objective of 1 s were refused at a queue that would have
// served them in time. 0.36 of the objective is the 180 ms that served best at an
// objective of 500 ms.
func TestWaitLimitFollowsObjective(t *testing.T) {
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
		got := queued(withObjective(1, tc.objective), tc.queue).Place(epoch, prompt(600))
		qt.Check(t, got.Verdict, qt.Equals, tc.want, qt.Commentf("%+v", tc))
	}
}

// A first attempt that would be late because of an engine's queue is refused: it is
// worth more when it comes back to a free engine. One that comes back has no third
// attempt, and one that is late because of its own prefill is late at any server.
func TestFirstAttemptThatWouldBeLateIsRefused(t *testing.T) {
	s := queued(withObjective(1, 500*time.Millisecond), 250*time.Millisecond)
	req := prompt(12000) // 180 ms of prefill
	req.Objective = 500 * time.Millisecond
	qt.Check(t, s.Place(epoch, req).Verdict, qt.Equals, Refuse)
	req.Elapsed = 200 * time.Millisecond
	qt.Check(t, s.Place(epoch, req).Verdict, qt.Equals, Send)

	s = queued(withObjective(1, 500*time.Millisecond), 50*time.Millisecond)
	req = prompt(54000) // 820 ms of prefill
	req.Objective = 500 * time.Millisecond
	qt.Check(t, s.Place(epoch, req).Verdict, qt.Equals, Send)
}

// Guards against refusing a small team while the first servers by rank for its
// document prefill long prompts and others are idle: a request that is refused twice
// is lost, and for a team with few requests that is a large part. A repeated prefill
// of the document takes an idle engine 74 ms. A team beyond its share is refused.
func TestTeamWithinShareIsServedAnywhere(t *testing.T) {
	for _, tc := range []struct {
		team string
		want Verdict
	}{{"small", Send}, {"flood", Refuse}} {
		s := engines(9)
		s.SetCapacity(25000)
		flood := fairshare.IDOf("flood")
		s.teams.Ask(epoch, flood, 200000)
		s.teams.RecordStart(epoch, flood, 200000)
		for _, srv := range topRanked(s.pool("llm").servers, document.ID, s.cfg.Candidates) {
			s.startRun(epoch, srv, 60000, nil)
		}
		req := prompt(6000, document)
		req.Team = tc.team
		qt.Check(t, s.Place(epoch, req).Verdict, qt.Equals, tc.want, qt.Commentf("%s", tc.team))
	}
}

// Engines are full although the configured capacity is not reached. A team that gets
// less than its share of what they serve is admitted at queues at which a team that
// displaces it is refused. The engines stay busy with the latter's work, as its wait
// limit stays far above that of a team beyond its share of the configured capacity.
func TestDisplacedTeamHasLargerFactor(t *testing.T) {
	s := engines(1)
	displacing, displaced := standing{served: 1.7}, standing{served: 0.6}
	qt.Check(t, s.standingFactor(displacing) < s.standingFactor(standing{served: 1}), qt.IsTrue)
	qt.Check(t, s.standingFactor(standing{served: 1}), qt.Equals, s.standingFactor(displaced))
	qt.Check(t, s.standingFactor(displaced), qt.Equals, s.cfg.UnderShareFactor)
	qt.Check(t, s.standingFactor(displacing) > 4*s.standingFactor(standing{share: 1.5}), qt.IsTrue)
	// Within its share of the configured capacity a team is not limited in favour of
	// others.
	qt.Check(t, s.standingFactor(standing{share: 0.9, served: 2}), qt.Equals, s.standingFactor(standing{share: 0.9}))
}

// Guards against one of two teams beyond their shares getting far less than the
// other because the latter's attempts at more routers find the short queues. With
// engines that do twice the configured capacity and teams at 1.8 and 4.9 of their
// shares, wait limits of 24 and 9 ms differed by less than what one run adds to the
// estimate: the first team got 46 % of what it demanded and 42 % of what the other
// got.
func TestTeamsBeyondTheirSharesAreLevelled(t *testing.T) {
	s := engines(1)
	less, more := standing{share: 1.84, served: 0.68}, standing{share: 4.89, served: 1.64}
	qt.Check(t, s.standingFactor(less) > 12*s.standingFactor(more), qt.IsTrue)
	// Neither gets a larger factor than a team at its share.
	for _, share := range []float64{1.01, 1.1, 1.5, 3} {
		qt.Check(t, s.standingFactor(standing{share: share, served: 0.1}) <= s.standingFactor(standing{share: 1}), qt.IsTrue)
	}
	qt.Check(t, s.standingFactor(standing{share: 2, served: 1}), qt.Equals, s.standingFactor(standing{share: 2}))
	// However large the difference, neither is shut out.
	qt.Check(t, s.standingFactor(standing{share: 2, served: 100}), qt.Equals, s.standingFactor(standing{share: 2})/s.cfg.LevellingMax)
}
