package origin

import "time"

// lookInterval is the interval between two looks at all records for those to be announced again, which
// also finds those of a service that has got a second version.
const lookInterval = 100 * time.Millisecond

// Due is what has to be announced and written now.
type Due struct {
	// Near are the records to be announced in the data centre, Far those beyond it.
	Near, Far []Record
	// Store are those that the store does not have yet.
	Store []Record
}

// Due returns the records to be announced and written now. Only streams that run here, or did and were
// not announced, are among them, and only those of services that are mixed, whose routes have several
// services, or whose origin is doubted; what became of a doubt is announced twice, also later. In a small
// fleet those beyond the data centre are told again as well as those in it, and all streams are announced
// once while their service has one version.
func (t *Table) Due(now time.Time, isMixed func(service string) bool, isSmall bool) Due {
	var due Due
	look := func(id ID) {
		e := t.records[id]
		if e == nil {
			return
		}
		if !e.isSplit && !e.doubted && !e.hasNews && !isMixed(e.Service) {
			if isSmall && !e.isSpread && !e.conflicting {
				// A second version may appear after this router has ended.
				due.Near, due.Far, e.isSpread = append(due.Near, e.record(id)), append(due.Far, e.record(id)), true
			}
			return
		}
		if !e.isJournaled || e.runs > 0 && now.Sub(e.journaledAt) >= t.cfg.Rewrite {
			due.Store, e.isJournaled, e.journaledAt = append(due.Store, e.outlasting(id)...), true, now
		}
		if e.conflicting {
			return
		}
		if e.toldNear.IsZero() || e.isTold() && now.Sub(e.toldNear) >= t.cfg.Refresh {
			e.hasNews = e.hasNews && e.toldNear.IsZero()
			due.Near, e.toldNear = append(due.Near, e.record(id)), now
		}
		if t.isFarDue(now, e, isSmall) {
			due.Far, e.toldFar = append(due.Far, e.record(id)), now
			e.tellings++
		}
	}
	for _, id := range t.fresh {
		look(id)
	}
	t.fresh = t.fresh[:0]
	if now.Sub(t.looked) >= lookInterval {
		t.looked = now
		for id, e := range t.records {
			if e.isTold() || e.beganHere && e.toldNear.IsZero() {
				look(id)
			}
		}
	}
	return due
}

// isTold reports whether others are told of the stream again and again.
func (e *entry) isTold() bool { return e.runs > 0 || e.hasNews }

// isFarDue reports whether the record has to be announced beyond the data centre.
func (t *Table) isFarDue(now time.Time, e *entry, isSmall bool) bool {
	switch {
	case e.tellings == 0:
		return true
	case !e.isTold():
		return false
	case e.tellings == 1:
		return now.Sub(e.toldFar) >= t.cfg.Repeat
	default:
		return isSmall && now.Sub(e.toldFar) >= t.cfg.Repeat
	}
}
