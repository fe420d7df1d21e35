package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
}
