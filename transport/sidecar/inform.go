package sidecar

import (
	"time"

	"goldcrestport/coordination/report"
	"goldcrestport/coordination/share"
	"goldcrestport/protocol/wire"
)

// broadcast makes the room known to the routers, within the budget of the
// reports.
func (c *chooser) broadcast(room share.Report) {
	c.room = room
	c.inform(report.Changed{Room: report.Room{
		Slots:   room.Slots,
		Free:    room.Free,
		Leaving: room.Draining,
		Ejected: c.ejected(),
	}})
}

// inform sends the room to the routers that are to be told now.
func (c *chooser) inform(ev report.Event) {
	told := c.reports.Step(time.Now(), ev)
	if len(told) == 0 {
		return
	}
	m := &wire.ControlDown{Load: c.load(c.room)}
	for _, id := range told {
		if r := c.routers[id]; r != nil {
			r.send(m)
		}
	}
}
