package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func example() *Table {
	return NewTable(&Config{
		Version: 7,
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/"},
			{Name: "deep", Host: "A.example", Prefix: "/x/y/"},
			{Name: "one", Host: "a.example", Prefix: "/x/"},
			{Name: "other", Host: "b.example", Prefix: "/only/"},
		},
		Services: []Service{{Name: "llm"}},
		Teams:    []Team{{Name: "t1", Keys: []string{"k1", "k2"}}, {Name: "t2", Keys: []string{"k3"}}},
	})
}

func TestRouteWithLongestPrefixOfTheHostIsSelected(t *testing.T) {
	table := example()
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example:8080", "/x/yz", "one"},
		{"A.EXAMPLE", "/x/y/", "deep"},
		{"a.example", "/x", "all"},
		{"b.example", "/only/1", "other"},
		{"b.example", "/x/", ""},
		{"c.example", "/", ""},
	} {
		got := ""
		if r := table.Route(tc.host, tc.path); r != nil {
			got = r.Name
		}
		qt.Check(t, got, qt.Equals, tc.want, qt.Commentf("%v", tc))
	}
}

func TestTeamIsFoundByItsKeys(t *testing.T) {
	table := example()
	qt.Check(t, table.Team("k2").Name, qt.Equals, "t1")
	qt.Check(t, table.Team("k3").Name, qt.Equals, "t2")
	qt.Check(t, table.Team(""), qt.IsNil)
	qt.Check(t, table.Team("t1"), qt.IsNil)
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}}}
	qt.Check(t, r.Pick(0), qt.Equals, "a")
	qt.Check(t, r.Pick(0.899), qt.Equals, "a")
	qt.Check(t, r.Pick(0.9), qt.Equals, "b")
	qt.Check(t, r.Pick(0.999999), qt.Equals, "b")
	qt.Check(t, (&Route{}).Pick(0.5), qt.Equals, "")
}

func TestOnlyResumableStreamsAndIdempotentRequestsMayRepeat(t *testing.T) {
	qt.Check(t, (&Route{Kind: NonIdempotent}).MayRepeat(), qt.IsFalse)
	qt.Check(t, (&Route{Kind: NonIdempotent, Resumable: true}).MayRepeat(), qt.IsFalse)
	qt.Check(t, (&Route{Kind: Streaming}).MayRepeat(), qt.IsFalse)
	qt.Check(t, (&Route{Kind: Streaming, Resumable: true}).MayRepeat(), qt.IsTrue)
	qt.Check(t, (&Route{Kind: Idempotent}).MayRepeat(), qt.IsTrue)
}
