package origin

import "time"

// Settled records that the origin of a stream that this router relays or relayed, which was doubted, is
// certain.
func (t *Table) Settled(id ID) {
	e := t.records[id]
	if e == nil || !e.doubted {
		return
	}
	e.doubted, e.hasNews, e.isJournaled, e.toldNear, e.tellings = false, true, false, time.Time{}, 0
	t.fresh = append(t.fresh, id)
}

// Lost records that the origin of a stream that this router relays or relayed, which is doubted, will
// never be certain.
func (t *Table) Lost(id ID) {
	e := t.records[id]
	if e == nil || !e.doubted || e.lost {
		return
	}
	e.lost, e.hasNews, e.isJournaled, e.toldNear, e.tellings = true, true, false, time.Time{}, 0
	t.fresh = append(t.fresh, id)
}

// outlasting returns the entry's records for routers that know the stream after this one has ended. Of a
// conflict they get a second origin that no stream has, so that whatever they know conflicts, too.
func (e *entry) outlasting(id ID) []Record {
	if !e.conflicting {
		return []Record{e.record(id)}
	}
	return []Record{e.record(id), {ID: id}}
}

// record returns the entry's record as others are told it.
func (e *entry) record(id ID) Record {
	return Record{ID: id, Origin: e.Origin, Doubted: e.doubted, Lost: e.doubted && e.lost}
}
