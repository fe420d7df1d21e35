package origin

import "time"

// Settled records that the origin of a stream that this router relays or relayed, which was doubted, is
// certain.
func (t *Table) Settled(id ID) {
	e := t.records[id]
	if e == nil || !e.doubted {
		return
	}
	e.doubted, e.hasNews, e.toldNear, e.tellings = false, true, time.Time{}, 0
	t.fresh = append(t.fresh, id)
}
