package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestport/coordination/fairshare"
)

// Guards against a team that gets several times as much as another one, whose callers come
// to routers that cannot deliver its share, because idle servers hold nobody back.
func TestATeamThatCannotBeDeliveredIsNotOverrun(t *testing.T) {
	s := engines(20)
	s.SetRouters(2)
	s.SetCapacity(500_000)
	now := epoch
	narrow, wide := fairshare.IDOf("narrow"), fairshare.IDOf("wide")
	told := func(gotNarrow, gotWide float64) {
		now = now.Add(100 * time.Millisecond)
		s.Told(now, "other", Digest{All: true, Teams: map[fairshare.TeamID]fairshare.Use{
			narrow: {Asked: 4e6, Begun: gotNarrow}, wide: {Asked: 4e6, Begun: gotWide},
		}})
	}
	place := func(team string) Verdict {
		req := prompt(1000)
		req.Team = team
		return s.Place(now, req).Verdict
	}
	// Each one's share is a million: the wide one is beyond it, the narrow one far below.
	told(200_000, 1_500_000)
	qt.Check(t, place("wide"), qt.Equals, Refuse)
	qt.Check(t, place("narrow"), qt.Equals, Send)
	// Within its share nobody is held, and servers are not left idle where the least served
	// team gets nearly as much.
	told(200_000, 900_000)
	qt.Check(t, place("wide"), qt.Equals, Send)
	told(1_300_000, 1_500_000)
	qt.Check(t, place("wide"), qt.Equals, Send)
	told(800_000, 1_500_000)
	qt.Check(t, place("wide"), qt.Equals, Send)
	told(800_000, 1_600_000)
	qt.Check(t, place("wide"), qt.Equals, Refuse)
}

// Guards against a team below its share being refused while one beyond it is sent: alike
// requests at one moment, whatever teams got and servers have to do.
func TestNoTeamBelowItsShareIsRefusedForOneBeyondIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		below := rapid.Float64Range(0, 0.9e6).Draw(t, "below")
		beyond := rapid.Float64Range(1.1e6, 6e6).Draw(t, "beyond")
		tokens := rapid.IntRange(1, 20_000).Draw(t, "tokens")
		queue := rapid.IntRange(0, 60_000).Draw(t, "queue")
		verdict := func(team string) Verdict {
			s := engines(3)
			s.SetCapacity(500_000)
			s.SetRouters(2)
			all := Digest{All: true, Servers: map[ServerID]Use{}, Teams: map[fairshare.TeamID]fairshare.Use{
				fairshare.IDOf("below"): {Asked: 8e6, Begun: below}, fairshare.IDOf("beyond"): {Asked: 8e6, Begun: beyond},
			}}
			for i := range 3 {
				all.Servers[NumberOf(fmt.Sprint("i-", i), 0)] = Use{Unread: float64(queue), Runs: queue / 4000}
			}
			s.Told(epoch, "other", all)
			req := prompt(tokens)
			req.Team = team
			return s.Place(epoch, req).Verdict
		}
		if verdict("below") == Refuse && verdict("beyond") == Send {
			t.Fatalf("the team with %.0f is refused, the one with %.0f sent", below, beyond)
		}
	})
}
