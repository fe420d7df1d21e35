package roster

import (
	"slices"
	"strings"
	"time"
)

// ShutdownAnnounced records that the incarnation announced its shutdown in an answer to
// this router. That overrides its entries, earlier and later ones: they may be older than
// the announcement, and cannot change while the store is unavailable.
func (r *Roster) ShutdownAnnounced(id string, incarnation Incarnation) []Change {
	known, drained := r.latest(id)
	if incarnation < known || incarnation == known && drained {
		return nil
	}
	e := r.entries[id]
	if e == nil || incarnation > known {
		changes := r.drop(id, ReasonRestarted)
		r.formers[id] = former{incarnation: incarnation, drained: true, announced: true}
		return changes
	}
	e.server.Draining = true
	r.announced[id] = true
	return e.setUsable(false, ReasonAnnounced)
}

// restoreFormer takes over what is known of a server whose entry comes back: if it had
// announced its shutdown, the other routers may not know that.
func (r *Roster) restoreFormer(s Server) {
	if f := r.formers[s.ID]; f.announced && f.incarnation == s.Incarnation {
		r.announced[s.ID] = true
	}
	delete(r.formers, s.ID)
}

// ShutdownReported records that another router reported the shutdown of the incarnation. A
// report counts for a time, longer while it is repeated, and only once: an error of one
// router must not keep a healthy server idle.
func (r *Roster) ShutdownReported(now time.Time, id string, incarnation Incarnation) []Change {
	e := r.entries[id]
	if e == nil || e.server.Draining || e.server.Incarnation != incarnation {
		return nil
	}
	if !e.reportedUntil.IsZero() {
		if now.Sub(e.lastReport) <= r.cfg.ReportGap {
			e.lastReport = now
		}
		return nil
	}
	e.reported, e.lastReport = true, now
	e.reportedUntil, e.reportDeadline = now.Add(r.cfg.ReportTTL), now.Add(r.cfg.ReportMaxTTL)
	return e.setUsable(false, ReasonReported)
}

// reportExpired reports whether the other router's report no longer counts.
func (r *Roster) reportExpired(now time.Time, e *entry) bool {
	repeated := now.Sub(e.lastReport) <= r.cfg.ReportGap && now.Before(e.reportDeadline)
	return !now.Before(e.reportedUntil) && !repeated
}

// expireReports makes servers usable again whose reports have expired.
func (r *Roster) expireReports(now time.Time) []Change {
	var changes []Change
	for _, e := range r.entries {
		if e.reported && r.reportExpired(now, e) {
			e.reported = false
			changes = append(changes, e.setUsable(r.mayBeUsed(e), ReasonUnconfirmed)...)
		}
	}
	return changes
}

// AnnouncedServers returns the servers that announced their shutdown to this router and
// still have an entry, by their ids. This router reports them to the others.
func (r *Roster) AnnouncedServers() []Server {
	var out []Server
	for id := range r.announced {
		out = append(out, r.entries[id].server)
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Drained returns the number of servers that have an entry and get no requests because they
// are shutting down, according to the store, their own answers or another router.
func (r *Roster) Drained() int {
	n := 0
	for _, e := range r.entries {
		if e.server.Draining || e.reported {
			n++
		}
	}
	return n
}
