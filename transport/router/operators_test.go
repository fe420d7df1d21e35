package router

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/dispatch"
	"goldcrestport/protocol/operator"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/config"
)

func TestServiceStatusCountsReadyBackends(t *testing.T) {
	doc := &config.Document{Services: map[string]config.Service{
		"glossa-pool": {Kind: config.KindModel}, "stringhub": {Kind: config.KindPlain},
	}}
	backends := []operator.Backend{
		{ID: "a", Service: "glossa-pool", Linked: true, Slots: 8, Free: 3},
		{ID: "b", Service: "glossa-pool", Linked: true, Slots: 8, Free: 8, Drained: true},
		{ID: "c", Service: "glossa-pool", Linked: true, Slots: 8, Free: 8, Leaving: true},
		{ID: "d", Service: "glossa-pool"},
	}
	qt.Assert(t, serviceStatus(doc, backends), qt.DeepEquals, []operator.Service{
		{Service: "glossa-pool", Kind: "model", Ready: 1, Linked: 3, Slots: 8, Free: 3},
		{Service: "stringhub", Kind: "plain"},
	})
}

func TestSummaryIsBoundedAndAddsUp(t *testing.T) {
	c := qt.New(t)
	var queues []dispatch.QueueState
	for _, service := range []string{"glossa-pool", "stringhub"} {
		for n := range 200 {
			q := dispatch.QueueState{Service: service, Team: fmt.Sprint("team-", n), Waiting: 3, Oldest: time.Duration(n) * time.Second}
			queues = append(queues, q)
		}
	}
	services, top := condense(queues)
	c.Assert(top, qt.HasLen, summaryQueues)
	c.Assert(queuesOf(queues, []string{"team-7", "none"}), qt.HasLen, 2)
	c.Assert(top[0].OldestMs, qt.Equals, int64(199_000))
	status := operator.Status{Services: []operator.Service{{Service: "glossa-pool", Waiting: 1}, {Service: "stringhub"}}}
	addRouter(&status, &wire.SummaryResponse{Router: "r2", State: "ready", Revision: 4, Services: services, Queues: top})
	c.Assert(status.Services, qt.DeepEquals, []operator.Service{
		{Service: "glossa-pool", Waiting: 601, WaitingTeams: 200}, {Service: "stringhub", Waiting: 600, WaitingTeams: 200},
	})
	c.Assert(status.Routers, qt.DeepEquals, []operator.Router{{ID: "r2", State: "ready", Answered: true, Revision: 4, Waiting: 1200}})
	c.Assert(status.Queues, qt.HasLen, summaryQueues)
}
