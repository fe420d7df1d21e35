package sidecar

import (
	"time"

	"goldcrestport/coordination/report"
	"goldcrestport/coordination/share"
	"goldcrestport/protocol/wire"
)

// updateCapacity records the capacity and reports it to the routers within the
// message budget of the reports.
func (c *scheduler) updateCapacity(capacity share.Report) {
	c.capacity = capacity
	c.sendReports(report.Changed{Room: report.Room{
		Slots:   capacity.Slots,
		Free:    capacity.Free,
		Leaving: capacity.Draining,
		Ejected: c.ejected(),
	}})
}

// sendReports applies the event and sends the capacity to the routers that are
// due a report.
func (c *scheduler) sendReports(ev report.Event) {
	due := c.reports.Step(time.Now(), ev)
	if len(due) == 0 {
		return
	}
	m := &wire.ControlDown{Load: c.loadMessage(c.capacity)}
	for _, id := range due {
		if r := c.routers[id]; r != nil {
			r.send(m)
		}
	}
}
