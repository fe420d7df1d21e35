package configcheck

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/state/config"
	"goldcrestport/state/routing"
)

func TestCompareByName(t *testing.T) {
	old, updated := manyRoutes(3, false), manyRoutes(3, false)
	qt.Check(t, Compare(old, updated, testFields()), qt.HasLen, 0)
	// The order of entries is no difference.
	updated.Teams[0], updated.Teams[1] = updated.Teams[1], updated.Teams[0]
	updated.Routes[0], updated.Routes[1] = updated.Routes[1], updated.Routes[0]
	qt.Check(t, Compare(old, updated, testFields()), qt.HasLen, 0)
	updated.Routes[0].Timeout = 2 * time.Second
	updated.Routes[0].Targets = []routing.Target{{Service: "service-1", Weight: 9}, {Service: "service-2", Weight: 1}}
	updated.Routes[2].Name = "new"
	updated.Services[7].Engine.Slots = 8
	updated.Teams[0].Keys = []string{"secret", "key-1", "key-1"}
	updated.Limits.BodyBytes = 5
	fields := testFields()
	fields.Limit.BodyBytes = "lb"
	qt.Check(t, Compare(old, updated, fields), qt.DeepEquals, []Difference{
		{Kind: Route, Name: "new", Change: Added},
		{Kind: Route, Name: "route-1", Change: Changed, Fields: []FieldChange{
			{Field: "rt", Old: "1s", New: "2s"}, {Field: "sp", Old: "service-1:1", New: "service-1:9 service-2:1"},
		}},
		{Kind: Route, Name: "route-2", Change: Removed},
		{Kind: Service, Name: "service-7", Change: Changed, Fields: []FieldChange{{Field: "sl", Old: "0", New: "8"}}},
		{Kind: Team, Name: "team-1", Change: Changed, Fields: []FieldChange{{Field: "tk", Old: "2", New: "3 (1 added, 1 removed)"}}},
		{Kind: Limits, Change: Changed, Fields: []FieldChange{{Field: "lb", Old: "0", New: "5"}}},
	})
}

func TestCompareDocuments(t *testing.T) {
	old := &config.Document{
		Teams:    map[string]config.Team{"a": {Share: 1, Tokens: []string{"t1", "t2"}}, "gone": {}},
		Services: map[string]config.Service{"s": {Kind: config.KindModel, Models: []config.Model{{Name: "m", Version: "1"}}}},
		Drain:    []string{"x", "y"}, Operators: map[string]string{"o": "d1"},
	}
	updated := &config.Document{
		Teams:    map[string]config.Team{"a": {Share: 2, Tokens: []string{"t2", "t3"}}},
		Services: map[string]config.Service{"s": {Kind: config.KindModel, Models: []config.Model{{Name: "m", Version: "2"}}}},
		Drain:    []string{"y"}, Evacuate: []string{"hall"}, Operators: map[string]string{"o": "d2"},
	}
	qt.Check(t, CompareDocuments(old, old), qt.HasLen, 0)
	qt.Check(t, CompareDocuments(old, updated), qt.DeepEquals, []Difference{
		{Kind: Service, Name: "s", Change: Changed, Fields: []FieldChange{{Field: "models", Old: "m@1", New: "m@2"}}},
		{Kind: Team, Name: "a", Change: Changed, Fields: []FieldChange{
			{Field: "share", Old: "1", New: "2"}, {Field: "tokens", Old: "2", New: "2 (1 added, 1 removed)"},
		}},
		{Kind: Team, Name: "gone", Change: Removed},
		{Kind: Operator, Name: "o", Change: Changed, Fields: []FieldChange{{Field: "token", Old: "1", New: "1 (1 added, 1 removed)"}}},
		{Kind: Drained, Name: "x", Change: Removed},
		{Kind: DataCentre, Name: "hall", Change: Added},
	})
}
