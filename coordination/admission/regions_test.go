package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A route and a team are both restricted to regions: only servers of a region in
// both lists get the request, however long the wait there. If there is none, the
// request is refused at once.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, service := range []string{"llm", "app"} {
		s := New(DefaultConfig())
		s.SetService("llm", Traits{Engine: true, Objective: time.Second, FetchRate: 1000})
		for id, region := range map[string]string{"n-1": "north", "n-2": "north", "s-1": "south", "w-1": "west", "u-1": ""} {
			s.Add(id, 0, service, region, 64)
		}
		place := func(homes ...[]string) Decision {
			return s.Place(now, Request{Service: service, Prompt: 100, Output: 10, Homes: homes, SharedPrefixes: []Prefix{{ID: 5, Tokens: 90}}})
		}
		for range 40 {
			got := place([]string{"north", "south"}, []string{"south", "west"})
			qt.Assert(t, got.Verdict, qt.Equals, Send)
			qt.Assert(t, got.Server, qt.Equals, "s-1")
			qt.Assert(t, got.Source, qt.Equals, "")
		}
		for range 40 {
			got := place([]string{"north"})
			qt.Assert(t, got.Server == "n-1" || got.Server == "n-2", qt.IsTrue)
			qt.Assert(t, got.Source != "s-1" && got.Source != "w-1" && got.Source != "u-1", qt.IsTrue)
		}
		qt.Check(t, place([]string{"north"}, []string{"west"}).Verdict, qt.Equals, NoServer)
		s.Remove("s-1")
		qt.Check(t, place([]string{"south"}).Verdict, qt.Equals, NoServer)
		qt.Check(t, place().Verdict, qt.Equals, Send)
	}
}
