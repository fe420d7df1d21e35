package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestport/coordination/fairshare"
	"goldcrestport/coordination/health"
)

// Guards against a team getting several times as much as another one whose callers
// use routers that cannot deliver its share, while idle servers limit nobody: what
// this router sends of the former in some seconds is its share of the throttle
// bound, and no less.
func TestThrottleProtectsLeastServedTeam(t *testing.T) {
	narrow, wide := fairshare.IDOf("narrow"), fairshare.IDOf("wide")
	// sent returns the tokens per second that are sent of the team in four seconds,
	// in which it demands a million tokens per second here and as much at other
	// routers, while those send gotNarrow and gotWide tokens per second.
	sent := func(team string, gotNarrow, gotWide float64) float64 {
		s := engines(50)
		s.SetRouters(2)
		s.SetCapacity(500_000)
		now, tokens := epoch, 0.0
		for i := range 6000 {
			now = now.Add(time.Millisecond)
			if i%250 == 0 {
				s.ReceiveDigest(now, "other", Digest{All: true, Teams: map[fairshare.TeamID]fairshare.Use{
					narrow: {Requested: 4e6, Started: 4 * gotNarrow, RequestedRate: 1e6, StartedRate: gotNarrow},
					wide:   {Requested: 4e6, Started: 4 * gotWide, RequestedRate: 1e6, StartedRate: gotWide},
				}})
			}
			req := prompt(800)
			req.Team = team
			d := s.Place(now, req)
			if d.Verdict != Send {
				continue
			}
			s.FirstByte(now, d.Run)
			s.Ended(now, d.Run, health.Success)
			if i >= 2000 {
				tokens += 1000
			}
		}
		return tokens / 4
	}
	// The share of each team is 250,000 tokens per second. Half of what the wide one
	// may get is sent here.
	far := sent("wide", 50_000, 375_000)
	qt.Check(t, far > 0.7*125_000 && far < 1.2*125_000, qt.IsTrue, qt.Commentf("the least served gets a fifth of its share: %.0f", far))
	near := sent("wide", 250_000, 375_000)
	qt.Check(t, near > 0.7*175_000 && near < 1.2*175_000, qt.IsTrue, qt.Commentf("the least served gets its share: %.0f", near))
	// The least served team itself may catch up with the next.
	qt.Check(t, sent("narrow", 50_000, 375_000) > 1.5*125_000, qt.IsTrue)
}

// Guards against refusing a team below its share while one beyond its share is sent,
// for the same request at the same time, whatever the teams received and the
// servers' queues.
func TestTeamBelowShareIsNotRefusedForOneBeyond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		below := rapid.Float64Range(0, 0.9e6).Draw(t, "below")
		beyond := rapid.Float64Range(1.1e6, 6e6).Draw(t, "beyond")
		tokens := rapid.IntRange(1, 20_000).Draw(t, "tokens")
		queue := rapid.IntRange(0, 60_000).Draw(t, "queue")
		verdict := func(team string) Verdict {
			s := engines(3)
			s.SetCapacity(500_000)
			s.SetRouters(2)
			all := Digest{All: true, Servers: map[ServerID]InFlight{}, Teams: map[fairshare.TeamID]fairshare.Use{
				fairshare.IDOf("below"): {Requested: 8e6, Started: below}, fairshare.IDOf("beyond"): {Requested: 8e6, Started: beyond},
			}}
			for i := range 3 {
				all.Servers[NumberOf(fmt.Sprint("i-", i), 0)] = InFlight{Unread: float64(queue), Runs: queue / 4000}
			}
			s.ReceiveDigest(epoch, "other", all)
			req := prompt(tokens)
			req.Team = team
			return s.Place(epoch, req).Verdict
		}
		if verdict("below") == Refuse && verdict("beyond") == Send {
			t.Fatalf("the team with %.0f is refused, the one with %.0f sent", below, beyond)
		}
	})
}
