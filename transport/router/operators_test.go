package router

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/operator"
	"goldcrestport/state/config"
)

func TestServiceStatusCountsWhatTakesWork(t *testing.T) {
	doc := &config.Document{Services: map[string]config.Service{
		"glossa-pool": {Kind: config.KindModel}, "stringhub": {Kind: config.KindPlain},
	}}
	backends := []operator.Backend{
		{ID: "a", Service: "glossa-pool", Linked: true, Slots: 8, Free: 3},
		{ID: "b", Service: "glossa-pool", Linked: true, Slots: 8, Free: 8, Drained: true},
		{ID: "c", Service: "glossa-pool", Linked: true, Slots: 8, Free: 8, Leaving: true},
		{ID: "d", Service: "glossa-pool"},
	}
	queues := []operator.Queue{
		{Service: "glossa-pool", Team: "lao", Waiting: 2}, {Service: "glossa-pool", Team: "khmer", Waiting: 5},
	}
	qt.Assert(t, serviceStatus(doc, backends, queues), qt.DeepEquals, []operator.Service{
		{Service: "glossa-pool", Kind: "model", Ready: 1, Linked: 3, Slots: 8, Free: 3, Waiting: 7, WaitingTeams: 2},
		{Service: "stringhub", Kind: "plain"},
	})
}
